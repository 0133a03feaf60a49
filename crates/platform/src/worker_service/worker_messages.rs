use {
    super::{WorkerRefusal, job_text},
    goldcreststall_core::{
        ids::{Incarnation, Millis, OrganisationName, ServiceName},
        jobs::{GrantNumber, JobId, JobSize, TaskState, TaskUsage, TaskView, WorkerReport},
    },
    serde::{Deserialize, Serialize},
};

/// Identifies an attempt on one incarnation of a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRequest {
    /// Number of the attempt.
    pub grant: GrantNumber,
    /// The addressed incarnation of the worker.
    pub incarnation: Incarnation,
    /// Id of the job.
    #[serde(with = "job_text")]
    pub job: JobId,
}

/// Describes the work of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskOrder {
    /// Checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// Input of the work; the entry hosts do not interpret it.
    pub payload: String,
    /// The service that the job belongs to.
    pub service: ServiceName,
    /// Size of the reservation for the task.
    pub size: JobSize,
    /// The organisation on whose behalf the task runs.
    #[serde(rename = "tenant")]
    pub organisation: OrganisationName,
}

/// Starts a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRequest {
    /// Time left of the lease. The task must start within it.
    pub lease: Millis,
    /// Description of the work.
    pub order: TaskOrder,
    /// The attempt that the request is about.
    pub task: TaskRequest,
}

/// Extends the lease of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RenewRequest {
    /// Time left of the lease.
    pub lease: Millis,
    /// The attempt that the request is about.
    pub task: TaskRequest,
}

/// Limits the share of processor time that a task may use.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ThrottleRequest {
    /// Share of its processor time that the task may use, from 1 to 100.
    pub percent: u8,
    /// The attempt that the request is about.
    pub task: TaskRequest,
}

/// State of a task on its worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// The task saved a checkpoint and stopped; the text names the checkpoint.
    Checkpointed(String),
    /// The task is saving a checkpoint and will stop.
    Checkpointing,
    /// The task ran to its end.
    Done,
    /// The task ended with a failure.
    Failed,
    /// The attempt was fenced, or its lease ended, before the task started. It will never start.
    NotStarted,
    /// The worker could not start the task and never will.
    Refused,
    /// The task is running.
    Running,
    /// The task was accepted and has not started.
    Starting,
    /// The task was stopped.
    Stopped,
}

/// A task as its worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskReport {
    /// Number of the attempt.
    pub grant: GrantNumber,
    /// Id of the job.
    #[serde(with = "job_text")]
    pub job: JobId,
    /// State of the task.
    pub phase: TaskPhase,
    /// Share of its processor time that the task may use, in percent.
    pub throttle_percent: u8,
    /// Resources that the task uses, or used until it ended.
    pub usage: TaskUsage,
}

/// State of a worker as it reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// Time since the worker made the report.
    pub age: Millis,
    /// Total capacity of the worker.
    pub capacity: JobSize,
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// The tasks that the worker knows, including ended ones whose report was not removed yet.
    pub tasks: Vec<TaskReport>,
    /// Resources that all tasks together use.
    pub usage: JobSize,
}

/// Body of a response that refuses a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalBody {
    /// Reason of the refusal.
    pub refusal: WorkerRefusal,
}

impl TaskReport {
    /// Converts the report to the view of the placement duty.
    pub fn view(&self) -> TaskView {
        let state = match &self.phase {
            TaskPhase::Checkpointed(checkpoint) => TaskState::Checkpointed(checkpoint.clone()),
            TaskPhase::Checkpointing => TaskState::Checkpointing,
            TaskPhase::Done => TaskState::Done(self.usage),
            // A stopped task has started and did not reach its end.
            TaskPhase::Failed | TaskPhase::Stopped => TaskState::Failed(self.usage),
            TaskPhase::NotStarted => TaskState::NotStarted,
            TaskPhase::Refused => TaskState::Refused,
            TaskPhase::Running | TaskPhase::Starting => TaskState::Running,
        };
        TaskView {
            grant: self.grant,
            job: self.job,
            state,
            throttle_percent: self.throttle_percent,
        }
    }
}

impl WorkerStatus {
    /// Converts the status to the report of the placement duty, `elapsed` after the response arrived.
    pub fn report(&self, elapsed: Millis) -> WorkerReport {
        WorkerReport {
            age: Millis(self.age.0.saturating_add(elapsed.0)),
            tasks: self.tasks.iter().map(TaskReport::view).collect(),
            usage: self.usage,
        }
    }
}
