use {
    crate::{
        JobSpec, OperatorError,
        generated::v1 as raw,
        wire::{FieldValidator, id_text, wire_enum},
    },
    goldcreststall_core::ids::{HostName, LogTime, RecordId},
    serde::Serialize,
};

wire_enum!(
    /// State of a durable job.
    JobState, crate::generated::v1::JobState {
        /// It is waiting for a worker.
        Queued = "queued",
        /// A worker holds a lease for it.
        Leased = "leased",
        /// It ran to completion.
        Done = "done",
        /// It failed on several workers and is not retried.
        Quarantined = "quarantined",
        /// It is not idempotent and its lease lapsed. It may have run, so it is never run again.
        Unknown = "unknown",
        /// It was cancelled.
        Cancelled = "cancelled",
    }
);

/// A durable job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct JobReport {
    /// Number of attempts so far.
    pub attempts: u32,
    /// Id of the job.
    #[serde(serialize_with = "id_text")]
    pub id: RecordId,
    /// End of the lease; `None` when no worker holds one.
    #[serde(rename = "lease_until_ms")]
    pub lease_until: Option<LogTime>,
    /// Requirements of the job.
    pub spec: JobSpec,
    /// State of the job.
    pub state: JobState,
    /// Time of submission.
    #[serde(rename = "submitted_ms")]
    pub submitted: LogTime,
    /// Whether no host of the pool has the capacity for the job.
    pub unplaceable: bool,
    /// The worker that holds the lease or ran the last attempt.
    pub worker: Option<HostName>,
}

/// A page of jobs in order of id.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct JobPage {
    /// Jobs of the page, in order of id.
    pub jobs: Vec<JobReport>,
    /// Whether there are more after the last one.
    pub more: bool,
}

impl From<JobReport> for raw::Job {
    fn from(report: JobReport) -> Self {
        Self {
            attempts: report.attempts,
            id: report.id.to_string(),
            lease_until_ms: report.lease_until.map(|time| time.0),
            spec: Some(report.spec.into()),
            state: report.state.to_wire(),
            submitted_ms: report.submitted.0,
            unplaceable: report.unplaceable,
            worker: report.worker.map(String::from),
        }
    }
}

impl TryFrom<raw::Job> for JobReport {
    type Error = OperatorError;

    fn try_from(raw: raw::Job) -> Result<Self, OperatorError> {
        let mut validator = FieldValidator::default();
        let id = validator.id("id", &raw.id);
        let spec = JobSpec::check(&mut validator, "spec", &raw.spec.unwrap_or_default());
        let state = JobState::from_wire(raw.state);
        let state = validator.choice("state", raw.state, state, &JobState::allowed());
        let worker = validator.optional_name("worker", raw.worker.as_deref());
        validator.finish_response(|| {
            Some(Self {
                attempts: raw.attempts,
                id: id?,
                lease_until: raw.lease_until_ms.map(LogTime),
                spec: spec?,
                state: state?,
                submitted: LogTime(raw.submitted_ms),
                unplaceable: raw.unplaceable,
                worker: worker?,
            })
        })
    }
}

impl From<JobPage> for raw::ListJobsReply {
    fn from(page: JobPage) -> Self {
        Self {
            jobs: page.jobs.into_iter().map(raw::Job::from).collect(),
            more: page.more,
        }
    }
}

impl TryFrom<raw::ListJobsReply> for JobPage {
    type Error = OperatorError;

    fn try_from(raw: raw::ListJobsReply) -> Result<Self, OperatorError> {
        let jobs: Result<_, _> = raw.jobs.into_iter().map(JobReport::try_from).collect();
        Ok(Self {
            jobs: jobs?,
            more: raw.more,
        })
    }
}
