//! Stand-in for a target: runs requests in slots and counts what it ran.

mod target_handler;

pub use target_handler::{RunCounts, TargetFaults, TargetHandler};
