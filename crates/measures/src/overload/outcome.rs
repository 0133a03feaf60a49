/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RequestEnd {
    /// The response arrived before the deadline.
    Done,
    /// The target responded that the request failed.
    Failed,
    /// The request has not ended.
    #[default]
    Open,
    /// The policy refused the request or its retry, or the request expired in the queue.
    Refused,
    /// The deadline passed after the request was sent.
    Unknown,
}

/// What became of a request in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Whether the policy admitted the request.
    pub admitted: bool,
    /// How the request ended for its caller.
    pub end: RequestEnd,
    /// When the target finished the request, in microseconds.
    pub ended: u64,
    /// Time from arrival until the request was first sent to a target, in microseconds.
    pub start_delay: Option<u64>,
}
