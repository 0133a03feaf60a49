//! Tables and benchmarks of the decision code beside its baselines, in virtual time and with fixed seeds.

pub mod buffer;
mod command;
pub mod moves;
pub mod overload;
pub mod rollout;
pub mod simulation;
pub mod slopes;

pub use command::run;
