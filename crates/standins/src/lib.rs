//! Stand-ins for outside systems, for tests, the demo and measurements.

pub mod worker;
