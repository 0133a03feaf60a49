//! Assembles an entry host's process.

mod node_daemon;

pub use node_daemon::{NodeIngress, NodePorts, NodeSettings, run};
