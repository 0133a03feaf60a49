//! Durable jobs: submission, leases, results, quarantine, worker health and placement.

mod fair_queue;
mod job_ids;
mod job_ledger;
mod job_record;
mod job_size;
mod job_spec;
mod job_state;
mod organisation_quota;
mod placement_index;
mod placement_plan;
mod placement_planner;
mod pool_members;
mod size_estimates;
mod task_review;
mod urgent_preemption;
mod worker_health;
mod worker_view;

pub use {
    job_ids::{GrantNumber, JobId, JobIdError, JobVersion, WorkerId},
    job_ledger::{
        ATTENTION_RETENTION, DONE_RETENTION, JOB_ID_MAX_AGE, JOB_ID_MAX_CLOCK_SKEW, JobContext,
        JobCounts, JobLedger, LEASE_DURATION, MAX_FAILURES, MAX_JOBS, MAX_LAPSES,
    },
    job_record::{
        FailItem, FinishItem, GrantItem, JobRecord, LeaseRef, MAX_BATCH, ReleaseItem,
        UnplaceableItem,
    },
    job_size::JobSize,
    job_spec::{JobSpec, MAX_PAYLOAD_BYTES},
    job_state::{Job, JobState, Lease, QuarantineReason},
    organisation_quota::MAX_UNFINISHED,
    placement_plan::{
        PlacementDecision, PlacementPlan, PlacementReason, TaskAction, TaskCommand, WaitingCounts,
    },
    placement_planner::{PlacementInput, plan_placement},
    pool_members::PoolMembers,
    size_estimates::{SizeEstimate, SizeEstimates, TaskUsage},
    worker_health::{Exclusion, FAILURES_TO_EXCLUDE, WorkerHealth, WorkerHealthTable},
    worker_view::{REPORT_MAX_AGE, TaskState, TaskView, WorkerReport, WorkerView},
};
