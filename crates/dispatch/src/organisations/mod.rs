//! Organisations: who may submit jobs, how much of it may run at the same time, and which share is due.

mod organisation_rule;

pub use organisation_rule::{OrganisationRule, ResourceCap};
