//! The system under test: entry hosts as processes, relays on all of their connections, and the platform stand-in.

mod address_block;
mod entry_process;
mod fault_driver;
mod late_calls;
mod process_sockets;
mod soak_system;

pub use {
    fault_driver::FaultDriver,
    late_calls::MAX_LATE_CALL_DELAY,
    process_sockets::local_addresses,
    soak_system::{CAPACITY, POOLS, SoakSystem, SystemShape},
};
