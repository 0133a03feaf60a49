use goldcreststall_core::error::ErrorKind;

/// Why a request gets an error response.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{kind}: {detail}")]
pub struct RequestError {
    /// Text for the caller.
    pub detail: String,
    /// Decides the status code and the headers of the response.
    pub kind: ErrorKind,
}

impl RequestError {
    /// Creates an error whose text is `detail`.
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
