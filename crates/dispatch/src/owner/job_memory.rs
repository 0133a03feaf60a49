use {
    super::OwnerState,
    crate::jobs::{HeldMemory, JobState},
    goldcreststall_core::ids::Millis,
};

const BYTES_PER_MB: usize = 1_048_576;
/// Memory that is assumed for a process whose settings name none.
const DEFAULT_MEMORY_MB: u32 = 256;
/// One in this many: the part of the process's memory that jobs may hold.
const MEMORY_DIVISOR: usize = 4;
/// One in this many: the part of that for jobs that are long-running or recur. They hold it for as long as their callers
/// like, and the rest is left to jobs that end.
const LASTING_DIVISOR: usize = 2;
/// One in this many: the part of the free memory that one job may take. Where large jobs are refused, small ones are still
/// accepted.
const JOB_DIVISOR: usize = 2;
/// Shortest and longest time after which the caller of a job for which there is no memory is told to retry.
const MIN_RETRY_AFTER: Millis = Millis(1_000);
const MAX_RETRY_AFTER: Millis = Millis(60_000);

/// Limit on the memory that all jobs hold in the owner. It bounds the work items of a pass of placement as well.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobMemoryLimit {
    /// The limit in bytes.
    pub bytes: usize,
}

impl Default for JobMemoryLimit {
    fn default() -> Self {
        Self::derive(None)
    }
}

impl JobMemoryLimit {
    /// Derives the limit from the memory of the process in MB; `None` means the default of 256 MB.
    pub fn derive(memory_mb: Option<u32>) -> Self {
        let memory_mb = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize;
        Self {
            bytes: memory_mb.saturating_mul(BYTES_PER_MB) / MEMORY_DIVISOR,
        }
    }

    /// Returns whether a new job fits beside what is held already.
    pub(super) fn admits(self, held: HeldMemory, job: &JobState) -> bool {
        let mut free = self.bytes.saturating_sub(held.total);
        if job.is_lasting() {
            let lasting_bytes = self.bytes / LASTING_DIVISOR;
            free = free.min(lasting_bytes.saturating_sub(held.lasting));
        }
        job.bytes_with_items() <= free / JOB_DIVISOR
    }
}

impl OwnerState {
    /// Limits the memory that jobs hold.
    pub fn limit_job_memory(&mut self, limit: JobMemoryLimit) {
        self.job_memory = limit;
    }

    /// Returns the memory that jobs hold, in bytes.
    pub fn job_bytes(&self) -> u64 {
        self.jobs.held().total as u64
    }

    /// Returns the time after which the caller of a new job should retry; none when there is memory for the job.
    pub(super) fn retry_without_memory(&self, job: &JobState) -> Option<Millis> {
        if self.job_memory.admits(self.jobs.held(), job) {
            return None;
        }
        if job.is_lasting() {
            return Some(MAX_RETRY_AFTER);
        }
        // Memory becomes free when the work that waits has been done.
        let waiting_time = self.waiting_time(&job.queue.service);
        Some(waiting_time.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER))
    }
}
