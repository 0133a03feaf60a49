use {
    super::{JobId, JobRecord, JobSize, LeaseRef, WorkerId},
    std::fmt,
};

/// Action that a worker takes on an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskAction {
    /// Save the progress of the task and stop it.
    Checkpoint,
    /// Refuse the attempt permanently if it has not started, and report whether it had.
    Fence,
    /// Remove the ended attempt from the reports: its result is in the log or is not needed.
    Forget,
    /// Start the task. Repeating the command changes nothing.
    Start,
    /// Stop the task, because it no longer has a lease.
    Stop,
    /// Limit the task to this share of its processor time, in percent; 100 lifts the limit.
    Throttle(u8),
}

/// Command to a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskCommand {
    /// Action to take.
    pub action: TaskAction,
    /// Attempt that the action concerns.
    pub lease: LeaseRef,
    /// Incarnation of the worker that executes the command.
    pub worker: WorkerId,
}

/// Reason of a placement decision, with the values that log lines show.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlacementReason {
    /// The task is checkpointed and stopped so that an urgent job fits on its worker.
    CheckpointedFor {
        /// Urgent job that waits for the capacity.
        urgent: JobId,
        /// Worker that runs the task.
        worker: WorkerId,
    },
    /// The task is checkpointed and stopped because its worker is draining.
    CheckpointedForStop(WorkerId),
    /// The worker reported that the task failed or that it refused the start.
    Failed(WorkerId),
    /// The worker reported that the task is done.
    Finished(WorkerId),
    /// The job goes to the least loaded rack that has a worker with enough free capacity.
    Granted {
        /// Reserved size, which differs from the declared one when an estimate replaced it.
        size: JobSize,
        /// Worker that gets the lease.
        worker: WorkerId,
    },
    /// The lease expired and no recent report of the worker shows the task running.
    Lapsed(WorkerId),
    /// The job fits a worker of the pool again.
    Placeable,
    /// The worker confirmed that it never started the task, or that it saved its progress.
    Released(WorkerId),
    /// The throttle of the task is lifted.
    Resumed(WorkerId),
    /// The task is throttled so that an urgent job fits on its worker.
    ThrottledFor {
        /// Urgent job that waits for the capacity.
        urgent: JobId,
        /// Worker that runs the task.
        worker: WorkerId,
    },
    /// The job, of this size, fits no worker of the pool, not even an empty one.
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
                    "granted to {worker}, least loaded rack with free capacity for {size}"
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
                write!(
                    formatter,
                    "unplaceable, no worker of the pool has a capacity of {size}"
                )
            }
        }
    }
}

/// Decision about one job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacementDecision {
    /// Job that the decision concerns.
    pub job: JobId,
    /// Reason that is logged.
    pub reason: PlacementReason,
}

impl fmt::Display for PlacementDecision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "place: job {}: {}", self.job, self.reason)
    }
}

/// Number of queued jobs of the pool that got no worker in a plan, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitingCounts {
    /// The job fits a worker of the pool, but none has enough free capacity now.
    pub no_capacity: usize,
    /// No worker of the pool is known.
    pub no_worker: usize,
    /// The job fits no worker of the pool, not even an empty one.
    pub unplaceable: usize,
}

/// Records to append and commands to send now.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PlacementPlan {
    /// Commands that follow from the current state and do not wait for `records`.
    pub commands: Vec<TaskCommand>,
    /// Decisions to log, one line each.
    pub decisions: Vec<PlacementDecision>,
    /// Workers of the pool that get no jobs because different jobs failed on them in a row.
    pub excluded: Vec<WorkerId>,
    /// Unfinished jobs of the pool whose deadline has passed.
    pub overdue: Vec<JobId>,
    /// Records to append. Results come before grants, so that they are applied first.
    pub records: Vec<JobRecord>,
    /// Queued jobs that this plan does not place.
    pub waiting: WaitingCounts,
}
