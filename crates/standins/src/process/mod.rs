//! Starts the daemons and the stand-ins as separate processes, for the demo, benchmarks and fault-injection tests.

mod child_process;
mod process_fleet;
mod tcp_relay;

pub use {
    child_process::ChildProcess,
    process_fleet::{EntryProcess, EntryRelays, FleetLayout, ProcessFleet},
    tcp_relay::{RelayMode, TcpRelay},
};
