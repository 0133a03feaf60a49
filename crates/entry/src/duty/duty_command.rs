use {
    goldcreststall_core::{
        ids::{HostName, Incarnation},
        ledger::RecordBody,
    },
    goldcreststall_platform::worker_service::{
        StartRequest, TaskRequest, ThrottleRequest, WorkerEndpoint,
    },
};

/// Something to tell the platform. Every command may be repeated.
#[derive(Clone, Debug)]
pub(crate) enum DutyCommand {
    /// Save the progress of a task and stop it.
    Checkpoint(WorkerEndpoint, TaskRequest),
    /// Refuse an attempt that has not begun.
    Fence(WorkerEndpoint, TaskRequest),
    /// Drop the report of an attempt whose result is in the log.
    Forget(WorkerEndpoint, TaskRequest),
    /// Reboot a run of a host that has drained for a planned stop.
    Reboot(HostName, Incarnation),
    /// Start a task. A worker that knows the attempt answers with its state.
    Start(WorkerEndpoint, Box<StartRequest>),
    /// Stop a task that has no lease any more.
    Stop(WorkerEndpoint, TaskRequest),
    /// Limit the processor time of a task.
    Throttle(WorkerEndpoint, ThrottleRequest),
}

/// What the duties ask for now.
#[derive(Debug, Default)]
pub(crate) struct DutyPlan {
    /// Commands that rest on the state as it is.
    pub(crate) commands: Vec<DutyCommand>,
    /// One line for each decision.
    pub(crate) lines: Vec<String>,
    /// Records to append.
    pub(crate) records: Vec<RecordBody>,
}
