//! Lending and returning of spare hosts, and the number of hosts that a pool keeps as a buffer.

mod buffer_plan;
mod lend_planner;
mod lend_policy;
mod loss_distribution;

pub use {
    buffer_plan::{BufferInput, BufferPlan, independent_buffer},
    lend_planner::LendInput,
    lend_policy::{LendPolicy, LendSettings, PoolNeed},
};
