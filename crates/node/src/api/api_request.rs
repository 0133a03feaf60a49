use {
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::jobs::{JobPhase, JobSpec},
};

/// What a caller wants.
#[derive(Clone, Debug, PartialEq)]
pub enum ApiAction {
    /// Cancel the job that the path names.
    Cancel,
    /// Tell where a job stands, or how many of a queue have not begun.
    Look,
    /// Accept a job; the text says why its description cannot be read.
    Submit(Result<JobSpec, String>),
}

/// A call of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiRequest {
    /// The host that the caller named.
    pub host: String,
    /// The path.
    pub path: String,
    /// What is wanted.
    pub action: ApiAction,
    /// How long the caller waits, if it says so.
    pub timeout: Option<Millis>,
}

/// The response to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApiResponse {
    /// The submission or cancellation is stored.
    Accepted,
    /// No such job.
    Gone,
    /// The call is not well formed; nothing was done.
    Invalid(String),
    /// No such queue.
    NoRoute,
    /// Jobs of the queue that have not begun.
    Pending(u32),
    /// Where the job stands.
    State(JobPhase),
    /// Nothing was done and nothing will be; come back after this time.
    Unavailable(Millis),
    /// The outcome is not known.
    Unknown,
}

impl ApiResponse {
    /// Names the outcome in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Gone => "gone",
            Self::Invalid(_) => "invalid",
            Self::NoRoute => "no_route",
            Self::Pending(_) => "pending",
            Self::State(_) => "state",
            Self::Unavailable(_) => "unavailable",
            Self::Unknown => "unknown",
        }
    }
}
