use {
    super::PageLimit,
    crate::{OperatorError, generated::v1 as raw, wire::FieldValidator},
    goldcreststall_core::{
        config::ConfigVersion,
        ids::{HostName, RecordId},
        ledger::LogOffset,
    },
};

/// Object whose changes are returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AuditSubject {
    /// The changes of the configuration, or only those of one version.
    Config(Option<ConfigVersion>),
    /// The changes of a host.
    Host(HostName),
    /// The changes of a wave.
    Wave(RecordId),
}

/// Part of an audit trail to return.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AuditRange {
    /// Return only changes after this offset.
    pub after: Option<LogOffset>,
    /// Maximum number of changes to return.
    pub limit: PageLimit,
}

/// Selects a part of an audit trail.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AuditQuery {
    /// Part of the trail to return.
    pub range: AuditRange,
    /// Object whose changes are returned.
    pub subject: AuditSubject,
}

impl AuditRange {
    fn check(validator: &mut FieldValidator, raw: Option<raw::AuditRange>) -> Option<Self> {
        let raw = raw.unwrap_or_default();
        let limit = PageLimit::check(validator, "range.limit", raw.limit);
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
        let mut validator = FieldValidator::default();
        let host = validator.name("host", &raw.host);
        let range = AuditRange::check(&mut validator, raw.range);
        validator.finish_request(|| {
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
        let mut validator = FieldValidator::default();
        let wave = validator.id("wave", &raw.wave);
        let range = AuditRange::check(&mut validator, raw.range);
        validator.finish_request(|| {
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
        let mut validator = FieldValidator::default();
        let range = AuditRange::check(&mut validator, raw.range);
        validator.finish_request(|| {
            Some(Self {
                range: range?,
                subject: AuditSubject::Config(raw.version.map(ConfigVersion)),
            })
        })
    }
}
