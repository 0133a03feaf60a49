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

/// Most attempts that are remembered only to refuse them. Beyond it, the oldest are covered by a floor
/// below which every attempt is refused.
pub const MAX_REFUSED: usize = 1024;

/// The tasks of one run of a worker, without I/O: time is an argument.
#[derive(Debug)]
pub struct TaskTable {
    /// What goes wrong.
    pub faults: WorkerFaults,
    capacity: JobSize,
    /// Attempts up to this number are refused.
    floor: GrantNumber,
    incarnation: Incarnation,
    last_report: Option<(LocalTime, WorkerStatus)>,
    refused: SortedMap<GrantNumber, ()>,
    run_time: Millis,
    starts: SortedMap<JobId, u32>,
    tasks: SortedMap<GrantNumber, FakeTask>,
}

impl TaskTable {
    /// Creates the table of a run of a worker. Tasks without a run time of their own take `run_time`.
    pub fn new(incarnation: Incarnation, capacity: JobSize, run_time: Millis) -> Self {
        Self {
            capacity,
            faults: WorkerFaults::default(),
            floor: GrantNumber(0),
            incarnation,
            last_report: None,
            refused: SortedMap::default(),
            run_time,
            starts: SortedMap::default(),
            tasks: SortedMap::default(),
        }
    }

    /// Returns how often the tasks of a job began on this run of the worker.
    pub fn starts(&self, job: JobId) -> u32 {
        self.starts.get(&job).copied().unwrap_or_default()
    }

    /// Returns the tasks and what they use. With a report lag, an old report is repeated.
    pub fn status(&mut self, now: LocalTime) -> WorkerStatus {
        self.advance(now);
        let lag = self.faults.report_lag;
        let last = self.last_report.as_ref();
        let (made, report) = match last.filter(|(made, _)| now.since(*made) < lag) {
            Some(last) => last.clone(),
            None => (now, self.report()),
        };
        self.last_report = Some((made, report.clone()));
        WorkerStatus {
            age: now.since(made),
            ..report
        }
    }

    /// Accepts a task, or returns the state of an attempt that is known.
    ///
    /// # Errors
    /// `OtherIncarnation`.
    pub fn start(
        &mut self,
        now: LocalTime,
        request: &StartRequest,
    ) -> Result<TaskReport, WorkerRefusal> {
        self.check(&request.task)?;
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
        self.task(&request.task)
    }

    /// Extends the lease of a task that has not begun or runs.
    ///
    /// # Errors
    /// `OtherIncarnation`, `UnknownTask`.
    pub fn renew(
        &mut self,
        now: LocalTime,
        request: &RenewRequest,
    ) -> Result<TaskReport, WorkerRefusal> {
        self.check(&request.task)?;
        self.advance(now);
        let task = self.tasks.get_mut(&request.task.grant);
        let task = task.ok_or(WorkerRefusal::UnknownTask)?;
        task.lease_end = task.lease_end.max(now + request.lease);
        Ok(task.report())
    }

    /// Stops a task; an attempt that has not begun never will.
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

    /// Refuses an attempt for good unless it has begun, and returns its state.
    ///
    /// # Errors
    /// `OtherIncarnation`.
    pub fn fence(
        &mut self,
        now: LocalTime,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerRefusal> {
        self.check(request)?;
        self.advance(now);
        if !self.tasks.contains(&request.grant) {
            let task = FakeTask::fenced(now, request);
            self.tasks.insert(request.grant, task);
        }
        if let Some(task) = self.tasks.get_mut(&request.grant)
            && task.is_waiting()
        {
            task.phase = TaskPhase::NotStarted;
        }
        self.task(request)
    }

    /// Drops the report of an attempt. The attempt is still refused.
    ///
    /// # Errors
    /// `OtherIncarnation`.
    pub fn forget(&mut self, now: LocalTime, request: &TaskRequest) -> Result<(), WorkerRefusal> {
        self.stop(now, request)?;
        self.tasks.remove(&request.grant);
        if request.grant > self.floor {
            self.refused.insert(request.grant, ());
        }
        while self.refused.len() > MAX_REFUSED {
            let oldest = self.refused.iter().next().map(|(grant, ())| *grant);
            self.floor = self.floor.max(oldest.unwrap_or_default());
            self.refused.remove_below(&GrantNumber(self.floor.0 + 1));
        }
        Ok(())
    }

    /// Saves a task and stops it.
    ///
    /// # Errors
    /// `OtherIncarnation`, `UnknownTask`, `Unsupported` when the task does not run.
    pub fn checkpoint(
        &mut self,
        now: LocalTime,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerRefusal> {
        self.check(request)?;
        self.advance(now);
        let task = self.tasks.get_mut(&request.grant);
        let task = task.ok_or(WorkerRefusal::UnknownTask)?;
        match task.phase {
            TaskPhase::Running => task.save(),
            TaskPhase::Checkpointed(_) => {}
            _ => return Err(WorkerRefusal::Unsupported),
        }
        Ok(task.report())
    }

    /// Limits the processor time of a task.
    ///
    /// # Errors
    /// `OtherIncarnation`, `UnknownTask`, `Invalid` for a share outside of 1 to 100.
    pub fn throttle(
        &mut self,
        now: LocalTime,
        request: &ThrottleRequest,
    ) -> Result<TaskReport, WorkerRefusal> {
        self.check(&request.task)?;
        if !(1..=100).contains(&request.percent) {
            return Err(WorkerRefusal::Invalid);
        }
        self.advance(now);
        let task = self.tasks.get_mut(&request.task.grant);
        let task = task.ok_or(WorkerRefusal::UnknownTask)?;
        task.throttle_percent = request.percent;
        Ok(task.report())
    }

    fn check(&self, request: &TaskRequest) -> Result<(), WorkerRefusal> {
        match request.incarnation == self.incarnation {
            true => Ok(()),
            false => Err(WorkerRefusal::OtherIncarnation),
        }
    }

    fn is_refused(&self, grant: GrantNumber) -> bool {
        grant <= self.floor || self.refused.contains(&grant)
    }

    fn task(&self, request: &TaskRequest) -> Result<TaskReport, WorkerRefusal> {
        let task = self.tasks.get(&request.grant);
        task.map(FakeTask::report).ok_or(WorkerRefusal::UnknownTask)
    }

    /// Begins the tasks that are due and runs the others. A task whose lease has ended never begins; one
    /// that runs goes on.
    fn advance(&mut self, now: LocalTime) {
        for (_, task) in self.tasks.iter_mut() {
            if task.is_waiting() && task.begins <= now {
                // Work that was held up begins now, not when it was due.
                task.begins = now;
                match now < task.lease_end {
                    true => begin(&mut self.starts, self.faults.fail_all, task),
                    false => task.phase = TaskPhase::NotStarted,
                }
            }
            task.advance(now);
        }
    }

    fn report(&self) -> WorkerStatus {
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

fn begin(starts: &mut SortedMap<JobId, u32>, fails: bool, task: &mut FakeTask) {
    let job = task.report().job;
    let count = starts.get(&job).copied().unwrap_or_default();
    starts.insert(job, count + 1);
    task.begin();
    if fails {
        task.phase = TaskPhase::Failed;
    }
}
