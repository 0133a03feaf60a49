//! Hosts, the pools they belong to, and the changes of both.

mod membership_ledger;

pub use membership_ledger::{HostState, MembershipLedger, MembershipRecord};
