//! Stand-in for a target: runs requests in a limited number of slots and counts the runs.

mod target_handler;

pub use target_handler::{RunCounts, TargetFaults, TargetHandler};
