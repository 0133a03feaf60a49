//! How many hosts each pool should have, and which hosts move.

mod job_demand;
mod pool_planner;

pub use {
    job_demand::{JobDemand, job_demand, work_left},
    pool_planner::{HostMove, PoolFigures, PoolPlan, plan_pools},
};
