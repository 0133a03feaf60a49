//! Tables of the traffic policy under overload, ours beside the baseline.

mod deployment;
mod entry_host;
mod fake_target;
mod outcome;
mod scenario;
mod simulation;
mod spread;
mod tables;
mod workload;

pub use tables::{print_failing, print_floods, print_sizes, print_tenants, print_turns};
