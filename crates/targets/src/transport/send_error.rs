use goldcreststall_core::error::ErrorKind;

/// A request that got no response.
#[derive(Debug, thiserror::Error)]
#[error("{kind}: {reason}")]
pub struct SendError {
    /// What may be concluded.
    pub kind: ErrorKind,
    /// Whether the target said that it is leaving.
    pub leaving: bool,
    /// What was seen, for the log.
    pub reason: String,
}

impl SendError {
    /// Creates an error of a target that did not say that it is leaving.
    pub fn new(kind: ErrorKind, reason: impl ToString) -> Self {
        Self {
            kind,
            leaving: false,
            reason: reason.to_string(),
        }
    }
}
