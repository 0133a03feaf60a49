use serde::{Deserialize, Serialize};

/// Active faults of the log service or the host list, as set over HTTP in JSON.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Rejects every call with status 503; the call has no effect.
    pub down: bool,
    /// Number of next appends that are written and whose connections are then closed without a response.
    pub lose_answers: u32,
}
