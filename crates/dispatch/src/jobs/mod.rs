//! Jobs, their steps and work items.

mod job_arena;
mod job_id;
mod job_phase;
mod job_spec;
mod job_state;
mod job_table;
mod work_item;

pub use {
    job_id::{ItemName, JobId, JobIdError, StepName},
    job_phase::JobPhase,
    job_spec::{JobSpec, SpecError, StepSpec},
    job_state::JobState,
    job_table::{HeldMemory, JobTable},
    work_item::{ItemKey, ItemRun, JobKey, MAX_PACE_PERCENT, RunPhase, StepKey, WorkItem},
};
