use {
    super::{AuditValue, HostSummary},
    crate::{
        config::ConfigRecord,
        ids::{HostName, WaveName},
        ledger::{FleetState, RecordBody},
        membership::{HostActivity, HostState, MembershipRecord as Record},
    },
    serde::{Deserialize, Serialize},
};

/// The change that a log record asks for.
///
/// The encoding numbers the variants, so new ones are added at the end only.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum AuditAction {
    /// Publication of a configuration.
    ConfigPublish,
    /// An operator put a host back into service.
    DrainEnd,
    /// An operator took a host out of service.
    DrainStart,
    /// A host was added.
    HostAdd,
    /// A host was reported as down.
    HostDown,
    /// A host was removed.
    HostRemove,
    /// A host was reported as up.
    HostUp,
    /// A move was cancelled; the host stays in its old pool.
    MoveCancel,
    /// A host changed its pool after it had drained.
    MoveFinish,
    /// A host started to drain for a change of its pool.
    MoveStart,
    /// A stopping host has drained and may be rebooted.
    StopDrained,
    /// A planned stop started; the host drains.
    StopStart,
    /// A wave was cancelled.
    WaveCancel,
    /// A wave ended with all its hosts maintained.
    WaveFinish,
    /// A wave was paused.
    WavePause,
    /// A wave was resumed.
    WaveResume,
    /// A wave started.
    WaveStart,
}

/// What a change is about.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum AuditSubject {
    /// The configuration.
    Config,
    /// A host.
    Host(HostName),
    /// A wave.
    Wave(WaveName),
}

/// Summary of the state of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum HostCondition {
    /// The host is down, whatever is planned for it.
    Down,
    /// An operator has taken the host out of service.
    Draining,
    /// The host drains to change its pool.
    Moving,
    /// The host takes work.
    Serving,
    /// The host is stopped for maintenance.
    Stopping,
}

impl From<&HostState> for HostCondition {
    fn from(host: &HostState) -> Self {
        match host.activity {
            _ if host.down.is_some() => Self::Down,
            HostActivity::Serving => Self::Serving,
            HostActivity::Draining => Self::Draining,
            HostActivity::Moving { .. } => Self::Moving,
            HostActivity::Stopping(_) => Self::Stopping,
        }
    }
}

/// One change that the trail records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct AuditChange {
    pub(super) action: AuditAction,
    pub(super) subject: AuditSubject,
    /// The wave that a planned stop belongs to.
    pub(super) wave: Option<WaveName>,
}

impl AuditChange {
    /// Returns the changes that a record asks for: the one it names, followed by those that result from it. Claims
    /// and jobs are not audited.
    pub(crate) fn changes_of(state: &FleetState, body: &RecordBody) -> Vec<Self> {
        match body {
            RecordBody::Config(ConfigRecord::Publish { .. }) => vec![Self {
                action: AuditAction::ConfigPublish,
                subject: AuditSubject::Config,
                wave: None,
            }],
            RecordBody::Membership(record) => {
                let (action, subject) = membership_change(record);
                let mut changes = vec![Self {
                    action,
                    subject,
                    wave: wave_of_stop(record),
                }];
                if let Record::WaveCancel { wave, .. } = record {
                    changes.extend(Self::released_hosts(state, wave));
                }
                changes
            }
            RecordBody::Claim(_) | RecordBody::Job(_) => Vec::new(),
        }
    }

    /// Returns the changes of the hosts that serve again when a wave is cancelled.
    fn released_hosts<'a>(
        state: &'a FleetState,
        wave: &'a WaveName,
    ) -> impl Iterator<Item = Self> + use<'a> {
        let hosts = state.membership.hosts().iter();
        let draining = hosts.filter(move |(_, host)| {
            let stop = host.stop().filter(|_| host.is_stopped_by(wave));
            stop.is_some_and(|stop| stop.drained.is_none())
        });
        draining.map(move |(name, _)| Self {
            action: AuditAction::WaveCancel,
            subject: AuditSubject::Host(name.clone()),
            wave: Some(wave.clone()),
        })
    }

    /// Returns the state of the subject in `state`.
    pub(crate) fn value(&self, state: &FleetState) -> AuditValue {
        match &self.subject {
            AuditSubject::Config => AuditValue::Config(state.config.version()),
            AuditSubject::Host(name) => {
                let host = state.membership.hosts().get(name);
                host.map_or(AuditValue::Absent, |host| {
                    AuditValue::Host(HostSummary {
                        condition: host.into(),
                        pool: host.pool.clone(),
                    })
                })
            }
            AuditSubject::Wave(name) => {
                let wave = state.membership.waves().get(name);
                wave.map_or(AuditValue::Absent, |wave| AuditValue::Wave(wave.status))
            }
        }
    }
}

fn wave_of_stop(record: &Record) -> Option<WaveName> {
    match record {
        Record::StopStart { wave, .. } => wave.as_ref().map(|wave| wave.wave.clone()),
        _ => None,
    }
}

fn membership_change(record: &Record) -> (AuditAction, AuditSubject) {
    let host_change = |action, host: &HostName| (action, AuditSubject::Host(host.clone()));
    let wave_change = |action, wave: &WaveName| (action, AuditSubject::Wave(wave.clone()));
    match record {
        Record::HostAdd { host, .. } => host_change(AuditAction::HostAdd, host),
        Record::HostRemove { host, .. } => host_change(AuditAction::HostRemove, host),
        Record::HostDown { host, .. } => host_change(AuditAction::HostDown, host),
        Record::HostUp { host, .. } => host_change(AuditAction::HostUp, host),
        Record::MoveStart { host, .. } => host_change(AuditAction::MoveStart, host),
        Record::MoveFinish { host, .. } => host_change(AuditAction::MoveFinish, host),
        Record::MoveCancel { host, .. } => host_change(AuditAction::MoveCancel, host),
        Record::DrainStart { host, .. } => host_change(AuditAction::DrainStart, host),
        Record::DrainEnd { host, .. } => host_change(AuditAction::DrainEnd, host),
        Record::StopStart { host, .. } => host_change(AuditAction::StopStart, host),
        Record::StopDrained { host, .. } => host_change(AuditAction::StopDrained, host),
        Record::WaveStart { wave, .. } => wave_change(AuditAction::WaveStart, wave),
        Record::WavePause { wave, .. } => wave_change(AuditAction::WavePause, wave),
        Record::WaveResume { wave, .. } => wave_change(AuditAction::WaveResume, wave),
        Record::WaveCancel { wave, .. } => wave_change(AuditAction::WaveCancel, wave),
        Record::WaveFinish { wave, .. } => wave_change(AuditAction::WaveFinish, wave),
    }
}
