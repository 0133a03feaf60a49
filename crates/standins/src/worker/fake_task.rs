use {
    goldcreststall_core::{
        ids::{LocalTime, Millis},
        jobs::{GrantNumber, JobId, JobSize, TaskUsage},
    },
    goldcreststall_platform::worker_service::{StartRequest, TaskPhase, TaskReport, TaskRequest},
    serde::{Deserialize, Serialize},
};

/// Behaviour of a fake task, read from its JSON payload; every field is optional.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct TaskPlan {
    /// Processor use in thousandths of a core; the reserved amount when absent.
    pub cores_milli: Option<u32>,
    /// Whether the task fails at the end of its run time.
    pub fails: bool,
    /// Memory use in MiB; the reserved amount when absent.
    pub memory_mib: Option<u32>,
    /// Run time in milliseconds; the default of the worker when absent.
    pub run_ms: Option<u64>,
}

/// A task that does nothing until its run time has passed.
#[derive(Clone, Debug)]
pub(super) struct FakeTask {
    pub starts_at: LocalTime,
    pub lease_end: LocalTime,
    pub phase: TaskPhase,
    pub throttle_percent: u8,
    grant: GrantNumber,
    job: JobId,
    /// Run time completed so far, scaled by the throttling: at 50 percent, two seconds count as one.
    progress: Millis,
    plan: TaskPlan,
    run_time: Millis,
    size: JobSize,
    updated_at: LocalTime,
}

impl FakeTask {
    pub(super) fn new(
        now: LocalTime,
        start_delay: Millis,
        run_time: Millis,
        start: &StartRequest,
    ) -> Self {
        // A payload that is not a `TaskPlan` gives a task with the default run time.
        let plan: TaskPlan = serde_json::from_str(&start.order.payload).unwrap_or_default();
        let checkpoint = start.order.checkpoint.as_ref();
        let progress = checkpoint
            .and_then(|text| text.parse().ok())
            .unwrap_or_default();
        Self {
            starts_at: now + start_delay,
            grant: start.task.grant,
            job: start.task.job,
            lease_end: now + start.lease,
            phase: TaskPhase::Starting,
            plan,
            progress: Millis(progress),
            run_time: plan.run_ms.map_or(run_time, Millis),
            size: start.order.size,
            throttle_percent: 100,
            updated_at: now,
        }
    }

    /// Creates the row of an attempt that must never start.
    pub(super) fn fenced(now: LocalTime, request: &TaskRequest) -> Self {
        Self {
            starts_at: now,
            grant: request.grant,
            job: request.job,
            lease_end: now,
            phase: TaskPhase::NotStarted,
            plan: TaskPlan::default(),
            progress: Millis(0),
            run_time: Millis(0),
            size: JobSize::default(),
            throttle_percent: 100,
            updated_at: now,
        }
    }

    pub(super) fn start_running(&mut self) {
        self.phase = TaskPhase::Running;
        self.updated_at = self.starts_at;
    }

    /// Advances the progress of a running task to `now` and ends the task when its run time has passed.
    pub(super) fn advance(&mut self, now: LocalTime) {
        if self.phase != TaskPhase::Running {
            return;
        }
        let progress = now.since(self.updated_at).0 * u64::from(self.throttle_percent) / 100;
        self.progress.0 += progress;
        self.updated_at = self.updated_at.max(now);
        if self.progress >= self.run_time {
            self.phase = match self.plan.fails {
                true => TaskPhase::Failed,
                false => TaskPhase::Done,
            };
        }
    }

    /// Stops the task; the progress in milliseconds is its checkpoint.
    pub(super) fn checkpoint(&mut self) {
        self.phase = TaskPhase::Checkpointed(self.progress.0.to_string());
    }

    /// Returns whether the task has not started yet, so that it can still be fenced.
    pub(super) fn is_starting(&self) -> bool {
        self.phase == TaskPhase::Starting
    }

    pub(super) fn is_running(&self) -> bool {
        self.phase == TaskPhase::Running
    }

    /// Returns the resources that the task uses while it runs; throttling reduces its processor use.
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
