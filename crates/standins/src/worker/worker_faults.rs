use goldcreststall_core::ids::Millis;

/// What goes wrong on a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerFaults {
    /// Every task fails as soon as it begins.
    pub fail_all: bool,
    /// Number of next requests whose answer is lost after they took effect.
    pub lose_answers: u32,
    /// Every task is refused.
    pub refuse_all: bool,
    /// Time between two reports; answers in between repeat the last one.
    pub report_lag: Millis,
    /// Time between the acceptance of a task and its begin.
    pub start_delay: Millis,
}
