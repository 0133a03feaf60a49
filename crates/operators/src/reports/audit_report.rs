use {
    crate::{
        OperatorError,
        generated::v1 as raw,
        wire::{FieldValidator, id_text},
    },
    goldcreststall_core::{
        ids::{LogTime, RecordId},
        ledger::LogOffset,
    },
    serde::Serialize,
};

/// A change and its outcome.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct AuditReport {
    /// The operator or entry host that made the change.
    pub author: String,
    /// Description of the change.
    pub change: String,
    /// Offset of the log entry.
    pub offset: LogOffset,
    /// Id of the log record.
    #[serde(serialize_with = "id_text")]
    pub record: RecordId,
    /// Why the change was ignored; `None` when it was accepted.
    pub rejection: Option<String>,
    /// Time stamped by the log.
    #[serde(rename = "time_ms")]
    pub time: LogTime,
}

/// A page of an audit trail, in the order of the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct AuditPage {
    /// Whether there are more changes after the last one.
    pub more: bool,
    /// Changes of the page, accepted and ignored ones.
    pub rows: Vec<AuditReport>,
}

impl From<AuditReport> for raw::AuditRow {
    fn from(report: AuditReport) -> Self {
        Self {
            author: report.author,
            change: report.change,
            offset: report.offset.0,
            record_id: report.record.to_string(),
            rejection: report.rejection,
            time_ms: report.time.0,
        }
    }
}

impl TryFrom<raw::AuditRow> for AuditReport {
    type Error = OperatorError;

    fn try_from(raw: raw::AuditRow) -> Result<Self, OperatorError> {
        let mut validator = FieldValidator::default();
        let record = validator.id("record_id", &raw.record_id);
        validator.finish_response(|| {
            Some(Self {
                author: raw.author,
                change: raw.change,
                offset: LogOffset(raw.offset),
                record: record?,
                rejection: raw.rejection,
                time: LogTime(raw.time_ms),
            })
        })
    }
}

impl From<AuditPage> for raw::AuditReply {
    fn from(page: AuditPage) -> Self {
        Self {
            more: page.more,
            rows: page.rows.into_iter().map(raw::AuditRow::from).collect(),
        }
    }
}

impl TryFrom<raw::AuditReply> for AuditPage {
    type Error = OperatorError;

    fn try_from(raw: raw::AuditReply) -> Result<Self, OperatorError> {
        let rows: Result<_, _> = raw.rows.into_iter().map(AuditReport::try_from).collect();
        Ok(Self {
            more: raw.more,
            rows: rows?,
        })
    }
}
