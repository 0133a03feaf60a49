use {
    super::{CallId, CallResponse},
    crate::{
        jobs::{ItemKey, ItemName, StepKey, StepName},
        runners::RunnerKey,
    },
    goldcreststall_core::ids::Millis,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Name of one run of a work item on a runner.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunName {
    /// Name of the work item.
    pub name: ItemName,
    /// Number of the run.
    pub run: u32,
}

/// What a runner needs in order to start a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunStart {
    /// Name of the work item.
    pub name: ItemName,
    /// Number of the run.
    pub run: u32,
    /// Text of the job's description that is passed to the runner unchanged.
    pub spec: Arc<str>,
    /// End of the lease on the runner's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: String,
    /// Ticket with which the advice service approved the runner; empty when the queue needs no approval.
    pub ticket: String,
}

/// A command about one run of a work item on a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunCommand {
    /// The runner.
    pub runner: RunnerKey,
    /// Key of the work item; none when the owner does not know its job.
    pub item: Option<ItemKey>,
    /// Name of the work item.
    pub name: ItemName,
    /// Number of the run.
    pub run: u32,
}

/// Instructs a runner to start a work item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartCommand {
    /// The runner.
    pub runner: RunnerKey,
    /// Key of the work item.
    pub item: ItemKey,
    /// Name of the work item.
    pub name: ItemName,
    /// Number of the run.
    pub run: u32,
    /// Text of the job's description that is passed to the runner unchanged.
    pub spec: Arc<str>,
    /// End of the lease on the runner's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: String,
    /// Ticket with which the advice service approved the runner; empty when the queue needs no approval.
    pub ticket: String,
}

impl RunCommand {
    /// Returns the name of the run.
    pub fn run_name(&self) -> RunName {
        RunName {
            name: self.name,
            run: self.run,
        }
    }
}

impl StartCommand {
    /// Returns the name of the run.
    pub fn run_name(&self) -> RunName {
        RunName {
            name: self.name,
            run: self.run,
        }
    }

    /// Returns what the runner is told.
    pub fn run_start(&self) -> RunStart {
        RunStart {
            name: self.name,
            run: self.run,
            spec: Arc::clone(&self.spec),
            deadline_ms: self.deadline_ms,
            checkpoint: self.checkpoint.clone(),
            ticket: self.ticket.clone(),
        }
    }
}

/// Requests from the advice service which runners may run a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceCommand {
    /// The step.
    pub step: StepKey,
    /// Its name: job, occurrence and step.
    pub name: StepName,
    /// The runners to be approved.
    pub runners: Vec<RunnerKey>,
}

/// A command that the owner issues.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerCommand {
    /// Extend the lease of a runner's work and list its runs.
    Hold {
        /// The runner.
        runner: RunnerKey,
        /// New end of the lease on the runner's clock, in milliseconds; none to leave it unchanged.
        deadline_ms: Option<u64>,
        /// Highest sequence number of an end that is acknowledged.
        last_seen: u64,
        /// Maximum time to wait for the end of a run.
        wait: Millis,
    },
    /// Request which runners may run a step.
    Advise(AdviceCommand),
    /// Start a work item.
    Start(StartCommand),
    /// Stop a run.
    Stop(RunCommand),
    /// Do not send the start of a run if it still waits to be sent.
    Withdraw(RunName),
    /// Set the share of its full speed that a run may use, in percent.
    Pace(RunCommand, u32),
    /// Move a host to another pool.
    MoveHost {
        /// The host.
        host: String,
        /// Its new pool.
        pool: String,
    },
    /// Start the maintenance of a host.
    MaintainHost {
        /// The host.
        host: String,
        /// Number of the wave that it belongs to.
        wave: u64,
    },
    /// Report the state of a wave to operators.
    ReportWave {
        /// Number of the wave.
        wave: u64,
        /// Whether the wave has ended.
        completed: bool,
    },
    /// Send the response to a call.
    Reply {
        /// The call.
        call_id: CallId,
        /// The response.
        response: CallResponse,
    },
}
