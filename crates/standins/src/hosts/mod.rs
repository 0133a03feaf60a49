//! Stand-in for the lagging list of hosts.

mod hosts_handler;

pub use hosts_handler::HostsHandler;
