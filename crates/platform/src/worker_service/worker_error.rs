use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Why a worker refused a request. A refused request changed nothing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerRefusal {
    /// The request is malformed.
    Invalid,
    /// The request names another run of the worker.
    OtherIncarnation,
    /// The worker does not remember the attempt.
    UnknownTask,
    /// The task cannot be saved.
    Unsupported,
}

impl fmt::Display for WorkerRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Invalid => "the request is malformed",
            Self::OtherIncarnation => "the request names another run of the worker",
            Self::UnknownTask => "the attempt is not known",
            Self::Unsupported => "the task cannot be saved",
        })
    }
}

/// Why a request to a worker has no response that can be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WorkerError {
    /// The response is not understood. The request may have taken effect.
    #[error("the answer of the worker is not understood: {0}")]
    Malformed(String),
    /// No connection was opened, so the request had no effect.
    #[error("the worker is not reachable: {0}")]
    NotSent(String),
    /// The worker refused the request.
    #[error("the worker refused: {0}")]
    Refused(WorkerRefusal),
    /// The request may have taken effect. Every request may be repeated.
    #[error("the outcome is unknown: {0}")]
    Unknown(String),
}
