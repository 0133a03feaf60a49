//! Election of the owner through the store.

mod claim_record;
mod election_task;
mod owner_lease;

pub use {
    claim_record::ClaimRecord,
    election_task::{ElectionEvent, ElectionTask, OwnerLocation},
    owner_lease::OwnerLease,
};
