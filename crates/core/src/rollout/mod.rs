//! The order and size of the steps of maintenance waves.

mod rollout_plan;
mod wave_planner;
mod wave_step;

pub use {
    rollout_plan::{RolloutPlan, WaitReason, WaveProgress},
    wave_planner::{RolloutInput, plan_waves},
};
