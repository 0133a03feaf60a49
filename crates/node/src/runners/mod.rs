//! What every process does that sends commands to runners, whether it is the owner or a delegate.

mod guarded_runners;

pub use guarded_runners::GuardedRunners;
