//! Hosts, the pools they belong to, moves, planned stops, waves, and the availability budget of a pool.

mod host_state;
mod membership_ledger;
mod membership_record;
mod pool_budget;
mod pool_counts;
mod wave_state;

pub use {
    host_state::{HostActivity, HostState, HostVersion, PlannedStop},
    membership_ledger::{MAX_CLOSED_WAVES, MOVE_RATE_WINDOW, MembershipLedger},
    membership_record::{DEFAULT_REBOOT_LIMIT, MembershipRecord},
    pool_budget::{HOST_LIST_MAX_AGE, HOST_LIST_MAX_CLOCK_SKEW, PoolBudget},
    wave_state::{SeenWave, WaveState, WaveStatus, WaveVersion},
};
