use {
    crate::{
        clock::BootClock,
        control::{ControlHandle, ProposeError},
    },
    bytes::Bytes,
    goldcreststall_callers::{request::RequestError, server::JobRequest},
    goldcreststall_core::{
        error::ErrorKind,
        ids::{Millis, OrganisationName, PoolName, ServiceName},
        jobs::{Job, JobId, JobRecord, JobSize, JobSpec},
        ledger::{RecordBody, Rejection},
        traffic::Urgency,
    },
    http::Method,
    serde::{Deserialize, Serialize},
    slog::{Logger, info},
    uuid::Uuid,
};

/// How long to wait for a record to be read back from the log.
const STORE_TIMEOUT: Millis = Millis(5_000);
/// Run time that is assumed for a job that declares none.
const DEFAULT_RUN_TIME: Millis = Millis(60_000);

/// JSON body of a job submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody {
    #[serde(default)]
    accelerators: u32,
    #[serde(default)]
    checkpoints: bool,
    cores_milli: u32,
    /// Deadline, in milliseconds after the time in the id.
    deadline_ms: u64,
    /// Id of the job, the same in each repetition of the submission.
    id: Option<String>,
    #[serde(default)]
    idempotent: bool,
    memory_mib: u32,
    #[serde(default)]
    payload: String,
    pool: PoolName,
    run_time_ms: Option<u64>,
    service: ServiceName,
    #[serde(rename = "tenant")]
    organisation: OrganisationName,
    urgency: Option<String>,
}

/// JSON body of the response that describes a job.
#[derive(Debug, Serialize)]
struct JobReport {
    attempts: u32,
    id: String,
    state: String,
    unplaceable: bool,
}

/// Submits, reads and cancels durable jobs for callers.
pub(super) struct JobRequestHandler {
    clock: BootClock,
    control: ControlHandle,
    logger: Logger,
}

impl JobRequestHandler {
    pub(super) fn new(control: ControlHandle, logger: Logger) -> Self {
        Self {
            clock: BootClock,
            control,
            logger,
        }
    }

    /// Handles a request to the job interface.
    ///
    /// # Errors
    /// `InvalidRequest`, `StoreUnavailable`, `StoreUnconfirmed` and other kinds of [`ErrorKind`].
    pub(super) async fn respond(&self, request: JobRequest) -> Result<Bytes, RequestError> {
        let id = request.job.as_deref().map(parse_id).transpose()?;
        match (&request.method, id) {
            (&Method::POST, None) => self.submit(&request.body).await,
            (&Method::GET, Some(id)) => self.report(id).await,
            (&Method::DELETE, Some(id)) => self.cancel(id).await,
            _ => {
                let detail = "allowed: POST /v1/jobs, GET and DELETE /v1/jobs/ID";
                Err(RequestError::new(ErrorKind::InvalidRequest, detail))
            }
        }
    }

    async fn submit(&self, body: &Bytes) -> Result<Bytes, RequestError> {
        let body: JobBody = serde_json::from_slice(body).map_err(invalid_request)?;
        let id = match &body.id {
            Some(id) => parse_id(id)?,
            None => JobId(Uuid::now_v7().as_u128()),
        };
        let spec = job_spec(id, body)?;
        info!(self.logger, "place: a job is submitted"; "job" => %id, "service" => %spec.service, "tenant" => %spec.organisation, "pool" => %spec.pool);
        let record = JobRecord::Submit { job: id, spec };
        self.propose(record).await?;
        self.report(id).await
    }

    async fn cancel(&self, id: JobId) -> Result<Bytes, RequestError> {
        info!(self.logger, "place: a job is cancelled"; "job" => %id);
        let record = JobRecord::Cancel { jobs: vec![id] };
        self.propose(record).await?;
        self.report(id).await
    }

    async fn propose(&self, record: JobRecord) -> Result<(), RequestError> {
        if !self.control.is_log_available() {
            return Err(ErrorKind::StoreUnavailable.into());
        }
        let deadline = self.clock.now() + STORE_TIMEOUT;
        let proposed = self.control.propose(RecordBody::Job(record), deadline);
        proposed.await.map_err(|error| match error {
            ProposeError::Rejected(rejection) => {
                RequestError::new(rejection_kind(rejection), rejection)
            }
            // The record may still be appended, so the job may still run.
            ProposeError::Unconfirmed => ErrorKind::StoreUnconfirmed.into(),
        })
    }

    async fn report(&self, id: JobId) -> Result<Bytes, RequestError> {
        let report = self
            .control
            .read(move |state, _| state.jobs.job(id).map(|job| job_report(id, job)));
        let report = report.await.ok_or(ErrorKind::Draining)?;
        let report =
            report.ok_or_else(|| RequestError::new(ErrorKind::UnknownJob, "no such job"))?;
        let body = serde_json::to_vec(&report).map_err(invalid_request)?;
        Ok(Bytes::from(body))
    }
}

fn rejection_kind(rejection: Rejection) -> ErrorKind {
    match rejection {
        Rejection::QuotaExceeded => ErrorKind::QuotaExceeded,
        Rejection::TooManyJobs => ErrorKind::QueueFull,
        Rejection::UnknownJob => ErrorKind::UnknownJob,
        _ => ErrorKind::InvalidRequest,
    }
}

fn invalid_request(error: serde_json::Error) -> RequestError {
    RequestError::new(ErrorKind::InvalidRequest, error)
}

fn parse_id(text: &str) -> Result<JobId, RequestError> {
    JobId::try_from(text).map_err(|error| RequestError::new(ErrorKind::InvalidRequest, error))
}

fn job_report(id: JobId, job: &Job) -> JobReport {
    JobReport {
        attempts: job.attempts,
        id: id.to_string(),
        state: job.state.to_string(),
        unplaceable: job.unplaceable,
    }
}

fn job_spec(id: JobId, body: JobBody) -> Result<JobSpec, RequestError> {
    let urgency = match body.urgency.as_deref() {
        Some("urgent") => Urgency::Urgent,
        None | Some("normal") => Urgency::Normal,
        Some("overnight") => Urgency::Overnight,
        Some(other) => {
            let detail =
                format!("urgency: \"{other}\" is not accepted; allowed: urgent, normal, overnight");
            return Err(RequestError::new(ErrorKind::InvalidRequest, detail));
        }
    };
    Ok(JobSpec {
        checkpoints: body.checkpoints,
        // Relative to the time in the id, so that a repeated submission has the same content.
        deadline: id.time() + Millis(body.deadline_ms),
        idempotent: body.idempotent,
        payload: body.payload,
        pool: body.pool,
        run_time: body.run_time_ms.map_or(DEFAULT_RUN_TIME, Millis),
        service: body.service,
        size: JobSize {
            accelerators: body.accelerators,
            cores_milli: body.cores_milli,
            memory_mib: body.memory_mib,
        },
        organisation: body.organisation,
        urgency,
    })
}
