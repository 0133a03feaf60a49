use {
    super::{GrantNumber, JobSpec, JobVersion, WorkerId},
    crate::ids::{HostName, LogTime},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Permission for one incarnation of a worker to run a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Log time after which the lease may be ended by a `Lapse` record.
    pub expiry: LogTime,
    /// Number that identifies the attempt.
    pub grant: GrantNumber,
    /// Log time of the grant.
    pub granted: LogTime,
    /// Holder of the lease.
    pub worker: WorkerId,
}

/// Why a job is not retried.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuarantineReason {
    /// A non-idempotent job failed after it had started.
    FailedAfterStart,
    /// The job failed on too many workers, or too often.
    FailedTooOften,
    /// The leases of the job lapsed too often, which happens when a job crashes its workers.
    LapsedTooOften,
}

/// State of a job, from its submission to its outcome.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// The job was cancelled. A worker that runs it gets a stop command.
    Cancelled,
    /// An attempt succeeded.
    Done,
    /// A worker holds a lease and may run the job.
    Leased(Lease),
    /// The job waits for a worker.
    Queued,
    /// The job is not retried and needs an operator's attention.
    Quarantined(QuarantineReason),
    /// The lease of a non-idempotent job lapsed. The job may have run and is not retried.
    Unknown,
}

impl JobState {
    /// Tells whether the job is queued or leased.
    pub fn is_unfinished(&self) -> bool {
        matches!(self, Self::Leased(_) | Self::Queued)
    }
}

impl fmt::Display for JobState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cancelled => formatter.write_str("cancelled"),
            Self::Done => formatter.write_str("done"),
            Self::Leased(lease) => {
                write!(
                    formatter,
                    "leased to {} by grant {}",
                    lease.worker, lease.grant
                )
            }
            Self::Queued => formatter.write_str("queued"),
            Self::Quarantined(reason) => write!(formatter, "quarantined: {reason}"),
            Self::Unknown => formatter.write_str("unknown"),
        }
    }
}

impl fmt::Display for QuarantineReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::FailedAfterStart => "non-idempotent and failed after it had started",
            Self::FailedTooOften => "failed too often",
            Self::LapsedTooOften => "its leases lapsed too often",
        })
    }
}

/// A submitted job with its state and history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Number of grants so far.
    pub attempts: u32,
    /// Log time of the last change of `state`.
    pub changed: LogTime,
    /// Progress saved by the last worker, from which the next attempt resumes.
    pub checkpoint: Option<String>,
    /// Workers on which the job failed, one entry for each failure. Discounted failures are not listed.
    pub failures: Vec<WorkerId>,
    /// How often failures were discounted, that is, not counted against the job because their worker was excluded.
    pub discounts: u32,
    /// The last lease that lapsed. Its late result is accepted until the job is leased again, done or cancelled.
    pub lapsed_lease: Option<Lease>,
    /// Number of leases that lapsed so far.
    pub lapses: u32,
    /// Worker of the most recent attempt that lapsed or never started. The next attempt avoids it if possible.
    pub avoided_worker: Option<HostName>,
    /// Description as submitted. The payload is cleared once the job cannot run again.
    pub spec: JobSpec,
    /// Current state.
    pub state: JobState,
    /// Log time of the submission.
    pub submitted: LogTime,
    /// Whether the job fits no worker of the pool, as last determined by the placement duty.
    pub unplaceable: bool,
    /// Incremented by each change of `state` or `unplaceable`.
    pub version: JobVersion,
    pub(super) digest: u64,
}

impl Job {
    pub(super) fn new(now: LogTime, spec: JobSpec) -> Self {
        Self {
            attempts: 0,
            changed: now,
            checkpoint: None,
            digest: spec.digest(),
            failures: Vec::new(),
            discounts: 0,
            lapsed_lease: None,
            lapses: 0,
            avoided_worker: None,
            spec,
            state: JobState::Queued,
            submitted: now,
            unplaceable: false,
            version: JobVersion(1),
        }
    }

    /// Returns the lease; `None` in every state but `Leased`.
    pub fn lease(&self) -> Option<&Lease> {
        match &self.state {
            JobState::Leased(lease) => Some(lease),
            _ => None,
        }
    }

    /// Tells whether the job is unfinished and past its deadline at log time `now`.
    pub fn is_overdue(&self, now: LogTime) -> bool {
        self.state.is_unfinished() && now > self.spec.deadline
    }

    /// Returns the number of different hosts on which the job failed.
    pub fn failed_worker_count(&self) -> usize {
        let mut hosts: Vec<_> = self.failures.iter().map(|worker| &worker.host).collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts.len()
    }

    pub(super) fn set_state(&mut self, now: LogTime, state: JobState) {
        // A quarantined job keeps its payload, because it may be queued again.
        if matches!(
            state,
            JobState::Cancelled | JobState::Done | JobState::Unknown
        ) {
            self.spec.payload = String::new();
        }
        self.state = state;
        self.changed = now;
        self.version.0 += 1;
    }
}
