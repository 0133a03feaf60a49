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
    /// Condition of the host.
    pub condition: HostCondition,
    /// Pool of the host.
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

/// A change in the audit trail.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AuditLine {
    /// What was asked for.
    pub action: AuditAction,
    /// Who asked for it.
    pub author: Author,
    /// The state before the change.
    pub from: AuditValue,
    /// Identity of the record.
    pub id: RecordId,
    /// Place of the log entry.
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

impl fmt::Display for AuditLine {
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

/// A value with its names replaced by keys.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) enum StoredValue {
    Absent,
    Config(ConfigVersion),
    Host(HostCondition, NameKey),
    Wave(WaveStatus),
}

/// A subject with its name replaced by a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) enum StoredSubject {
    Config,
    Host(NameKey),
    Wave(NameKey),
}

/// An entry as it is kept: fixed size, without text of its own.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct StoredEntry {
    pub(super) action: AuditAction,
    pub(super) author: NameKey,
    pub(super) from: StoredValue,
    pub(super) id: RecordId,
    pub(super) offset: LogOffset,
    pub(super) rejection: Option<Rejection>,
    pub(super) subject: StoredSubject,
    pub(super) time: LogTime,
    pub(super) to: StoredValue,
    pub(super) wave: Option<NameKey>,
}

impl StoredEntry {
    /// Returns the names that the entry refers to, for replacement.
    pub(super) fn keys(&mut self) -> impl Iterator<Item = &mut NameKey> {
        let value = |value| match value {
            &mut StoredValue::Host(_, ref mut pool) => Some(pool),
            _ => None,
        };
        let subject = match &mut self.subject {
            StoredSubject::Config => None,
            StoredSubject::Host(name) | StoredSubject::Wave(name) => Some(name),
        };
        [
            Some(&mut self.author),
            value(&mut self.from),
            subject,
            value(&mut self.to),
            self.wave.as_mut(),
        ]
        .into_iter()
        .flatten()
    }
}
