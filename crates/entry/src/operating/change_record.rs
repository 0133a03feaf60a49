use {
    goldcreststall_core::{
        config::ConfigRecord,
        ids::{HostName, Incarnation, Millis, RecordId, WaveName},
        jobs::{self, JobId, JobRecord, JobSize, WorkerId},
        ledger::{Author, FleetState, LedgerRecord, RecordBody},
        membership::{DEFAULT_REBOOT_LIMIT, HostVersion, MembershipRecord, WaveVersion},
        traffic,
    },
    goldcreststall_operators::{
        ChangeRequest, JobSpec, OperatorChange, OperatorError, OperatorErrorKind, SeenHostVersion,
        Urgency,
    },
    goldcreststall_platform::hosts::HostListing,
};

/// Run time that is assumed for jobs submitted by operators, whose requests state none.
const DEFAULT_RUN_TIME: Millis = Millis(60 * 1000);
const MILLI_PER_CORE: u32 = 1_000;

/// Builds the log record of a change. The state and the host list supply what the request leaves out.
///
/// # Errors
/// `NotFound` when the change names an unknown host, worker or wave.
pub(super) fn change_record(
    state: &FleetState,
    listing: &HostListing,
    request: &ChangeRequest,
) -> Result<LedgerRecord, OperatorError> {
    let body = match &request.change {
        OperatorChange::PublishConfig { base, document } => {
            RecordBody::Config(ConfigRecord::Publish {
                base: *base,
                document: document.clone(),
            })
        }
        OperatorChange::SubmitJob { spec } => RecordBody::Job(JobRecord::Submit {
            job: JobId(request.request_id.0),
            spec: job_spec(spec),
        }),
        OperatorChange::CancelJob { job } => RecordBody::Job(JobRecord::Cancel {
            jobs: vec![JobId(job.0)],
        }),
        OperatorChange::ReadmitWorker { worker } => RecordBody::Job(JobRecord::Readmit {
            worker: worker_id(state, worker)?,
        }),
        change => RecordBody::Membership(membership(state, listing, request.request_id, change)?),
    };
    Ok(LedgerRecord {
        author: Author(format!("operator:{}", request.operator)),
        body,
        id: request.request_id,
    })
}

fn membership(
    state: &FleetState,
    listing: &HostListing,
    request_id: RecordId,
    change: &OperatorChange,
) -> Result<MembershipRecord, OperatorError> {
    let list_time = listing.observed;
    Ok(match change {
        OperatorChange::AddHost {
            data_centre,
            host,
            pool,
            rack,
        } => MembershipRecord::HostAdd {
            data_centre: data_centre.clone(),
            host: host.clone(),
            incarnation: listed_incarnation(listing, host),
            pool: pool.clone(),
            rack: rack.clone(),
        },
        OperatorChange::RemoveHost { host, seen } => MembershipRecord::HostRemove {
            host: host.clone(),
            seen: host_version(state, host, *seen)?,
        },
        OperatorChange::DrainHost { host, seen } => MembershipRecord::DrainStart {
            host: host.clone(),
            list_time,
            seen: host_version(state, host, *seen)?,
        },
        OperatorChange::UndrainHost { host, seen } => MembershipRecord::DrainEnd {
            host: host.clone(),
            seen: host_version(state, host, *seen)?,
        },
        OperatorChange::MoveHost { host, pool, seen } => MembershipRecord::MoveStart {
            host: host.clone(),
            lend: false,
            list_time,
            seen: host_version(state, host, *seen)?,
            to: pool.clone(),
        },
        OperatorChange::StartWave { pool, .. } => MembershipRecord::WaveStart {
            pool: pool.clone(),
            reboot_limit: reboot_limit(state, pool),
            wave: wave_name(request_id)?,
        },
        change => wave_record(state, change)?,
    })
}

fn wave_record(
    state: &FleetState,
    change: &OperatorChange,
) -> Result<MembershipRecord, OperatorError> {
    match change {
        OperatorChange::PauseWave { seen, wave } => {
            let (seen, wave) = wave_seen(state, *wave, *seen)?;
            Ok(MembershipRecord::WavePause { seen, wave })
        }
        OperatorChange::ResumeWave { seen, wave } => {
            let (seen, wave) = wave_seen(state, *wave, *seen)?;
            Ok(MembershipRecord::WaveResume { seen, wave })
        }
        OperatorChange::CancelWave { seen, wave } => {
            let (seen, wave) = wave_seen(state, *wave, *seen)?;
            Ok(MembershipRecord::WaveCancel { seen, wave })
        }
        other => Err(OperatorError::new(
            OperatorErrorKind::Internal,
            format!("no record for {other:?}"),
        )),
    }
}

/// Returns the name of a wave in the log: the id of the change request that started it.
pub(super) fn wave_name(id: RecordId) -> Result<WaveName, OperatorError> {
    WaveName::try_from(id.to_string())
        .map_err(|error| OperatorError::new(OperatorErrorKind::Internal, error.to_string()))
}

fn wave_seen(
    state: &FleetState,
    id: RecordId,
    seen: Option<u64>,
) -> Result<(WaveVersion, WaveName), OperatorError> {
    let name = wave_name(id)?;
    let wave = state.membership.waves().get(&name);
    let wave = wave.ok_or_else(|| not_found("wave", &name))?;
    Ok((seen.map_or(wave.version, WaveVersion), name))
}

fn host_version(
    state: &FleetState,
    host: &HostName,
    seen: Option<SeenHostVersion>,
) -> Result<HostVersion, OperatorError> {
    let known = state.membership.hosts().get(host);
    let known = known.ok_or_else(|| not_found("host", host))?;
    Ok(seen.map_or(known.version, |seen| HostVersion {
        change: seen.number,
        incarnation: seen.incarnation,
    }))
}

fn worker_id(state: &FleetState, host: &HostName) -> Result<WorkerId, OperatorError> {
    let known = state.membership.hosts().get(host);
    let known = known.ok_or_else(|| not_found("worker", host))?;
    Ok(WorkerId {
        host: host.clone(),
        incarnation: known.version.incarnation,
    })
}

/// Returns the incarnation in the host list. For a host that is not listed yet this is 0, so that it comes up with a
/// newer one later.
fn listed_incarnation(listing: &HostListing, host: &HostName) -> Incarnation {
    let row = listing.hosts.iter().find(|row| row.name == *host);
    row.map_or(Incarnation(0), |row| row.incarnation)
}

fn reboot_limit(state: &FleetState, pool: &goldcreststall_core::ids::PoolName) -> Millis {
    let pool = state.config.fleet().pool(pool);
    pool.map_or(DEFAULT_REBOOT_LIMIT, |pool| pool.reboot_limit)
}

fn job_spec(spec: &JobSpec) -> jobs::JobSpec {
    jobs::JobSpec {
        checkpoints: false,
        deadline: spec.deadline,
        idempotent: spec.idempotent,
        payload: String::new(),
        pool: spec.pool.clone(),
        run_time: DEFAULT_RUN_TIME,
        service: spec.service.clone(),
        size: JobSize {
            accelerators: spec.accelerators,
            cores_milli: spec.cores.saturating_mul(MILLI_PER_CORE),
            memory_mib: spec.memory_mib,
        },
        organisation: spec.organisation.clone(),
        urgency: match spec.urgency {
            Urgency::Urgent => traffic::Urgency::Urgent,
            Urgency::Normal => traffic::Urgency::Normal,
            Urgency::Overnight => traffic::Urgency::Overnight,
        },
    }
}

pub(super) fn not_found(kind: &str, name: &impl std::fmt::Display) -> OperatorError {
    OperatorError::new(
        OperatorErrorKind::NotFound,
        format!("{kind} \"{name}\" is not known"),
    )
}
