//! Tables that compare the decision code with its baselines in virtual time and with fixed seeds, and benchmarks of it.

pub mod buffer;
mod command;
pub mod moves;
pub mod overload;
pub mod rollout;
pub mod simulation;
pub mod slopes;

pub use command::run;
