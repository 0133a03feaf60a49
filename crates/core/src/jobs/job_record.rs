use {
    super::{GrantNumber, JobId, JobSpec, JobVersion, TaskUsage, WorkerId},
    serde::{Deserialize, Serialize},
};

/// Maximum number of items in one record, so that a record stays below the log's size limit for an entry.
pub const MAX_BATCH: usize = 512;

/// Leases one queued job to a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantItem {
    /// Job to lease; must be queued in the pool of the worker.
    pub job: JobId,
    /// Version of the job on which the author decided; any other version rejects the grant.
    pub version: JobVersion,
    /// Incarnation of the worker that gets the lease.
    pub worker: WorkerId,
}

/// Identifies one attempt at a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRef {
    /// Number of the grant that started the attempt.
    pub grant: GrantNumber,
    /// Job that was granted.
    pub job: JobId,
}

/// Successful end of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FinishItem {
    /// Attempt that succeeded.
    pub lease: LeaseRef,
    /// Resources that the task used, which feed the size estimates.
    pub usage: TaskUsage,
}

/// Failed end of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FailItem {
    /// Attempt that failed.
    pub lease: LeaseRef,
    /// Whether the task had started. False only when the worker will never start this attempt.
    pub started: bool,
    /// Resources that the task used; only its memory raises the size estimates.
    pub usage: TaskUsage,
}

/// End of an attempt without a result, after which the job is queued again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleaseItem {
    /// Progress saved by the worker; `None` when the task never started.
    pub checkpoint: Option<String>,
    /// Attempt that is released.
    pub lease: LeaseRef,
}

/// Sets or clears the unplaceable flag of a queued job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnplaceableItem {
    /// Job to flag; must be queued.
    pub job: JobId,
    /// True when the job does not fit any worker of the pool, not even an empty one.
    pub unplaceable: bool,
    /// Version of the job on which the author decided; any other version rejects the change.
    pub version: JobVersion,
}

/// A log record that changes jobs.
///
/// The items of a batch are checked one by one. The record counts as ignored when no item was accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobRecord {
    /// Submits a job. Repeating it with the same content is accepted and changes nothing.
    Submit {
        /// Id chosen by the submitter.
        job: JobId,
        /// Description of the job, which a repeated submission must match exactly.
        spec: JobSpec,
    },
    /// Leases jobs to workers.
    Grant {
        /// At most [`MAX_BATCH`] items; further ones are skipped.
        grants: Vec<GrantItem>,
    },
    /// Extends leases whose tasks are reported as running.
    Renew {
        /// At most [`MAX_BATCH`] items; further ones are skipped.
        leases: Vec<LeaseRef>,
    },
    /// Completes jobs.
    Finish {
        /// At most [`MAX_BATCH`] items; further ones are skipped.
        results: Vec<FinishItem>,
    },
    /// Ends attempts that failed.
    Fail {
        /// At most [`MAX_BATCH`] items; further ones are skipped.
        results: Vec<FailItem>,
    },
    /// Ends attempts that the worker confirmed it never started and never will start, or whose progress it saved.
    Release {
        /// At most [`MAX_BATCH`] items; further ones are skipped.
        leases: Vec<ReleaseItem>,
    },
    /// Ends attempts whose lease has expired.
    Lapse {
        /// At most [`MAX_BATCH`] items; further ones are skipped.
        leases: Vec<LeaseRef>,
    },
    /// Cancels jobs that are queued or leased.
    Cancel {
        /// At most [`MAX_BATCH`] items; further ones are skipped.
        jobs: Vec<JobId>,
    },
    /// Sets or clears the unplaceable flag of queued jobs.
    SetUnplaceable {
        /// At most [`MAX_BATCH`] items; further ones are skipped.
        items: Vec<UnplaceableItem>,
    },
    /// Ends the exclusion of one incarnation of a worker.
    Readmit {
        /// Excluded incarnation.
        worker: WorkerId,
    },
}
