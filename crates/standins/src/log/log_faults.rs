use serde::{Deserialize, Serialize};

/// The faults of the log service that are in force.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Added to every call, in milliseconds.
    pub delay_ms: u64,
    /// Refuse every call without effect.
    pub down: bool,
    /// Write this many of the next appends and close their connections without a response.
    pub lose_answers: u32,
}
