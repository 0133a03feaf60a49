//! Duration of a roll-out, compared with a lower bound and with one host at a time.

mod rollout_run;
mod rollout_table;

pub use rollout_table::print_rollout;
