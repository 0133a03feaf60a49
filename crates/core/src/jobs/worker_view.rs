use {
    super::{GrantNumber, JobId, JobSize, LeaseRef, TaskUsage, WorkerId},
    crate::ids::{DataCentre, Millis, PoolName, RackName},
};

/// Oldest report on which a worker gets jobs. A worker that is silent for longer may be gone.
pub const REPORT_MAX_AGE: Millis = Millis(10 * 1000);

/// What a worker says of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskState {
    /// The task was saved and stopped; the text names the saved progress.
    Checkpointed(String),
    /// The task is being saved and will stop.
    Checkpointing,
    /// The task ran to its end.
    Done(TaskUsage),
    /// The task ended with a failure.
    Failed(TaskUsage),
    /// The attempt was fenced before it started. The worker never will start it.
    NotStarted,
    /// The worker could not start the task and never will.
    Refused,
    /// The task runs.
    Running,
}

/// A task as its worker reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskView {
    /// Identity of the attempt.
    pub grant: GrantNumber,
    /// The job.
    pub job: JobId,
    /// Its state.
    pub state: TaskState,
    /// Share of its processor time that the task may use, 100 when it is not throttled.
    pub throttle_percent: u8,
}

impl TaskView {
    /// Tells whether the task still uses the worker.
    pub fn is_active(&self) -> bool {
        matches!(self.state, TaskState::Checkpointing | TaskState::Running)
    }

    /// Returns the attempt that the task belongs to.
    pub fn lease(&self) -> LeaseRef {
        LeaseRef {
            grant: self.grant,
            job: self.job,
        }
    }
}

/// What a worker said last.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerReport {
    /// Time since the worker made the report.
    pub age: Millis,
    /// The tasks that the worker remembers.
    pub tasks: Vec<TaskView>,
    /// What all tasks together use.
    pub usage: JobSize,
}

/// A worker as the placement duty sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerView {
    /// What the worker holds.
    pub capacity: JobSize,
    /// Where the worker is.
    pub data_centre: DataCentre,
    /// Whether the worker is drained, down or about to stop.
    pub draining: bool,
    /// The run of the worker.
    pub id: WorkerId,
    /// The pool that the worker belongs to.
    pub pool: PoolName,
    /// The rack of the worker.
    pub rack: RackName,
    /// The last report; none before the first.
    pub report: Option<WorkerReport>,
}

impl WorkerView {
    /// Returns the report when it is recent enough to act on.
    pub fn fresh_report(&self) -> Option<&WorkerReport> {
        let report = self.report.as_ref()?;
        (report.age <= REPORT_MAX_AGE).then_some(report)
    }

    /// Returns what a recent report says of an attempt.
    pub fn task(&self, lease: LeaseRef) -> Option<&TaskView> {
        let tasks = &self.fresh_report()?.tasks;
        tasks.iter().find(|task| task.lease() == lease)
    }
}
