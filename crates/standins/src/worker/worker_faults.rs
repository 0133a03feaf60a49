use goldcreststall_core::ids::Millis;

/// Faults that a worker simulates.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerFaults {
    /// Every task fails as soon as it starts.
    pub fail_all: bool,
    /// Number of next requests that take effect and whose connections are then closed without a response.
    pub lose_answers: u32,
    /// Every task is refused.
    pub refuse_all: bool,
    /// Time between two reports; status requests in between get the last one again.
    pub report_lag: Millis,
    /// Time between the acceptance of a task and its start.
    pub start_delay: Millis,
}
