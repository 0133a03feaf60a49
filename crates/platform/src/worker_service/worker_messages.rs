use {
    super::{WorkerRefusal, job_text},
    goldcreststall_core::{
        ids::{Incarnation, Millis, OrganisationName, ServiceName},
        jobs::{GrantNumber, JobId, JobSize, TaskState, TaskUsage, TaskView, WorkerReport},
    },
    serde::{Deserialize, Serialize},
};

/// Names an attempt on one run of a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRequest {
    /// Identity of the attempt.
    pub grant: GrantNumber,
    /// The run of the worker that is meant.
    pub incarnation: Incarnation,
    /// The job.
    #[serde(with = "job_text")]
    pub job: JobId,
}

/// What a task is to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskOrder {
    /// Saved progress to resume from.
    pub checkpoint: Option<String>,
    /// The work, opaque to us.
    pub payload: String,
    /// The kind of work.
    pub service: ServiceName,
    /// The size that is reserved for the task.
    pub size: JobSize,
    /// On whose behalf the task runs.
    #[serde(rename = "tenant")]
    pub organisation: OrganisationName,
}

/// Starts a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartRequest {
    /// Rest of the lease. The task must begin within it.
    pub lease: Millis,
    /// What the task is to do.
    pub order: TaskOrder,
    /// The attempt.
    pub task: TaskRequest,
}

/// Extends the lease of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RenewRequest {
    /// Rest of the lease.
    pub lease: Millis,
    /// The attempt.
    pub task: TaskRequest,
}

/// Limits the processor time of a task.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ThrottleRequest {
    /// Share of its processor time that the task may use, 1 to 100.
    pub percent: u8,
    /// The attempt.
    pub task: TaskRequest,
}

/// State of a task on its worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// The task was saved and stopped; the text names the saved progress.
    Checkpointed(String),
    /// The task is being saved and will stop.
    Checkpointing,
    /// The task ran to its end.
    Done,
    /// The task ended with a failure.
    Failed,
    /// The attempt was fenced, or its lease ended, before the task began. It never will begin.
    NotStarted,
    /// The worker could not begin the task and never will.
    Refused,
    /// The task runs.
    Running,
    /// The task was accepted and has not begun.
    Starting,
    /// The task was stopped.
    Stopped,
}

/// A task as its worker reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskReport {
    /// Identity of the attempt.
    pub grant: GrantNumber,
    /// The job.
    #[serde(with = "job_text")]
    pub job: JobId,
    /// State of the task.
    pub phase: TaskPhase,
    /// Share of its processor time that the task may use, in percent.
    pub throttle_percent: u8,
    /// What the task uses, or used when it has ended.
    pub usage: TaskUsage,
}

/// What a worker says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerStatus {
    /// Time since the report was made.
    pub age: Millis,
    /// What the worker holds.
    pub capacity: JobSize,
    /// The run of the worker.
    pub incarnation: Incarnation,
    /// The tasks that the worker remembers.
    pub tasks: Vec<TaskReport>,
    /// What all tasks together use.
    pub usage: JobSize,
}

/// Body of a response that refuses a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalBody {
    /// Why.
    pub refusal: WorkerRefusal,
}

impl TaskReport {
    /// Returns the task as the placement duty sees it.
    pub fn view(&self) -> TaskView {
        let state = match &self.phase {
            TaskPhase::Checkpointed(progress) => TaskState::Checkpointed(progress.clone()),
            TaskPhase::Checkpointing => TaskState::Checkpointing,
            TaskPhase::Done => TaskState::Done(self.usage),
            // A stopped task has begun and not reached its end.
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
    /// Returns the report as the placement duty sees it, `since` after the response arrived.
    pub fn report(&self, since: Millis) -> WorkerReport {
        WorkerReport {
            age: Millis(self.age.0.saturating_add(since.0)),
            tasks: self.tasks.iter().map(TaskReport::view).collect(),
            usage: self.usage,
        }
    }
}
