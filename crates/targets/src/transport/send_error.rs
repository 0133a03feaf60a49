use goldcreststall_core::error::ErrorKind;

/// Why a request got no response that can be forwarded.
#[derive(Debug, thiserror::Error)]
#[error("{kind}: {reason}")]
pub struct SendError {
    /// The error kind; its class tells whether the request may have run.
    pub kind: ErrorKind,
    /// Whether the target announced that it is leaving.
    pub leaving: bool,
    /// What went wrong, for the log and the caller.
    pub reason: String,
}

impl SendError {
    /// Creates an error of a target that did not announce that it is leaving.
    pub fn new(kind: ErrorKind, reason: impl ToString) -> Self {
        Self {
            kind,
            leaving: false,
            reason: reason.to_string(),
        }
    }
}
