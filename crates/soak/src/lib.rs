//! A randomized fault soak: the real daemons as separate processes on loopback, with faults injected from outside, and
//! the promises checked from what callers and runners see.
//!
//! A seed determines the load and the series of faults, not the timing of the processes.

pub mod arguments;
pub mod checks;
pub mod load;
pub mod plan;
pub mod report;
pub mod run;
pub mod system;
