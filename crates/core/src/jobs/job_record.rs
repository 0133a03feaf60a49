use {
    super::{GrantNumber, JobId, JobSpec, JobVersion, TaskUsage, WorkerId},
    serde::{Deserialize, Serialize},
};

/// Most items in one record, so that a record stays below the log's limit for an entry.
pub const MAX_BATCH: usize = 512;

/// One grant of a batch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GrantItem {
    /// The queued job.
    pub job: JobId,
    /// The version that the author saw.
    pub version: JobVersion,
    /// Who is to run the job.
    pub worker: WorkerId,
}

/// Names an attempt at a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRef {
    /// Identity of the attempt.
    pub grant: GrantNumber,
    /// The job.
    pub job: JobId,
}

/// The success of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FinishItem {
    /// The attempt.
    pub lease: LeaseRef,
    /// What the task used.
    pub usage: TaskUsage,
}

/// The failure of an attempt.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FailItem {
    /// The attempt.
    pub lease: LeaseRef,
    /// Whether the task had started. False only when the worker will never start this attempt.
    pub started: bool,
    /// What the task used.
    pub usage: TaskUsage,
}

/// An attempt that is given back without a result.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleaseItem {
    /// Progress saved by the worker; none when the task never started.
    pub checkpoint: Option<String>,
    /// The attempt.
    pub lease: LeaseRef,
}

/// A change of the report that no worker could hold a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MarkItem {
    /// The queued job.
    pub job: JobId,
    /// Whether no worker of the pool could hold the job.
    pub unplaceable: bool,
    /// The version that the author saw.
    pub version: JobVersion,
}

/// A change of the jobs.
///
/// The items of a batch are judged one by one. The record counts as ignored when none was accepted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobRecord {
    /// Submits a job. A repetition with the same content is accepted and changes nothing.
    Submit {
        /// Identity of the job.
        job: JobId,
        /// What is submitted.
        spec: JobSpec,
    },
    /// Leases jobs to workers.
    Grant {
        /// The grants.
        grants: Vec<GrantItem>,
    },
    /// Extends leases whose tasks were seen running.
    Renew {
        /// The attempts.
        leases: Vec<LeaseRef>,
    },
    /// Ends jobs that ran to their end.
    Finish {
        /// The results.
        results: Vec<FinishItem>,
    },
    /// Ends attempts that failed.
    Fail {
        /// The results.
        results: Vec<FailItem>,
    },
    /// Ends attempts that the worker has confirmed it never started and never will, or that it saved.
    Release {
        /// The attempts.
        leases: Vec<ReleaseItem>,
    },
    /// Ends attempts whose lease has expired.
    Lapse {
        /// The attempts.
        leases: Vec<LeaseRef>,
    },
    /// Cancels jobs that are queued or leased.
    Cancel {
        /// The jobs.
        jobs: Vec<JobId>,
    },
    /// Reports jobs that no worker could hold, or takes the report back.
    Mark {
        /// The reports.
        marks: Vec<MarkItem>,
    },
    /// Takes back the exclusion of one run of a worker.
    Readmit {
        /// The worker.
        worker: WorkerId,
    },
}
