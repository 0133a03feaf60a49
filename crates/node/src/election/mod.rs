//! Election of the owner through a topic of the store.

mod election_task;
mod owner_lease;
mod ownership_record;
mod renewal_schedule;

pub use {
    election_task::{ElectionEvent, ElectionTask, OwnerLocation},
    owner_lease::OwnerLease,
    ownership_record::OwnershipRecord,
};
