//! Starts the daemons and the stand-ins as separate processes, for the demo and the tests with faults.

mod child_process;
mod process_fleet;

pub use {
    child_process::ChildProcess,
    process_fleet::{EntryProcess, FleetLayout, ProcessFleet},
};
