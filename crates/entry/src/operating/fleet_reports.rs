use {
    super::change_record::{not_found, wave_name},
    goldcreststall_core::{
        audit::{AuditRecord, AuditSubject},
        ids::{HostName, LogTime, RecordId, WaveName},
        jobs::WorkerId,
        ledger::FleetState,
        membership::{HostActivity, HostState, WaveState, WaveStatus},
        rollout::{RolloutInput, plan_waves},
    },
    goldcreststall_operators::{
        self as operators, AuditPage, AuditQuery, AuditReport, HostCondition, HostQuery,
        HostReport, OperatorError, OperatorName, PoolReport, SeenHostVersion, WaveQuery,
        WaveReport,
    },
    goldcreststall_platform::hosts::HostListing,
    uuid::Uuid,
};

/// Prefix of an operator's name in the author field of records.
const OPERATOR_PREFIX: &str = "operator:";

/// Reports all pools, in order of name.
pub(super) fn pools(state: &FleetState) -> Vec<PoolReport> {
    let pools = state.config.fleet().pools.iter();
    pools.map(|pool| pool_report(state, pool)).collect()
}

fn pool_report(state: &FleetState, pool: &goldcreststall_core::config::PoolConfig) -> PoolReport {
    let members: Vec<&HostState> = state
        .membership
        .members(&pool.name)
        .map(|(_, host)| host)
        .collect();
    let count = |matches: &dyn Fn(&HostState) -> bool| {
        let matching = members.iter().filter(|host| matches(host)).count();
        u32::try_from(matching).unwrap_or(u32::MAX)
    };
    let budget = state.membership.budget(pool);
    let assured = i64::from(budget.assured());
    let spare = assured - i64::from(pool.min_available);
    PoolReport {
        available: budget.available(),
        down: count(&|host| host.down.is_some()),
        members: count(&|_| true),
        min_available: pool.min_available,
        moving: count(&|host| matches!(host.activity, HostActivity::Moving { .. })),
        name: pool.name.clone(),
        spare: pool.spare,
        spare_units: i32::try_from(spare).unwrap_or(i32::MAX),
        stopping: count(&|host| host.stop().is_some()),
        survive: pool.survive.into(),
    }
}

/// Reports the hosts that match a query, in order of name.
pub(super) fn hosts(state: &FleetState, query: &HostQuery) -> Vec<HostReport> {
    let hosts = state.membership.hosts().iter();
    let selected = hosts.filter(|(_, host)| {
        let pool = query.pool.as_ref();
        pool.is_none_or(|pool| host.pool == *pool)
    });
    selected
        .map(|(name, host)| host_report(state, name, host))
        .collect()
}

fn host_report(state: &FleetState, name: &HostName, host: &HostState) -> HostReport {
    HostReport {
        condition: match &host.activity {
            _ if host.down.is_some() => HostCondition::Down,
            HostActivity::Serving => HostCondition::Active,
            HostActivity::Draining => HostCondition::Drained,
            HostActivity::Moving { .. } => HostCondition::Moving,
            HostActivity::Stopping(_) => HostCondition::Stopping,
        },
        data_centre: host.data_centre.clone(),
        excluded: state.jobs.worker_health().is_excluded(&WorkerId {
            host: name.clone(),
            incarnation: host.version.incarnation,
        }),
        maintained: (host.maintained > LogTime(0)).then_some(host.maintained),
        moving_to: match &host.activity {
            HostActivity::Moving { to, .. } => Some(to.clone()),
            _ => None,
        },
        name: name.clone(),
        pool: host.pool.clone(),
        rack: host.rack.clone(),
        version: SeenHostVersion {
            incarnation: host.version.incarnation,
            number: host.version.change,
        },
    }
}

/// Reports the waves that match a query, the latest first.
pub(super) fn waves(
    state: &FleetState,
    listing: &HostListing,
    query: &WaveQuery,
) -> Vec<WaveReport> {
    let plan = plan_waves(RolloutInput {
        config: state.config.fleet(),
        list_time: listing.observed,
        membership: &state.membership,
        // The log time advances only with log entries, so the host list may be newer.
        now: state.time().max(listing.observed),
    });
    let selected = state.membership.waves().iter().filter(|(_, wave)| {
        let pool = query.pool.as_ref();
        pool.is_none_or(|pool| wave.pool == *pool)
    });
    let reports = selected.filter_map(|(name, wave)| {
        let progress = plan.waves.iter().find(|progress| progress.wave == *name);
        let wait = progress.and_then(|progress| progress.wait);
        let waits_for = wait.map_or_else(String::new, |wait| wait.to_string());
        wave_report(state, name, wave, waits_for)
    });
    let mut reports: Vec<WaveReport> = reports.collect();
    reports.sort_by_key(|report| std::cmp::Reverse(report.started));
    reports
}

fn wave_report(
    state: &FleetState,
    name: &WaveName,
    wave: &WaveState,
    waits_for: String,
) -> Option<WaveReport> {
    let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
    let started_by = state.audit.by_wave(name).next();
    let started_by = started_by.map_or(String::new(), |record| record.author.0);
    let started_by = started_by
        .strip_prefix(OPERATOR_PREFIX)
        .unwrap_or("unknown");
    let pending = if wave.is_open() {
        state.membership.pending(wave).count()
    } else {
        0
    };
    let mut hosts = state.membership.hosts().iter();
    let stopping = hosts
        .by_ref()
        .filter(|(_, host)| host.is_stopped_by(name))
        .count();
    Some(WaveReport {
        done: count(wave.done.len()),
        hosts: count(wave.done.len() + pending),
        id: RecordId(Uuid::try_parse(name.as_str()).ok()?.as_u128()),
        pool: wave.pool.clone(),
        started: wave.started,
        started_by: OperatorName::try_from(started_by).ok()?,
        state: match wave.status {
            WaveStatus::Running => operators::WaveState::Running,
            WaveStatus::Paused => operators::WaveState::Paused,
            WaveStatus::Finished => operators::WaveState::Done,
            WaveStatus::Cancelled => operators::WaveState::Cancelled,
        },
        stopping: count(stopping),
        version: wave.version.0,
        waits_for,
    })
}

/// Returns a page of an audit trail.
///
/// # Errors
/// `NotFound` when the trail has no record of the subject.
pub(super) fn audit(state: &FleetState, query: &AuditQuery) -> Result<AuditPage, OperatorError> {
    let records: Vec<AuditRecord> = match &query.subject {
        operators::AuditSubject::Config(Some(version)) => {
            state.audit.by_version(*version).collect()
        }
        operators::AuditSubject::Config(None) => {
            let records = state.audit.records();
            records
                .filter(|record| record.subject == AuditSubject::Config)
                .collect()
        }
        operators::AuditSubject::Host(host) => state.audit.by_host(host).collect(),
        operators::AuditSubject::Wave(wave) => state.audit.by_wave(&wave_name(*wave)?).collect(),
    };
    if records.is_empty() {
        return Err(not_found("subject", &subject_name(&query.subject)));
    }
    let after = query.range.after;
    let later = records
        .iter()
        .filter(|record| after.is_none_or(|after| record.offset > after));
    let rows: Vec<AuditReport> = later.map(audit_report).collect();
    let limit = query.range.limit.rows();
    Ok(AuditPage {
        more: rows.len() > limit,
        rows: rows.into_iter().take(limit).collect(),
    })
}

fn subject_name(subject: &operators::AuditSubject) -> String {
    match subject {
        operators::AuditSubject::Config(Some(version)) => format!("configuration {}", version.0),
        operators::AuditSubject::Config(None) => "configuration".to_owned(),
        operators::AuditSubject::Host(host) => host.to_string(),
        operators::AuditSubject::Wave(wave) => wave.to_string(),
    }
}

fn audit_report(record: &AuditRecord) -> AuditReport {
    AuditReport {
        author: record.author.0.clone(),
        change: record.to_string(),
        offset: record.offset,
        record: record.id,
        rejection: record.result.err().map(|rejection| rejection.to_string()),
        time: record.time,
    }
}
