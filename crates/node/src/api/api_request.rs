use {
    super::ApiHead,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::jobs::{JobPhase, JobSpec},
};

/// What a caller requests.
#[derive(Clone, Debug, PartialEq)]
pub enum ApiAction {
    /// Cancels the job that the path names.
    Cancel,
    /// Reads the state of a job, or the number of a queue's jobs that have not started.
    Query,
    /// Submits a job; the error says why its description cannot be read.
    Submit(Result<JobSpec, String>),
}

/// A request of a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct ApiRequest {
    /// What is known of the request before its body is read.
    pub head: ApiHead,
    /// What is requested.
    pub action: ApiAction,
    /// How long the caller waits; `None` if the request does not say.
    pub timeout: Option<Millis>,
}

/// The response to a caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApiResponse {
    /// The submission or cancellation is stored.
    Accepted,
    /// There is no such job.
    Gone,
    /// The request is malformed, for this reason; nothing was done.
    Invalid(String),
    /// There is no such queue.
    NoRoute,
    /// Nothing was done and nothing will be: the organisation is above its rate and capacity is short; the caller may retry
    /// after this time.
    OverRate(Millis),
    /// Number of the queue's jobs that have not started.
    Pending(u32),
    /// Nothing was done and nothing will be: the job of an organisation would be placed too late; the caller may retry
    /// after this time.
    PoolFull(Millis),
    /// State of the job.
    State(JobPhase),
    /// The queue is not public and the request has no key of an organisation; nothing was done.
    Unauthorized,
    /// Nothing was done and nothing will be; the caller may retry after this time.
    Unavailable(Millis),
    /// The queue is not public and keys cannot be verified while the store is silent; nothing was done and nothing will be.
    /// The caller may retry after this time.
    Unverified(Millis),
    /// The outcome is unknown: the request may have been executed.
    Unknown,
}

impl ApiResponse {
    /// Returns the name of the outcome in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Gone => "gone",
            Self::Invalid(_) => "invalid",
            Self::NoRoute => "no_route",
            Self::OverRate(_) => "over_rate",
            Self::Pending(_) => "pending",
            Self::PoolFull(_) => "pool_full",
            Self::State(_) => "state",
            Self::Unauthorized => "unauthorized",
            Self::Unavailable(_) => "unavailable",
            Self::Unverified(_) => "unverified",
            Self::Unknown => "unknown",
        }
    }
}
