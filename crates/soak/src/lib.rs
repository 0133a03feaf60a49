//! A randomized soak test: runs the real daemons as separate processes on loopback, injects faults from outside, and
//! checks invariants against what callers and runners observe.
//!
//! A seed determines the load and the sequence of faults, but not the timing of the processes.

pub mod arguments;
pub mod checks;
pub mod load;
pub mod plan;
pub mod report;
pub mod run;
pub mod system;
