use {
    goldcreststall_core::{
        ids::{HostName, Incarnation},
        ledger::RecordBody,
    },
    goldcreststall_platform::worker_service::{
        StartRequest, TaskRequest, ThrottleRequest, WorkerEndpoint,
    },
};

/// A command to the platform. Every command is idempotent.
#[derive(Clone, Debug)]
pub(crate) enum DutyCommand {
    /// Save a checkpoint of a task and stop it.
    Checkpoint(WorkerEndpoint, TaskRequest),
    /// Make the worker refuse an attempt that has not started.
    Fence(WorkerEndpoint, TaskRequest),
    /// Remove the report of an attempt whose result is in the log.
    Forget(WorkerEndpoint, TaskRequest),
    /// Reboot a host that has drained for a planned stop, if it still has this incarnation.
    Reboot(HostName, Incarnation),
    /// Start a task. A worker that already knows the attempt returns its state.
    Start(WorkerEndpoint, Box<StartRequest>),
    /// Stop a task that no longer has a lease.
    Stop(WorkerEndpoint, TaskRequest),
    /// Limit the CPU share of a task.
    Throttle(WorkerEndpoint, ThrottleRequest),
}

/// Result of planning the duties.
#[derive(Debug, Default)]
pub(crate) struct DutyPlan {
    /// Commands that follow from the current state alone; none of them depends on a record of this plan.
    pub(crate) commands: Vec<DutyCommand>,
    /// One line per decision.
    pub(crate) log_lines: Vec<String>,
    /// Records to append.
    pub(crate) records: Vec<RecordBody>,
}
