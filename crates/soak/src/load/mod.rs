//! Callers: they hand jobs in, cancel some, and ask where they stand.

mod caller_load;
mod job_draw;
mod submitted_jobs;

pub use {
    caller_load::CallerLoad,
    job_draw::JobDraw,
    submitted_jobs::{JobKind, SubmittedJob, SubmittedJobs},
};
