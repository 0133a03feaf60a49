//! Runners: their reports, their state as known to the owner, and the leases of their work.

mod lease_clock;
mod runner_report;
mod runner_state;
mod runner_table;

pub use {
    lease_clock::{
        DEFAULT_MAX_LEASE, LeaseClock, MAX_CLOCK_MS, RUNNER_LEASE, is_overlong, lapse_delay,
        max_lapse_delay,
    },
    runner_report::{
        Capacity, EndKind, EndedRun, HoldResponse, ListedRun, RunnerReport, RunnerStatus,
    },
    runner_state::{MAX_CALL_DELAY, RunnerKey, RunnerState},
    runner_table::RunnerTable,
};
