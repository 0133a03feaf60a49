use {
    super::{
        RawLimits,
        config_validator::{ConfigValidator, millis_from_seconds},
    },
    crate::ids::Millis,
    serde::{Deserialize, Serialize},
    toml::Value,
};

/// Rows that each audit trail keeps when the file does not set the limit.
const DEFAULT_AUDIT_ROWS: u32 = 10_000;
/// Minimum number of rows; an audit trail must cover several waves.
const MIN_AUDIT_ROWS: u32 = 100;
/// Maximum number of rows; the trail is part of every snapshot.
const MAX_AUDIT_ROWS: u32 = 1_000_000;
/// Drain limit when the file does not set it, in seconds.
const DEFAULT_DRAIN_S: u32 = 600;
/// Maximum drain limit in seconds: one day.
const MAX_DRAIN_S: u32 = 24 * 60 * 60;

/// The validated limits of the fleet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitConfig {
    /// Maximum number of rows that each audit trail keeps.
    pub audit_max_rows: u32,
    /// Maximum time that a host may take to drain.
    pub drain_limit: Millis,
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self {
            audit_max_rows: DEFAULT_AUDIT_ROWS,
            drain_limit: millis_from_seconds(DEFAULT_DRAIN_S),
        }
    }
}

impl LimitConfig {
    pub(super) fn validate(validator: &mut ConfigValidator, value: Option<Value>) -> Option<Self> {
        let Some(value) = value else {
            return Some(Self::default());
        };
        let raw: RawLimits = validator.table("limits", value)?;
        let rows = raw.audit_max_rows.as_ref();
        let rows = validator.number(
            "limits.audit_max_rows",
            rows,
            Some(DEFAULT_AUDIT_ROWS),
            MIN_AUDIT_ROWS..=MAX_AUDIT_ROWS,
        );
        let drain = raw.drain_limit_s.as_ref();
        let drain = validator.number(
            "limits.drain_limit_s",
            drain,
            Some(DEFAULT_DRAIN_S),
            1..=MAX_DRAIN_S,
        );
        validator.reject_unknown("limits.", raw.unknown, "audit_max_rows, drain_limit_s");
        Some(Self {
            audit_max_rows: rows?,
            drain_limit: millis_from_seconds(drain?),
        })
    }
}
