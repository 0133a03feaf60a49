use {goldcreststall_core::error::ErrorKind, http::StatusCode};

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

    /// Creates the error of a request whose body was refused with `status` while it was read.
    pub fn from_refusal(status: StatusCode) -> Self {
        match status {
            StatusCode::SERVICE_UNAVAILABLE => Self::new(
                ErrorKind::QueueFull,
                "the body was too slow, or callers hold too many bodies",
            ),
            StatusCode::PAYLOAD_TOO_LARGE => {
                Self::new(ErrorKind::InvalidRequest, "the body is too large")
            }
            _ => Self::new(ErrorKind::InvalidRequest, "the body is broken"),
        }
    }
}

impl From<ErrorKind> for RequestError {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, kind.response().reason)
    }
}
