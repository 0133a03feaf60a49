use {
    crate::runners::RunnerKey,
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Place of a job in the [`super::JobTable`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobKey(pub u32);

/// A work item: its job and its place within the job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ItemKey {
    /// The job.
    pub job: JobKey,
    /// Place in [`super::JobState::items`].
    pub item: u32,
}

/// A step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
}

/// How far one run of a work item is known to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// The command is sent and not answered.
    Starting,
    /// The runner has accepted the command or lists the run.
    Running {
        /// When this became known.
        since: LocalTime,
    },
    /// A stop was sent and not answered. A start without a response is stopped at once, and may begin until then.
    Stopping,
    /// A stop was acknowledged: the run cannot begin any more, and ends soon.
    Stopped {
        /// When the acknowledgement arrived.
        at: LocalTime,
    },
}

/// One run of a work item on a runner; it takes room there until it is known to be over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemRun {
    /// Number of the run.
    pub run: u32,
    /// The runner.
    pub runner: RunnerKey,
    /// What is known of it.
    pub phase: RunPhase,
    /// When the start command was sent.
    pub sent: LocalTime,
    /// Share of the work that is done, in percent.
    pub percent: u32,
    /// When `percent` last changed.
    pub moved: LocalTime,
    /// Share of its speed that the run is allowed, in percent.
    pub pace: u32,
}

/// One work item.
#[derive(Clone, Debug, Default)]
pub struct WorkItem {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
    /// Number within the step.
    pub index: u32,
    /// Runs that may still be at work.
    pub runs: Vec<ItemRun>,
    /// Highest run number used.
    pub last_run: u32,
    /// Numbers of the runs that ended as failed. A runner lists an end until it is acknowledged, so that the next
    /// owner sees ends that were counted before.
    pub failed_runs: Vec<u32>,
    /// A run ended as done.
    pub done: bool,
    /// How long the run that ended as done took.
    pub ran: Option<Millis>,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Runner of the last failed run, which is avoided.
    pub failed_on: Option<RunnerKey>,
}

impl WorkItem {
    /// Returns whether the work item waits for a runner, apart from its dependencies.
    pub fn is_idle(&self) -> bool {
        !self.done && self.runs.is_empty()
    }

    /// Returns whether a run of it is at work on a runner.
    pub fn is_at_work(&self) -> bool {
        let running = |run: &ItemRun| matches!(run.phase, RunPhase::Running { .. });
        self.runs.iter().any(running)
    }
}
