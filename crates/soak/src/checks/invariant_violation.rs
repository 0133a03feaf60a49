use {goldcreststall_core::ids::Millis, serde::Serialize};

/// What the system promises.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Invariant {
    /// A work item starts at most as often as its queue allows.
    Attempts,
    /// Our own orders leave enough work items that last at work.
    Available,
    /// An accepted configuration comes into force.
    Configuration,
    /// An accepted job is completed, or ends for a cause that callers know.
    Kept,
    /// Nothing starts long after its job was cancelled.
    NotCancelled,
    /// A job that was refused does not run.
    NotRefused,
    /// A work item does not run twice.
    Once,
    /// A step starts when the steps before it are done.
    Order,
    /// No process ends by itself.
    Processes,
    /// Runs are where queue and spread allow, and find room.
    Room,
    /// Only what callers handed in runs.
    Submitted,
    /// Answers about a job do not contradict each other, nor what its runs show.
    Truth,
    /// A wave keeps its limit and is completed.
    Waves,
}

/// An invariant that was violated.
#[derive(Clone, Debug, Serialize)]
pub struct InvariantViolation {
    /// The invariant.
    #[serde(rename = "promise")]
    pub invariant: Invariant,
    /// When, in milliseconds since the start of the platform.
    pub at_ms: u64,
    /// What was seen.
    pub detail: String,
}

impl InvariantViolation {
    /// Creates a violation.
    pub fn new(invariant: Invariant, at: Millis, detail: String) -> Self {
        Self {
            invariant,
            at_ms: at.0,
            detail,
        }
    }
}
