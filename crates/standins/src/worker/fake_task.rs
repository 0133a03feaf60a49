use {
    goldcreststall_core::{
        ids::{LocalTime, Millis},
        jobs::{GrantNumber, JobId, JobSize, TaskUsage},
    },
    goldcreststall_platform::worker_service::{StartRequest, TaskPhase, TaskReport, TaskRequest},
    serde::{Deserialize, Serialize},
};

/// What a payload may ask of a fake task; everything is optional.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TaskPlan {
    /// Used processor time in thousandths of a core; the reserved one when absent.
    pub cores_milli: Option<u32>,
    /// Whether the task fails at its end.
    pub fails: bool,
    /// Used memory in MiB; the reserved one when absent.
    pub memory_mib: Option<u32>,
    /// Run time in milliseconds; the default of the worker when absent.
    pub run_ms: Option<u64>,
}

/// A task that does nothing for a given time.
#[derive(Clone, Debug)]
pub(super) struct FakeTask {
    /// When the task begins.
    pub begins: LocalTime,
    /// When the lease ends.
    pub lease_end: LocalTime,
    pub phase: TaskPhase,
    pub throttle_percent: u8,
    grant: GrantNumber,
    job: JobId,
    /// Time the task has run, as if it had never been throttled.
    progress: Millis,
    plan: TaskPlan,
    run_time: Millis,
    size: JobSize,
    updated: LocalTime,
}

impl FakeTask {
    pub(super) fn new(
        now: LocalTime,
        delay: Millis,
        run_time: Millis,
        start: &StartRequest,
    ) -> Self {
        // A payload of another form is a task of the default run time.
        let plan: TaskPlan = serde_json::from_str(&start.order.payload).unwrap_or_default();
        let saved = start.order.checkpoint.as_ref();
        let progress = saved.and_then(|text| text.parse().ok()).unwrap_or_default();
        Self {
            begins: now + delay,
            grant: start.task.grant,
            job: start.task.job,
            lease_end: now + start.lease,
            phase: TaskPhase::Starting,
            plan,
            progress: Millis(progress),
            run_time: plan.run_ms.map_or(run_time, Millis),
            size: start.order.size,
            throttle_percent: 100,
            updated: now,
        }
    }

    /// Creates the row of an attempt that never begins.
    pub(super) fn fenced(now: LocalTime, request: &TaskRequest) -> Self {
        Self {
            begins: now,
            grant: request.grant,
            job: request.job,
            lease_end: now,
            phase: TaskPhase::NotStarted,
            plan: TaskPlan::default(),
            progress: Millis(0),
            run_time: Millis(0),
            size: JobSize::default(),
            throttle_percent: 100,
            updated: now,
        }
    }

    pub(super) fn begin(&mut self) {
        self.phase = TaskPhase::Running;
        self.updated = self.begins;
    }

    /// Runs the task up to `now`.
    pub(super) fn advance(&mut self, now: LocalTime) {
        if self.phase != TaskPhase::Running {
            return;
        }
        let passed = now.since(self.updated).0 * u64::from(self.throttle_percent) / 100;
        self.progress.0 += passed;
        self.updated = self.updated.max(now);
        if self.progress >= self.run_time {
            self.phase = match self.plan.fails {
                true => TaskPhase::Failed,
                false => TaskPhase::Done,
            };
        }
    }

    /// Saves the progress and stops.
    pub(super) fn save(&mut self) {
        self.phase = TaskPhase::Checkpointed(self.progress.0.to_string());
    }

    /// Tells whether the task may still be fenced.
    pub(super) fn is_waiting(&self) -> bool {
        self.phase == TaskPhase::Starting
    }

    pub(super) fn is_running(&self) -> bool {
        self.phase == TaskPhase::Running
    }

    /// Returns what the task uses while it runs.
    pub(super) fn size(&self) -> JobSize {
        let cores = self.plan.cores_milli.unwrap_or(self.size.cores_milli);
        let cores = u64::from(cores) * u64::from(self.throttle_percent) / 100;
        JobSize {
            accelerators: self.size.accelerators,
            cores_milli: u32::try_from(cores).unwrap_or(u32::MAX),
            memory_mib: self.plan.memory_mib.unwrap_or(self.size.memory_mib),
        }
    }

    pub(super) fn report(&self) -> TaskReport {
        TaskReport {
            grant: self.grant,
            job: self.job,
            phase: self.phase.clone(),
            throttle_percent: self.throttle_percent,
            usage: TaskUsage {
                run_time: self.progress,
                size: self.size(),
            },
        }
    }
}
