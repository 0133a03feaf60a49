use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Why a worker refused a request. A refused request has no effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerRefusal {
    /// The request is malformed.
    Invalid,
    /// The request names another incarnation of the worker.
    OtherIncarnation,
    /// The worker has no record of the attempt.
    UnknownTask,
    /// No checkpoint of the task can be saved.
    Unsupported,
}

impl fmt::Display for WorkerRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Invalid => "the request is malformed",
            Self::OtherIncarnation => "the request names another incarnation of the worker",
            Self::UnknownTask => "the attempt is not known",
            Self::Unsupported => "no checkpoint of the task can be saved",
        })
    }
}

/// Why a request to a worker got no usable response.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum WorkerError {
    /// The response is malformed. The request may have taken effect.
    #[error("the response of the worker is malformed: {0}")]
    Malformed(String),
    /// No connection was opened, so the request had no effect.
    #[error("the worker is not reachable: {0}")]
    NotSent(String),
    /// The worker refused the request, which had no effect.
    #[error("the worker refused the request: {0}")]
    Refused(WorkerRefusal),
    /// The request may have taken effect. Every request can safely be repeated.
    #[error("the outcome is unknown: {0}")]
    Unknown(String),
}
