use {
    super::{GrantNumber, JobId, JobSize, LeaseRef, TaskUsage, WorkerId},
    crate::ids::{DataCentre, Millis, PoolName, RackName},
};

/// Maximum age of a report to act on. A worker that is silent for longer may be gone.
pub const REPORT_MAX_AGE: Millis = Millis(10 * 1000);

/// State of a task as its worker reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskState {
    /// The task was saved and stopped; the text identifies the saved progress.
    Checkpointed(String),
    /// The task is being saved and will stop.
    Checkpointing,
    /// The task succeeded.
    Done(TaskUsage),
    /// The task ended with a failure.
    Failed(TaskUsage),
    /// The attempt was fenced before it started. The worker will never start it.
    NotStarted,
    /// The worker could not start the task and will never start it.
    Refused,
    /// The task is running, also when it is throttled.
    Running,
}

/// Task as its worker reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskView {
    /// Grant that identifies the attempt.
    pub grant: GrantNumber,
    /// Job that the task runs.
    pub job: JobId,
    /// State as of the report.
    pub state: TaskState,
    /// Share of its processor time that the task may use, in percent; 100 when it is not throttled.
    pub throttle_percent: u8,
}

impl TaskView {
    /// Tells whether the task still uses resources of the worker.
    pub fn is_active(&self) -> bool {
        matches!(self.state, TaskState::Checkpointing | TaskState::Running)
    }

    /// Returns the attempt to which the task belongs.
    pub fn lease(&self) -> LeaseRef {
        LeaseRef {
            grant: self.grant,
            job: self.job,
        }
    }
}

/// Latest report of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerReport {
    /// Time since the worker made the report.
    pub age: Millis,
    /// Tasks known to the worker, ended ones included until it gets `Forget` for them.
    pub tasks: Vec<TaskView>,
    /// Total usage of all tasks.
    pub usage: JobSize,
}

/// State of a worker as known to the placement duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerView {
    /// Total capacity, including what tasks use.
    pub capacity: JobSize,
    /// Data centre of the worker; rack names are unique only within it.
    pub data_centre: DataCentre,
    /// Whether the worker is drained, down or about to stop.
    pub draining: bool,
    /// Host and incarnation of the worker.
    pub id: WorkerId,
    /// Pool to which the worker belongs.
    pub pool: PoolName,
    /// Rack of the worker, within its data centre.
    pub rack: RackName,
    /// Latest report; `None` before the first.
    pub report: Option<WorkerReport>,
}

impl WorkerView {
    /// Returns the report unless it is older than [`REPORT_MAX_AGE`].
    pub fn fresh_report(&self) -> Option<&WorkerReport> {
        let report = self.report.as_ref()?;
        (report.age <= REPORT_MAX_AGE).then_some(report)
    }

    /// Returns the task of an attempt from a recent report.
    pub fn task(&self, lease: LeaseRef) -> Option<&TaskView> {
        let tasks = &self.fresh_report()?.tasks;
        tasks.iter().find(|task| task.lease() == lease)
    }
}
