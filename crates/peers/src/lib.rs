//! What entry hosts say to each other: digests, relayed log entries and state transfer.
//!
//! `wire` holds the messages, `decisions` the logic without I/O or clock, `mesh` the connections.

pub mod decisions;
pub mod mesh;
pub mod wire;
