//! Small stand-ins for the platform and the targets, for tests, the demo and measurements.

pub mod client;
pub mod hosts;
pub mod http;
pub mod log;
pub mod process;
pub mod target;
pub mod worker;
