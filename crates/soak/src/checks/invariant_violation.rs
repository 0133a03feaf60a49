use {goldcreststall_core::ids::Millis, serde::Serialize};

/// A guarantee of the system that the soak test checks.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Invariant {
    /// A work item does not start again after as many failed runs as its queue allows attempts.
    Attempts,
    /// Commands of the system leave enough work items of a long-running step at work.
    Available,
    /// A published configuration takes effect on every entry host.
    Configuration,
    /// An accepted job ends and its caller sees the final phase, or it stays at work if it is long-running.
    Kept,
    /// No work item starts long after the cancellation of its job was acknowledged.
    NotCancelled,
    /// A job whose submissions were all refused does not run.
    NotRefused,
    /// A work item has at most one run at a time, and none after an acknowledged end as done.
    Once,
    /// A step starts only after the steps that it depends on are done.
    Order,
    /// No process of an entry host exits by itself.
    Processes,
    /// A run is placed in the pool of its queue, within the capacity of the host and the anti-affinity of its step.
    Room,
    /// After the end of the faults and the load, a work item of an accepted job that can run starts in time.
    Started,
    /// Only jobs that callers submitted run, with the submitted description.
    Submitted,
    /// Responses about a job contradict neither each other nor what its runs showed.
    Truth,
    /// A wave takes no more hosts at once than its limit, and it is completed in time; only the completion is checked.
    Waves,
}

/// One violation of an invariant.
#[derive(Clone, Debug, Serialize)]
pub struct InvariantViolation {
    /// The invariant that was violated.
    #[serde(rename = "promise")]
    pub invariant: Invariant,
    /// Time of the observation, in milliseconds since the start of the platform stand-in.
    pub at_ms: u64,
    /// What was observed.
    pub detail: String,
}

impl InvariantViolation {
    /// Creates a violation that was observed at `at`, counted from the start of the platform stand-in.
    pub fn new(invariant: Invariant, at: Millis, detail: String) -> Self {
        Self {
            invariant,
            at_ms: at.0,
            detail,
        }
    }
}
