//! Runners: what they report, what they hold, and when their leases end.

mod lease_clock;
mod runner_report;
mod runner_state;
mod runner_table;

pub use {
    lease_clock::{LeaseClock, RUNNER_LEASE, longest_lapse},
    runner_report::{
        Capacity, EndKind, EndedRun, HoldResponse, ListedRun, RunnerReport, RunnerStatus,
    },
    runner_state::{RunnerKey, RunnerState},
    runner_table::RunnerTable,
};
