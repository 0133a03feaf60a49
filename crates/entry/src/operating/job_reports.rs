use {
    super::change_record::not_found,
    goldcreststall_core::{
        ids::RecordId,
        jobs::{Job, JobId, JobState},
        ledger::FleetState,
        traffic,
    },
    goldcreststall_operators::{self as operators, JobPage, JobQuery, JobReport, OperatorError},
};

const MILLI_PER_CORE: u32 = 1_000;

/// Reports a page of the jobs that match a query, in order of id.
pub(super) fn page(state: &FleetState, query: &JobQuery) -> JobPage {
    let jobs = state.jobs.jobs().iter();
    let reports = jobs
        .filter(|(id, _)| query.after.is_none_or(|after| id.0 > after.0))
        .map(|(id, job)| report(*id, job))
        .filter(|report| matches(query, report));
    let limit = query.limit.rows();
    let mut jobs: Vec<JobReport> = reports.take(limit + 1).collect();
    let more = jobs.len() > limit;
    jobs.truncate(limit);
    JobPage { jobs, more }
}

/// Reports a job.
///
/// # Errors
/// `NotFound` when the ledger has no such job.
pub(super) fn find(state: &FleetState, id: RecordId) -> Result<JobReport, OperatorError> {
    let job = state.jobs.job(JobId(id.0));
    let job = job.ok_or_else(|| not_found("job", &id))?;
    Ok(report(JobId(id.0), job))
}

fn matches(query: &JobQuery, report: &JobReport) -> bool {
    let pool = query.pool.as_ref();
    let organisation = query.organisation.as_ref();
    pool.is_none_or(|pool| report.spec.pool == *pool)
        && query.state.is_none_or(|state| report.state == state)
        && organisation.is_none_or(|organisation| report.spec.organisation == *organisation)
}

fn report(id: JobId, job: &Job) -> JobReport {
    let lease = job.lease();
    let last_lease = lease.or(job.lapsed_lease.as_ref());
    JobReport {
        attempts: job.attempts,
        id: RecordId(id.0),
        lease_until: lease.map(|lease| lease.expiry),
        spec: operators::JobSpec {
            accelerators: job.spec.size.accelerators,
            cores: job.spec.size.cores_milli.div_ceil(MILLI_PER_CORE),
            deadline: job.spec.deadline,
            idempotent: job.spec.idempotent,
            memory_mib: job.spec.size.memory_mib,
            pool: job.spec.pool.clone(),
            service: job.spec.service.clone(),
            organisation: job.spec.organisation.clone(),
            urgency: match job.spec.urgency {
                traffic::Urgency::Urgent => operators::Urgency::Urgent,
                traffic::Urgency::Normal => operators::Urgency::Normal,
                traffic::Urgency::Overnight => operators::Urgency::Overnight,
            },
        },
        state: match &job.state {
            JobState::Cancelled => operators::JobState::Cancelled,
            JobState::Done => operators::JobState::Done,
            JobState::Leased(_) => operators::JobState::Leased,
            JobState::Queued => operators::JobState::Queued,
            JobState::Quarantined(_) => operators::JobState::Quarantined,
            JobState::Unknown => operators::JobState::Unknown,
        },
        submitted: job.submitted,
        unplaceable: job.unplaceable,
        worker: last_lease.map(|lease| lease.worker.host.clone()),
    }
}
