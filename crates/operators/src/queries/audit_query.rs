use {
    super::PageLimit,
    crate::{OperatorError, generated::v1 as raw, wire::FieldCheck},
    goldcreststall_core::{
        config::ConfigVersion,
        ids::{HostName, RecordId},
        ledger::LogOffset,
    },
};

/// Whose changes to return.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AuditSubject {
    /// The changes of the configuration, or of one version.
    Config(Option<ConfigVersion>),
    /// The changes of a host.
    Host(HostName),
    /// The changes of a wave.
    Wave(RecordId),
}

/// Which part of an audit trail to return.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AuditRange {
    /// Only changes after this offset.
    pub after: Option<LogOffset>,
    /// Most changes to return.
    pub limit: PageLimit,
}

/// Asks for a part of an audit trail.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AuditQuery {
    /// The part of the trail.
    pub range: AuditRange,
    /// Whose changes.
    pub subject: AuditSubject,
}

impl AuditRange {
    fn check(check: &mut FieldCheck, raw: Option<raw::AuditRange>) -> Option<Self> {
        let raw = raw.unwrap_or_default();
        let limit = PageLimit::check(check, "range.limit", raw.limit);
        Some(Self {
            after: raw.after_offset.map(LogOffset),
            limit: limit?,
        })
    }
}

impl From<AuditRange> for raw::AuditRange {
    fn from(range: AuditRange) -> Self {
        Self {
            after_offset: range.after.map(|offset| offset.0),
            limit: range.limit.to_wire(),
        }
    }
}

impl TryFrom<raw::AuditHostRequest> for AuditQuery {
    type Error = OperatorError;

    fn try_from(raw: raw::AuditHostRequest) -> Result<Self, OperatorError> {
        let mut check = FieldCheck::default();
        let host = check.name("host", &raw.host);
        let range = AuditRange::check(&mut check, raw.range);
        check.request(|| {
            Some(Self {
                range: range?,
                subject: AuditSubject::Host(host?),
            })
        })
    }
}

impl TryFrom<raw::AuditWaveRequest> for AuditQuery {
    type Error = OperatorError;

    fn try_from(raw: raw::AuditWaveRequest) -> Result<Self, OperatorError> {
        let mut check = FieldCheck::default();
        let wave = check.id("wave", &raw.wave);
        let range = AuditRange::check(&mut check, raw.range);
        check.request(|| {
            Some(Self {
                range: range?,
                subject: AuditSubject::Wave(wave?),
            })
        })
    }
}

impl TryFrom<raw::AuditConfigRequest> for AuditQuery {
    type Error = OperatorError;

    fn try_from(raw: raw::AuditConfigRequest) -> Result<Self, OperatorError> {
        let mut check = FieldCheck::default();
        let range = AuditRange::check(&mut check, raw.range);
        check.request(|| {
            Some(Self {
                range: range?,
                subject: AuditSubject::Config(raw.version.map(ConfigVersion)),
            })
        })
    }
}
