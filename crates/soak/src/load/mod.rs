//! Simulated callers, which submit jobs, cancel some of them, and query their states.

mod caller_load;
mod job_draw;
mod submitted_jobs;

pub use {
    caller_load::CallerLoad,
    job_draw::JobDraw,
    submitted_jobs::{JobKind, SubmittedJob, SubmittedJobs},
};
