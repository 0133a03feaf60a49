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

/// What a record asked for.
///
/// The encoding numbers the variants, so new ones are added at the end only.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum AuditAction {
    /// Publication of a configuration.
    ConfigPublish,
    /// A host was put back into service.
    DrainEnd,
    /// A host was taken out of service.
    DrainStart,
    /// A host was added.
    HostAdd,
    /// A host was reported as down.
    HostDown,
    /// A host was removed.
    HostRemove,
    /// A host was reported as up.
    HostUp,
    /// A move was cancelled.
    MoveCancel,
    /// A move ended.
    MoveFinish,
    /// A move began.
    MoveStart,
    /// A stopping host had no more work.
    StopDrained,
    /// A planned stop began.
    StopStart,
    /// A wave was given up.
    WaveCancel,
    /// A wave ended.
    WaveFinish,
    /// A wave was paused.
    WavePause,
    /// A wave was resumed.
    WaveResume,
    /// A wave began.
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

/// The condition of a host in short.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum HostCondition {
    /// The host is down, whatever is planned with it.
    Down,
    /// The host is out of service.
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

/// A record that the trail keeps: what it asks for and what it is about.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct AuditChange {
    pub(super) action: AuditAction,
    pub(super) subject: AuditSubject,
    /// The wave that a planned stop belongs to.
    pub(super) wave: Option<WaveName>,
}

impl AuditChange {
    /// Returns the changes that a record asks for: the one it names and those that follow from it. The trail
    /// keeps neither claims nor jobs.
    pub(crate) fn all(state: &FleetState, body: &RecordBody) -> Vec<Self> {
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
                    wave: stop_wave(record),
                }];
                if let Record::WaveCancel { wave, .. } = record {
                    changes.extend(Self::released(state, wave));
                }
                changes
            }
            RecordBody::Claim(_) | RecordBody::Job(_) => Vec::new(),
        }
    }

    /// Returns the changes of the hosts that serve again when a wave is given up.
    fn released<'a>(
        state: &'a FleetState,
        wave: &'a WaveName,
    ) -> impl Iterator<Item = Self> + use<'a> {
        let hosts = state.membership.hosts().iter();
        let draining = hosts.filter(move |(_, host)| {
            let stop = host.stop().filter(|_| host.stopped_by(wave));
            stop.is_some_and(|stop| stop.drained.is_none())
        });
        draining.map(move |(name, _)| Self {
            action: AuditAction::WaveCancel,
            subject: AuditSubject::Host(name.clone()),
            wave: Some(wave.clone()),
        })
    }

    /// Returns the state of the subject.
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

fn stop_wave(record: &Record) -> Option<WaveName> {
    match record {
        Record::StopStart { wave, .. } => wave.as_ref().map(|wave| wave.wave.clone()),
        _ => None,
    }
}

fn membership_change(record: &Record) -> (AuditAction, AuditSubject) {
    let on_host = |action, host: &HostName| (action, AuditSubject::Host(host.clone()));
    let on_wave = |action, wave: &WaveName| (action, AuditSubject::Wave(wave.clone()));
    match record {
        Record::HostAdd { host, .. } => on_host(AuditAction::HostAdd, host),
        Record::HostRemove { host, .. } => on_host(AuditAction::HostRemove, host),
        Record::HostDown { host, .. } => on_host(AuditAction::HostDown, host),
        Record::HostUp { host, .. } => on_host(AuditAction::HostUp, host),
        Record::MoveStart { host, .. } => on_host(AuditAction::MoveStart, host),
        Record::MoveFinish { host, .. } => on_host(AuditAction::MoveFinish, host),
        Record::MoveCancel { host, .. } => on_host(AuditAction::MoveCancel, host),
        Record::DrainStart { host, .. } => on_host(AuditAction::DrainStart, host),
        Record::DrainEnd { host, .. } => on_host(AuditAction::DrainEnd, host),
        Record::StopStart { host, .. } => on_host(AuditAction::StopStart, host),
        Record::StopDrained { host, .. } => on_host(AuditAction::StopDrained, host),
        Record::WaveStart { wave, .. } => on_wave(AuditAction::WaveStart, wave),
        Record::WavePause { wave, .. } => on_wave(AuditAction::WavePause, wave),
        Record::WaveResume { wave, .. } => on_wave(AuditAction::WaveResume, wave),
        Record::WaveCancel { wave, .. } => on_wave(AuditAction::WaveCancel, wave),
        Record::WaveFinish { wave, .. } => on_wave(AuditAction::WaveFinish, wave),
    }
}
