//! Stand-in for the host service, whose host list lags behind.

mod hosts_handler;

pub use hosts_handler::HostsHandler;
