//! Organisations: who may submit jobs, how much of it may run at the same time, and which share is due.

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
