//! Tables that compare the decision code with its baselines, in virtual time.

pub mod buffer;
pub mod moves;
pub mod rollout;
pub mod simulation;
