use goldcreststall_core::error::ErrorKind;

/// A request that is answered with an error.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{kind}: {detail}")]
pub struct RequestError {
    /// What was wrong, for the caller.
    pub detail: String,
    /// The error kind, which decides the response.
    pub kind: ErrorKind,
}

impl RequestError {
    /// Creates an error.
    pub fn new(kind: ErrorKind, detail: impl ToString) -> Self {
        Self {
            detail: detail.to_string(),
            kind,
        }
    }
}

impl From<ErrorKind> for RequestError {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, kind.response().reason)
    }
}
