//! A random walk that applies log entries, and an independent check of the state after every entry.
//!
//! The authors of records work on copies of the state that they refresh at random, so that their records race as those
//! of operators and entry hosts do.

#![allow(dead_code, unused_imports)]

mod fleet_check;
mod fleet_walk;
mod small_fleet;

pub use {
    fleet_check::{FleetCheck, assured},
    fleet_walk::{FleetWalk, Step},
    small_fleet::{SmallFleet, one_pool, wave},
};

use goldcreststall_core::ids::{HostName, LogTime, PoolName};

/// Log time at the start of a walk.
pub const START: LogTime = LogTime(1_800_000_000_000);

/// Returns the host name `text`.
pub fn host(text: &str) -> HostName {
    HostName::try_from(text).unwrap()
}

/// Returns the pool name `text`.
pub fn pool(text: &str) -> PoolName {
    PoolName::try_from(text).unwrap()
}
