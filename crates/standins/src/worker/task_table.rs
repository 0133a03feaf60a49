use {
    super::{WorkerFaults, fake_task::FakeTask},
    goldcreststall_core::{
        collections::SortedMap,
        ids::{Incarnation, LocalTime, Millis},
        jobs::{GrantNumber, JobId, JobSize},
    },
    goldcreststall_platform::worker_service::{
        RenewRequest, StartRequest, TaskPhase, TaskReport, TaskRequest, ThrottleRequest,
        WorkerRefusal, WorkerStatus,
    },
};

/// Maximum number of forgotten attempts that are stored so that their repetitions are refused. Beyond it, the oldest
/// are replaced by a floor: every attempt up to that grant number is refused.
pub const MAX_REFUSED: usize = 1024;

/// The tasks of one incarnation of a worker. It does no I/O; the time is passed as an argument.
#[derive(Debug)]
pub struct TaskTable {
    /// Active faults.
    pub faults: WorkerFaults,
    capacity: JobSize,
    /// Attempts up to this grant number are refused.
    refused_floor: GrantNumber,
    incarnation: Incarnation,
    last_report: Option<(LocalTime, WorkerStatus)>,
    refused: SortedMap<GrantNumber, ()>,
    run_time: Millis,
    start_counts: SortedMap<JobId, u32>,
    tasks: SortedMap<GrantNumber, FakeTask>,
}

impl TaskTable {
    /// Creates the table of one incarnation of a worker. Tasks whose payload states no run time take `run_time`.
    pub fn new(incarnation: Incarnation, capacity: JobSize, run_time: Millis) -> Self {
        Self {
            capacity,
            faults: WorkerFaults::default(),
            refused_floor: GrantNumber(0),
            incarnation,
            last_report: None,
            refused: SortedMap::default(),
            run_time,
            start_counts: SortedMap::default(),
            tasks: SortedMap::default(),
        }
    }

    /// Returns how often a task of the job has started on this incarnation of the worker.
    pub fn starts(&self, job: JobId) -> u32 {
        self.start_counts.get(&job).copied().unwrap_or_default()
    }

    /// Returns the tasks and their resource use. The last report is repeated until it is older than
    /// [`WorkerFaults::report_lag`].
    pub fn status(&mut self, now: LocalTime) -> WorkerStatus {
        self.advance(now);
        let lag = self.faults.report_lag;
        let last = self.last_report.as_ref();
        let (reported_at, report) =
            match last.filter(|(reported_at, _)| now.since(*reported_at) < lag) {
                Some(last) => last.clone(),
                None => (now, self.new_report()),
            };
        self.last_report = Some((reported_at, report.clone()));
        WorkerStatus {
            age: now.since(reported_at),
            ..report
        }
    }

    /// Accepts a task, or returns the state of an attempt that is already known.
    ///
    /// # Errors
    /// `OtherIncarnation`.
    pub fn start(
        &mut self,
        now: LocalTime,
        request: &StartRequest,
    ) -> Result<TaskReport, WorkerRefusal> {
        self.check_incarnation(&request.task)?;
        self.advance(now);
        if let Some(task) = self.tasks.get(&request.task.grant) {
            return Ok(task.report());
        }
        if self.is_refused(request.task.grant) {
            return Ok(FakeTask::fenced(now, &request.task).report());
        }
        let mut task = FakeTask::new(now, self.faults.start_delay, self.run_time, request);
        if self.faults.refuse_all {
            task.phase = TaskPhase::Refused;
        }
        self.tasks.insert(request.task.grant, task);
        self.advance(now);
        self.task_report(&request.task)
    }

    /// Extends the lease of a task. A lease is never shortened.
    ///
    /// # Errors
    /// `OtherIncarnation`, `UnknownTask`.
    pub fn renew(
        &mut self,
        now: LocalTime,
        request: &RenewRequest,
    ) -> Result<TaskReport, WorkerRefusal> {
        let task = self.known_task(now, &request.task)?;
        task.lease_end = task.lease_end.max(now + request.lease);
        Ok(task.report())
    }

    /// Stops a task; an attempt that has not started is refused for good.
    ///
    /// # Errors
    /// `OtherIncarnation`.
    pub fn stop(
        &mut self,
        now: LocalTime,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerRefusal> {
        let report = self.fence(now, request)?;
        match self.tasks.get_mut(&request.grant) {
            Some(task) if task.is_running() => {
                task.phase = TaskPhase::Stopped;
                Ok(task.report())
            }
            _ => Ok(report),
        }
    }

    /// Refuses an attempt for good unless it has started, and returns its state.
    ///
    /// # Errors
    /// `OtherIncarnation`.
    pub fn fence(
        &mut self,
        now: LocalTime,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerRefusal> {
        self.check_incarnation(request)?;
        self.advance(now);
        if !self.tasks.contains(&request.grant) {
            let task = FakeTask::fenced(now, request);
            self.tasks.insert(request.grant, task);
        }
        if let Some(task) = self.tasks.get_mut(&request.grant)
            && task.is_starting()
        {
            task.phase = TaskPhase::NotStarted;
        }
        self.task_report(request)
    }

    /// Stops an attempt and removes its report. The attempt is still refused afterwards.
    ///
    /// # Errors
    /// `OtherIncarnation`.
    pub fn forget(&mut self, now: LocalTime, request: &TaskRequest) -> Result<(), WorkerRefusal> {
        self.stop(now, request)?;
        self.tasks.remove(&request.grant);
        if request.grant > self.refused_floor {
            self.refused.insert(request.grant, ());
        }
        while self.refused.len() > MAX_REFUSED {
            let oldest = self.refused.iter().next().map(|(grant, ())| *grant);
            self.refused_floor = self.refused_floor.max(oldest.unwrap_or_default());
            self.refused
                .remove_below(&GrantNumber(self.refused_floor.0 + 1));
        }
        Ok(())
    }

    /// Checkpoints a running task and stops it; a repeated call returns the same checkpoint.
    ///
    /// # Errors
    /// `OtherIncarnation`, `UnknownTask`, `Unsupported` when the task is not running.
    pub fn checkpoint(
        &mut self,
        now: LocalTime,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerRefusal> {
        let task = self.known_task(now, request)?;
        match task.phase {
            TaskPhase::Running => task.checkpoint(),
            TaskPhase::Checkpointed(_) => {}
            _ => return Err(WorkerRefusal::Unsupported),
        }
        Ok(task.report())
    }

    /// Limits the processor time of a task to a percentage of its full speed.
    ///
    /// # Errors
    /// `OtherIncarnation`, `UnknownTask`, `Invalid` for a percentage outside 1 to 100.
    pub fn throttle(
        &mut self,
        now: LocalTime,
        request: &ThrottleRequest,
    ) -> Result<TaskReport, WorkerRefusal> {
        self.check_incarnation(&request.task)?;
        if !(1..=100).contains(&request.percent) {
            return Err(WorkerRefusal::Invalid);
        }
        let task = self.known_task(now, &request.task)?;
        task.throttle_percent = request.percent;
        Ok(task.report())
    }

    /// Returns a task of this incarnation as it is at `now`.
    fn known_task(
        &mut self,
        now: LocalTime,
        request: &TaskRequest,
    ) -> Result<&mut FakeTask, WorkerRefusal> {
        self.check_incarnation(request)?;
        self.advance(now);
        let task = self.tasks.get_mut(&request.grant);
        task.ok_or(WorkerRefusal::UnknownTask)
    }

    fn check_incarnation(&self, request: &TaskRequest) -> Result<(), WorkerRefusal> {
        match request.incarnation == self.incarnation {
            true => Ok(()),
            false => Err(WorkerRefusal::OtherIncarnation),
        }
    }

    fn is_refused(&self, grant: GrantNumber) -> bool {
        grant <= self.refused_floor || self.refused.contains(&grant)
    }

    fn task_report(&self, request: &TaskRequest) -> Result<TaskReport, WorkerRefusal> {
        let task = self.tasks.get(&request.grant);
        task.map(FakeTask::report).ok_or(WorkerRefusal::UnknownTask)
    }

    /// Starts the tasks that are due and advances those that run. A task whose lease has ended is not started any
    /// more; a running one continues.
    fn advance(&mut self, now: LocalTime) {
        for (_, task) in self.tasks.iter_mut() {
            if task.is_starting() && task.starts_at <= now {
                // A delayed task starts now, not at the time it was due.
                task.starts_at = now;
                match now < task.lease_end {
                    true => start_task(&mut self.start_counts, self.faults.fail_all, task),
                    false => task.phase = TaskPhase::NotStarted,
                }
            }
            task.advance(now);
        }
    }

    fn new_report(&self) -> WorkerStatus {
        let running = self.tasks.values().filter(|task| task.is_running());
        WorkerStatus {
            age: Millis(0),
            capacity: self.capacity,
            incarnation: self.incarnation,
            tasks: self.tasks.values().map(FakeTask::report).collect(),
            usage: running.fold(JobSize::default(), |sum, task| sum.plus(&task.size())),
        }
    }
}

fn start_task(start_counts: &mut SortedMap<JobId, u32>, fail_at_start: bool, task: &mut FakeTask) {
    let job = task.report().job;
    let count = start_counts.get(&job).copied().unwrap_or_default();
    start_counts.insert(job, count + 1);
    task.start_running();
    if fail_at_start {
        task.phase = TaskPhase::Failed;
    }
}
