//! Assembles and runs the process of an entry host.

mod essential_tasks;
mod node_daemon;

pub use node_daemon::{NodeIngress, NodeSettings, PlatformPorts, ProcessLimits, run};
