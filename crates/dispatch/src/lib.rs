//! Decisions of the owner on a platform whose runners accept commands: which work item starts on which runner, how long
//! leases last, which hosts change their pool, and what must be stored before a response is sent.
//!
//! The package does no I/O and reads no clock: time is an argument, and commands are returned as values.

pub mod jobs;
pub mod locality;
pub mod organisations;
pub mod owner;
pub mod pools;
pub mod records;
pub mod routes;
pub mod runners;
