//! Stand-ins for the platform, the targets and the workers, for tests, the demo and benchmarks.

pub mod client;
pub mod hosts;
pub mod http;
pub mod log;
pub mod process;
pub mod target;
pub mod worker;
