use {
    super::{CallId, CallResponse},
    crate::{
        jobs::{ItemKey, ItemName, StepKey, StepName},
        runners::RunnerKey,
    },
    goldcreststall_core::ids::Millis,
    std::sync::Arc,
};

/// Names one run of a work item on a runner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunCommand {
    /// The runner.
    pub runner: RunnerKey,
    /// The work item, where the owner knows it.
    pub item: Option<ItemKey>,
    /// Its name.
    pub name: ItemName,
    /// Number of the run.
    pub run: u32,
}

/// Asks a runner to start a work item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartCommand {
    /// The runner.
    pub runner: RunnerKey,
    /// The work item.
    pub item: ItemKey,
    /// Its name.
    pub name: ItemName,
    /// Number of the run.
    pub run: u32,
    /// The caller's description.
    pub spec: Arc<str>,
    /// End of the lease on the runner's clock, in milliseconds.
    pub deadline_ms: u64,
    /// Where to resume; empty for the beginning.
    pub checkpoint: String,
    /// The advice service's approval of the runner; empty where none is needed.
    pub ticket: String,
}

/// Asks the advice service which runners may run a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceCommand {
    /// The step.
    pub step: StepKey,
    /// Its name: job, occurrence and step.
    pub name: StepName,
    /// The runners that are asked about.
    pub runners: Vec<RunnerKey>,
}

/// What the owner wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerCommand {
    /// Prolong the lease of a runner's work and list it.
    Hold {
        /// The runner.
        runner: RunnerKey,
        /// New end of the lease on the runner's clock; none to leave it.
        deadline_ms: Option<u64>,
        /// Highest end that is acknowledged.
        last_seen: u64,
        /// Longest wait for an end.
        wait: Millis,
    },
    /// Ask which runners may run a step.
    Advise(AdviceCommand),
    /// Start a work item.
    Start(StartCommand),
    /// Stop a run.
    Stop(RunCommand),
    /// Let a run work at a share of its speed, in percent.
    Pace(RunCommand, u32),
    /// Move a host to another pool.
    MoveHost {
        /// The host.
        host: String,
        /// Its new pool.
        pool: String,
    },
    /// Begin the maintenance of a host.
    MaintainHost {
        /// The host.
        host: String,
        /// The wave that asks for it.
        wave: u64,
    },
    /// Tell operators where a wave stands.
    ReportWave {
        /// The wave.
        wave: u64,
        /// It is over.
        completed: bool,
    },
    /// Answer a call.
    Reply {
        /// The call.
        call_id: CallId,
        /// The response.
        response: CallResponse,
    },
}
