//! Organisations: who may submit jobs, how much of their work may run at the same time, and their shares of the
//! capacity.

mod key_index;
mod organisation_report;
mod organisation_rule;
mod organisation_table;
mod resource_use;
mod submission_rate;

pub use {
    key_index::{KeyConflict, KeyIndex},
    organisation_report::OrganisationReport,
    organisation_rule::{OrganisationRule, ResourceCap},
    organisation_table::{OrganisationKey, OrganisationTable},
    resource_use::ResourceUse,
    submission_rate::SubmissionRate,
};
