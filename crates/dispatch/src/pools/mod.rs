//! Plans how many hosts each pool should have and which hosts move between pools.

mod arrival_rate;
mod job_demand;
mod pool_planner;
mod wave_stage;

pub use {
    arrival_rate::ArrivalRate,
    job_demand::{JobDemand, job_demand, work_left},
    pool_planner::{HostMove, PoolPlan, PoolStats, plan_pools},
    wave_stage::WaveStage,
};
