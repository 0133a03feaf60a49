//! Duration of a roll-out against the lower bound and against one host at a time.

mod rollout_run;
mod rollout_table;

pub use rollout_table::print_rollout;
