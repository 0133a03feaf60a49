use {
    super::{GrantNumber, JobSpec, JobVersion, WorkerId},
    crate::ids::{HostName, LogTime},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Permission of one run of a worker to run a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Log time after which the lease may be ended by a `Lapse` record.
    pub expiry: LogTime,
    /// Identity of the attempt.
    pub grant: GrantNumber,
    /// Log time of the grant.
    pub granted: LogTime,
    /// Who may run the job.
    pub worker: WorkerId,
}

/// Why a job is not tried any more.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuarantineReason {
    /// A non-idempotent job failed after it had started.
    FailedAfterStart,
    /// The job failed on too many workers, or too often.
    FailedTooOften,
    /// The leases of the job lapsed too often, as those of a job that brings workers down do.
    LapsedTooOften,
}

/// The state of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobState {
    /// The job was cancelled. A worker that was running it is told to stop it.
    Cancelled,
    /// The job ran to its end.
    Done,
    /// A worker may run the job.
    Leased(Lease),
    /// The job waits for a worker.
    Queued,
    /// The job is not tried any more and needs attention.
    Quarantined(QuarantineReason),
    /// A non-idempotent job whose lease lapsed. It may have run and is not tried again.
    Unknown,
}

impl JobState {
    /// Tells whether the job still has to run.
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

/// A job and what became of it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Job {
    /// Number of grants.
    pub attempts: u32,
    /// Log time of the last change of state.
    pub changed: LogTime,
    /// Progress saved by the last worker, from which the next attempt resumes.
    pub checkpoint: Option<String>,
    /// The workers on which the job failed, one entry a failure, without the failures that were taken
    /// off because the worker was excluded.
    pub failures: Vec<WorkerId>,
    /// How many failures were taken off.
    pub discounts: u32,
    /// The last lease that lapsed. Its late result is still accepted while the job is not leased again.
    pub lapsed: Option<Lease>,
    /// Number of leases that lapsed.
    pub lapses: u32,
    /// The worker whose last attempt lapsed or never started. The next attempt goes elsewhere.
    pub passed_over: Option<HostName>,
    /// What was submitted. The payload is dropped when the job cannot run again.
    pub spec: JobSpec,
    /// The state.
    pub state: JobState,
    /// Log time of the submission.
    pub submitted: LogTime,
    /// Whether no worker of the pool could hold the job, as of the last look of the placement duty.
    pub unplaceable: bool,
    /// Counts the changes.
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
            lapsed: None,
            lapses: 0,
            passed_over: None,
            spec,
            state: JobState::Queued,
            submitted: now,
            unplaceable: false,
            version: JobVersion(1),
        }
    }

    /// Returns the lease of a leased job.
    pub fn lease(&self) -> Option<&Lease> {
        match &self.state {
            JobState::Leased(lease) => Some(lease),
            _ => None,
        }
    }

    /// Tells whether the job is late at log time `now`.
    pub fn is_overdue(&self, now: LogTime) -> bool {
        self.state.is_unfinished() && now > self.spec.deadline
    }

    /// Returns on how many different workers the job failed.
    pub fn failed_workers(&self) -> usize {
        let mut hosts: Vec<_> = self.failures.iter().map(|worker| &worker.host).collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts.len()
    }

    pub(super) fn enter(&mut self, now: LogTime, state: JobState) {
        // A quarantined job may be queued again.
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
