//! Organisations: who may submit jobs, how much of it may run at the same time, and which share is due.

mod key_index;
mod organisation_rule;
mod organisation_table;
mod resource_use;

pub use {
    key_index::{KeyConflict, KeyIndex},
    organisation_rule::{OrganisationRule, ResourceCap},
    organisation_table::{OrganisationKey, OrganisationTable},
    resource_use::ResourceUse,
};
