//! When to lend a spare host, when to give it back, and how many hosts to hold as a buffer.

mod buffer_plan;
mod lend_planner;
mod lend_policy;
mod loss_counts;

pub use {
    buffer_plan::{BufferInput, BufferPlan, summed_buffer},
    lend_planner::LendInput,
    lend_policy::{LendPolicy, LendSettings, PoolNeed},
};
