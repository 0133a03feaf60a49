/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum End {
    /// The answer arrived before the deadline.
    Done,
    /// The target answered that it failed.
    Failed,
    /// No end was reported.
    #[default]
    Open,
    /// The request was refused and did not run.
    Refused,
    /// The deadline passed after the request was sent.
    Unknown,
}

/// What is known of a request after a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Whether the policy admitted the request.
    pub admitted: bool,
    /// How the request ended.
    pub end: End,
    /// When the answer was ready at the target, in microseconds.
    pub ended: u64,
    /// Time from arrival to the first sending, in microseconds.
    pub start_delay: Option<u64>,
}
