use {
    super::{AuditAction, AuditSubject, HostCondition, name_table::NameKey},
    crate::{
        config::ConfigVersion,
        ids::{LogTime, PoolName, RecordId, WaveName},
        ledger::{Author, LogOffset, Rejection},
        membership::WaveStatus,
    },
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// The pool and condition of a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostSummary {
    /// Summary of its failures and plans.
    pub condition: HostCondition,
    /// Pool that the host belongs to.
    pub pool: PoolName,
}

/// State of a subject before or after a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AuditValue {
    /// The subject is not known.
    Absent,
    /// The version of the configuration.
    Config(ConfigVersion),
    /// The state of a host.
    Host(HostSummary),
    /// The status of a wave.
    Wave(WaveStatus),
}

/// One change in the audit trail.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AuditRecord {
    /// What was asked for.
    pub action: AuditAction,
    /// Operator or entry host that asked for it.
    pub author: Author,
    /// The state before the change.
    pub from: AuditValue,
    /// Identity of the log record.
    pub id: RecordId,
    /// Offset of the log entry.
    pub offset: LogOffset,
    /// Accepted, or why the change was ignored.
    pub result: Result<(), Rejection>,
    /// What the change is about.
    pub subject: AuditSubject,
    /// Log time of the change.
    pub time: LogTime,
    /// The state after the change; equal to `from` when the change was ignored.
    pub to: AuditValue,
    /// The wave that a planned stop belongs to.
    pub wave: Option<WaveName>,
}

impl fmt::Display for AuditValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent => formatter.write_str("absent"),
            Self::Config(version) => write!(formatter, "version {}", version.0),
            Self::Host(host) => write!(formatter, "{:?} in {}", host.condition, host.pool),
            Self::Wave(status) => write!(formatter, "{status:?}"),
        }
    }
}

impl fmt::Display for AuditRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.subject {
            AuditSubject::Config => write!(formatter, "configuration")?,
            AuditSubject::Host(host) => write!(formatter, "host {host}")?,
            AuditSubject::Wave(wave) => write!(formatter, "wave {wave}")?,
        }
        write!(formatter, ": {:?}", self.action)?;
        if self.from == self.to {
            return write!(formatter, ", unchanged {}", self.to);
        }
        write!(formatter, ", {} to {}", self.from, self.to)
    }
}

/// An [`AuditValue`] with interned names.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) enum CompactValue {
    Absent,
    Config(ConfigVersion),
    Host(HostCondition, NameKey),
    Wave(WaveStatus),
}

/// An [`AuditSubject`] with an interned name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) enum CompactSubject {
    Config,
    Host(NameKey),
    Wave(NameKey),
}

/// An [`AuditRecord`] as it is stored: of fixed size, with interned names.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct CompactRecord {
    pub(super) action: AuditAction,
    pub(super) author: NameKey,
    pub(super) from: CompactValue,
    pub(super) id: RecordId,
    pub(super) offset: LogOffset,
    pub(super) rejection: Option<Rejection>,
    pub(super) subject: CompactSubject,
    pub(super) time: LogTime,
    pub(super) to: CompactValue,
    pub(super) wave: Option<NameKey>,
}

impl CompactRecord {
    /// Returns the keys of all names in the record, so that the caller can renumber them.
    pub(super) fn name_keys(&mut self) -> impl Iterator<Item = &mut NameKey> {
        let pool_key = |value| match value {
            &mut CompactValue::Host(_, ref mut pool) => Some(pool),
            _ => None,
        };
        let subject_key = match &mut self.subject {
            CompactSubject::Config => None,
            CompactSubject::Host(name) | CompactSubject::Wave(name) => Some(name),
        };
        [
            Some(&mut self.author),
            pool_key(&mut self.from),
            subject_key,
            pool_key(&mut self.to),
            self.wave.as_mut(),
        ]
        .into_iter()
        .flatten()
    }
}
