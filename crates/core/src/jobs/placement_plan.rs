use {
    super::{JobId, JobRecord, JobSize, LeaseRef, WorkerId},
    std::fmt,
};

/// What a worker is to do with an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskAction {
    /// Save the progress of the task and stop it.
    Checkpoint,
    /// Refuse the attempt for good if it has not started, and tell which of both holds.
    Fence,
    /// Forget the attempt, whose result is in the log.
    Forget,
    /// Start the task. A repetition changes nothing.
    Start,
    /// Stop the task, which has no lease any more.
    Stop,
    /// Let the task use this share of its processor time, in percent.
    Throttle(u8),
}

/// An instruction to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskCommand {
    /// What is to be done.
    pub action: TaskAction,
    /// The attempt.
    pub lease: LeaseRef,
    /// The worker.
    pub worker: WorkerId,
}

/// Why a decision was taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementReason {
    /// The task is saved and stopped so that an urgent job fits on its worker.
    CheckpointedFor {
        /// The urgent job.
        urgent: JobId,
        /// The worker.
        worker: WorkerId,
    },
    /// The task is saved and stopped because its worker is about to stop.
    CheckpointedForStop(WorkerId),
    /// The worker reported that the task failed.
    Failed(WorkerId),
    /// The worker reported that the task is done.
    Finished(WorkerId),
    /// The job goes to the least loaded rack that has room.
    Granted {
        /// The reserved size, which differs from the declared one when usage reports corrected it.
        size: JobSize,
        /// The worker.
        worker: WorkerId,
    },
    /// The lease expired and the worker does not report the task.
    Lapsed(WorkerId),
    /// A worker can hold the job again.
    Placeable,
    /// The worker confirmed that it never started the task, or saved it.
    Released(WorkerId),
    /// The task may use all its processor time again.
    Resumed(WorkerId),
    /// The task is slowed so that an urgent job fits on its worker.
    ThrottledFor {
        /// The urgent job.
        urgent: JobId,
        /// The worker.
        worker: WorkerId,
    },
    /// No worker of the pool could hold the job, even an empty one.
    Unplaceable(JobSize),
}

impl fmt::Display for PlacementReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CheckpointedFor { urgent, worker } => {
                write!(formatter, "checkpoint on {worker} for urgent job {urgent}")
            }
            Self::CheckpointedForStop(worker) => {
                write!(formatter, "checkpoint on {worker}, which is about to stop")
            }
            Self::Failed(worker) => write!(formatter, "failed on {worker}"),
            Self::Finished(worker) => write!(formatter, "done on {worker}"),
            Self::Granted { size, worker } => {
                write!(
                    formatter,
                    "granted to {worker}, least loaded rack with room for {size}"
                )
            }
            Self::Lapsed(worker) => {
                write!(formatter, "lease lapsed, {worker} does not report the task")
            }
            Self::Placeable => formatter.write_str("placeable again"),
            Self::Released(worker) => write!(formatter, "released by {worker}"),
            Self::Resumed(worker) => write!(formatter, "throttle lifted on {worker}"),
            Self::ThrottledFor { urgent, worker } => {
                write!(formatter, "throttle on {worker} for urgent job {urgent}")
            }
            Self::Unplaceable(size) => {
                write!(formatter, "unplaceable, no worker of the pool holds {size}")
            }
        }
    }
}

/// A decision about one job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementDecision {
    /// The job.
    pub job: JobId,
    /// Why.
    pub reason: PlacementReason,
}

impl fmt::Display for PlacementDecision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "place: job {}: {}", self.job, self.reason)
    }
}

/// Number of queued jobs that got no worker, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitingCounts {
    /// Workers of the pool could hold the job, and none has room now.
    pub no_room: usize,
    /// No worker of the pool is known.
    pub no_worker: usize,
    /// No worker of the pool could hold the job.
    pub unplaceable: usize,
}

/// What to append and to tell the workers now.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PlacementPlan {
    /// Instructions to workers that rest on the state as it is.
    pub commands: Vec<TaskCommand>,
    /// One decision for each log line.
    pub decisions: Vec<PlacementDecision>,
    /// Workers of the pool that get no jobs because they failed job after job.
    pub excluded: Vec<WorkerId>,
    /// Unfinished jobs of the pool whose deadline has passed.
    pub overdue: Vec<JobId>,
    /// Records to append. Results come before grants, so that the fold sees them first.
    pub records: Vec<JobRecord>,
    /// The jobs that still wait.
    pub waiting: WaitingCounts,
}
