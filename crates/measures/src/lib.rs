//! Tables and benchmarks of the decision code, in virtual time and with fixed seeds.

mod command;
pub mod overload;
pub mod slopes;

pub use command::run;
