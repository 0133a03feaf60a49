//! Stand-in for the log service, with retention, outages, delays and lost responses.

mod log_faults;
mod log_handler;
mod log_store;

pub(crate) use log_store::platform_time;
pub use {log_faults::LogFaults, log_handler::LogHandler, log_store::LogStore};
