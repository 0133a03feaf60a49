use serde::{Deserialize, Serialize};

/// Why a record was ignored when its log entry was applied.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize, thiserror::Error,
)]
pub enum Rejection {
    /// A record with the same id was applied before.
    #[error("the record was applied before")]
    Duplicate,
    /// The id of the record is older than the window in which duplicates are recognised.
    #[error("the record id is too old")]
    IdTooOld,
    /// The id of the record lies in the future.
    #[error("the record id lies in the future")]
    IdTooNew,
    /// The configuration is not valid.
    #[error("the configuration is not valid")]
    InvalidConfig,
    /// The request key is claimed.
    #[error("the request key is claimed")]
    KeyClaimed,
    /// The request key is too old.
    #[error("the request key is too old")]
    KeyTooOld,
    /// The request key lies in the future.
    #[error("the request key lies in the future")]
    KeyTooNew,
    /// The author does not hold the claim or lease.
    #[error("the author is not the holder")]
    NotHolder,
    /// The record names a version that is no longer current.
    #[error("the record names a version that has passed")]
    StaleVersion,
    /// The record names a host that is not in the fleet.
    #[error("the host is not known")]
    UnknownHost,
    /// The record names a pool that is not configured.
    #[error("the pool is not known")]
    UnknownPool,
    /// The pool would have fewer available hosts than its budget requires.
    #[error("the availability budget of the pool is spent")]
    BudgetSpent,
    /// The host is available; only an unavailable host can be removed.
    #[error("the host is available and has to be drained first")]
    HostAvailable,
    /// A host of this name is already in the fleet.
    #[error("a host of this name exists")]
    HostExists,
    /// The configuration lacks a pool that has hosts, moves, lent hosts or open waves.
    #[error("a pool that is in use cannot be removed")]
    PoolInUse,
    /// The host is already in the pool that it should move to.
    #[error("the host is in this pool already")]
    SamePool,
    /// The host list behind the decision is too old.
    #[error("the host list behind the decision is too old")]
    StaleView,
    /// The record names a wave that is not in the ledger.
    #[error("the wave is not known")]
    UnknownWave,
    /// A wave of this name is in the ledger.
    #[error("a wave of this name exists")]
    WaveExists,
    /// Hosts of the wave are not maintained yet.
    #[error("the wave has hosts that are not maintained yet")]
    WaveUnfinished,
    /// The host or wave is not in a state in which the change is possible.
    #[error("the host or wave is not in a state that allows the change")]
    WrongState,
    /// The job is malformed: it requests no CPU, or its payload is too long.
    #[error("the job is malformed")]
    InvalidJob,
    /// The job id was used for a job with other content.
    #[error("the job id was used for another job")]
    JobConflict,
    /// The state of the job does not allow the change.
    #[error("the state of the job does not allow the change")]
    JobState,
    /// The lease has not expired.
    #[error("the lease has not expired")]
    LeaseValid,
    /// The organisation has as many unfinished jobs as its quota allows.
    #[error("the tenant is over its quota of unfinished jobs")]
    QuotaExceeded,
    /// The ledger holds the maximum number of jobs.
    #[error("there are too many jobs")]
    TooManyJobs,
    /// The record names a job that is not in the ledger.
    #[error("the job is not known")]
    UnknownJob,
    /// The record names an organisation that is not configured.
    #[error("the tenant is not known")]
    UnknownOrganisation,
    /// The worker is excluded because one job after another failed on it.
    #[error("the worker is excluded")]
    WorkerExcluded,
}
