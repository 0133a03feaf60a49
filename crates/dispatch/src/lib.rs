//! Decisions of the owner on a platform whose runners take commands: which work item starts where, how long
//! leases last, which hosts change their pool, and what must be stored before which answer.
//!
//! The package does no I/O and reads no clock: time is an argument, and commands are returned as values.

pub mod jobs;
pub mod owner;
pub mod pools;
pub mod records;
pub mod routes;
pub mod runners;
