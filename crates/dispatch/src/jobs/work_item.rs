use {
    crate::runners::RunnerKey,
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Full speed of a run.
pub const MAX_PACE_PERCENT: u32 = 100;

/// Index of a job in the [`super::JobTable`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct JobKey(pub u32);

/// Key of a work item: its job and its index within the job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ItemKey {
    /// The job.
    pub job: JobKey,
    /// Index in [`super::JobState::items`].
    pub item: u32,
}

/// Key of a step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
}

/// Known state of one run of a work item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// The start command was sent and has no response yet.
    Starting,
    /// The runner has accepted the command or lists the run.
    Running {
        /// When the owner learned of it.
        since: LocalTime,
    },
    /// A stop was sent and has no response yet. A start without a response is stopped immediately; until the stop is
    /// acknowledged, the run may still start.
    Stopping,
    /// The stop was acknowledged: the run cannot start any more, and if it runs, it ends soon.
    Stopped {
        /// When the acknowledgement arrived.
        at: LocalTime,
    },
}

/// One run of a work item on a runner. It uses capacity of the runner until it is known to have ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ItemRun {
    /// Number of the run.
    pub run: u32,
    /// The runner.
    pub runner: RunnerKey,
    /// Known state of the run.
    pub phase: RunPhase,
    /// The instance of the runner has listed the run, so that no other instance can have it.
    pub listed: bool,
    /// When the start command was sent.
    pub sent: LocalTime,
    /// Time on the runner's clock, in milliseconds, after which the start command cannot be executed any more; 0 for an
    /// adopted run, whose start has been executed, and [`u64::MAX`] for a start whose deadline is on the clock of an
    /// earlier instance.
    pub start_deadline_ms: u64,
    /// Share of the work that is done, in percent; for a long-running work item the share of its start-up.
    pub percent: u32,
    /// When `percent` last changed; for a stop without a response also when it was last sent again.
    pub progressed_at: LocalTime,
    /// Share of its full speed that the run is allowed, in percent.
    pub pace: u32,
    /// When the pace was last sent.
    pub paced_at: LocalTime,
    /// Expected duration when it was started; 0 for an adopted run.
    pub expected: Millis,
    /// Whether it runs outside the rack that holds its data.
    pub is_far: bool,
}

impl ItemRun {
    /// Creates the run of a start command that is sent now; `deadline_ms` is its deadline on the runner's clock.
    pub fn starting(run: u32, runner: RunnerKey, deadline_ms: u64, now: LocalTime) -> Self {
        Self {
            run,
            runner,
            phase: RunPhase::Starting,
            listed: false,
            sent: now,
            start_deadline_ms: deadline_ms,
            percent: 0,
            progressed_at: now,
            pace: MAX_PACE_PERCENT,
            paced_at: now,
            expected: Millis(0),
            is_far: false,
        }
    }

    /// Creates a run that a runner lists and that another owner has started.
    pub fn adopted(run: u32, runner: RunnerKey, now: LocalTime) -> Self {
        Self {
            phase: RunPhase::Running { since: now },
            listed: true,
            ..Self::starting(run, runner, 0, now)
        }
    }

    /// Returns the run as one that the next instance of its runner may have accepted. A stop that the ended instance has
    /// acknowledged means nothing to the next one, and a start without a response is to be stopped there: its deadline is on
    /// another clock.
    pub fn transferred(self, next: RunnerKey, now: LocalTime) -> Self {
        let phase = match self.phase {
            RunPhase::Starting | RunPhase::Stopped { .. } => RunPhase::Stopping,
            phase => phase,
        };
        Self {
            runner: next,
            phase,
            start_deadline_ms: u64::MAX,
            progressed_at: now,
            ..self
        }
    }

    /// Returns whether the run has certainly ended, or never begins, if a list that was requested at `requested` and
    /// made at `clock_ms` of the runner's clock does not show it.
    pub fn ended_if_unlisted(&self, requested: LocalTime, clock_ms: u64) -> bool {
        match self.phase {
            RunPhase::Running { since } => since < requested,
            RunPhase::Stopped { at } => at < requested,
            RunPhase::Starting | RunPhase::Stopping => clock_ms > self.start_deadline_ms,
        }
    }
}

/// One work item of a job and its runs.
#[derive(Clone, Debug, Default)]
pub struct WorkItem {
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
    /// Number within the step, from 0.
    pub index: u32,
    /// Runs that may not have ended yet.
    pub runs: Vec<ItemRun>,
    /// Highest run number used.
    pub last_run: u32,
    /// Numbers of the runs that failed. A runner lists an end until it is acknowledged, so that the next owner sees
    /// ends again that were counted before; the numbers keep them from being counted twice.
    pub failed_runs: Vec<u32>,
    /// A run succeeded.
    pub done: bool,
    /// Duration of the successful run, from the start command to its end; none after a resumption from a checkpoint.
    pub run_time: Option<Millis>,
    /// Newest checkpoint; empty for none.
    pub checkpoint: String,
    /// Runner of the last failed run, which further runs avoid, and when its end was handled.
    pub failed_on: Option<(RunnerKey, LocalTime)>,
}

impl WorkItem {
    /// Returns whether the work item is not done and has no run; its dependencies are not checked.
    pub fn is_idle(&self) -> bool {
        !self.done && self.runs.is_empty()
    }

    /// Returns whether a run of it is known to be running.
    pub fn is_running(&self) -> bool {
        let running = |run: &ItemRun| matches!(run.phase, RunPhase::Running { .. });
        self.runs.iter().any(running)
    }
}
