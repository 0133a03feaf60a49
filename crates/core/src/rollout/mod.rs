//! Planning of maintenance waves: which hosts each wave stops next, and why a wave waits.

mod rollout_plan;
mod stop_selection;
mod wave_planner;

pub use {
    rollout_plan::{RolloutPlan, WaitReason, WaveProgress},
    wave_planner::{RolloutInput, plan_waves},
};
