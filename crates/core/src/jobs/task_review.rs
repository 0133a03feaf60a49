use {
    super::{
        FailItem, FinishItem, Job, JobId, JobLedger, JobRecord, JobState, LEASE_DURATION, Lease,
        LeaseRef, PlacementDecision, PlacementPlan, PlacementReason, ReleaseItem, TaskAction,
        TaskCommand, TaskState, TaskView, WorkerView, job_record::MAX_BATCH,
        placement_planner::PlacementInput, worker_view::REPORT_MAX_AGE,
    },
    crate::ids::{LogTime, Millis},
};

/// Rest of a lease below which a task is not started any more. It covers the way of the start command
/// to the worker.
const MIN_LEASE_TO_START: Millis = Millis(5 * 1000);
/// Rest of a lease below which it is renewed.
const RENEW_THRESHOLD: Millis = Millis(LEASE_DURATION.0 / 2);

/// Compares the leases in the log with the tasks that workers report.
#[derive(Default)]
pub(super) struct TaskReview {
    commands: Vec<TaskCommand>,
    decisions: Vec<PlacementDecision>,
    failed: Vec<FailItem>,
    finished: Vec<FinishItem>,
    lapsed: Vec<LeaseRef>,
    released: Vec<ReleaseItem>,
    renewed: Vec<LeaseRef>,
}

impl TaskReview {
    /// Judges a leased job by the latest report of its worker.
    pub(super) fn review(
        &mut self,
        input: &PlacementInput,
        worker: Option<&WorkerView>,
        id: JobId,
        job: &Job,
        lease: &Lease,
    ) {
        let attempt = LeaseRef {
            grant: lease.grant,
            job: id,
        };
        let worker = worker.filter(|worker| worker.id == lease.worker);
        let task = worker.and_then(|worker| worker.task(attempt));
        if let Some((worker, task)) = worker.zip(task) {
            self.empty_if_draining(worker, job, task);
        }
        match task {
            Some(task) => self.review_task(input.now, job, lease, task),
            None => self.review_missing_task(input, worker, attempt, lease),
        }
    }

    fn review_task(&mut self, now: LogTime, job: &Job, lease: &Lease, task: &TaskView) {
        let attempt = task.lease();
        let worker = lease.worker.clone();
        match &task.state {
            TaskState::Done(usage) => {
                self.finished.push(FinishItem {
                    lease: attempt,
                    usage: *usage,
                });
                self.decide(task.job, PlacementReason::Finished(worker));
            }
            TaskState::Failed(usage) => {
                self.failed.push(FailItem {
                    lease: attempt,
                    started: true,
                    usage: *usage,
                });
                self.decide(task.job, PlacementReason::Failed(worker));
            }
            TaskState::Refused => {
                self.failed.push(FailItem {
                    lease: attempt,
                    started: false,
                    usage: Default::default(),
                });
                self.decide(task.job, PlacementReason::Failed(worker));
            }
            TaskState::NotStarted => {
                self.released.push(ReleaseItem {
                    checkpoint: None,
                    lease: attempt,
                });
                self.decide(task.job, PlacementReason::Released(worker));
            }
            TaskState::Checkpointed(progress) if job.spec.idempotent => {
                self.released.push(ReleaseItem {
                    checkpoint: Some(progress.clone()),
                    lease: attempt,
                });
                self.decide(task.job, PlacementReason::Released(worker));
            }
            TaskState::Checkpointed(_) => self.lapse_if_due(now, lease, attempt),
            TaskState::Checkpointing | TaskState::Running => self.renew_if_due(now, lease, attempt),
        }
    }

    /// Saves a task on a worker that is about to stop, so that the stop need not wait for its end.
    fn empty_if_draining(&mut self, worker: &WorkerView, job: &Job, task: &TaskView) {
        let saves = job.spec.checkpoints && job.spec.idempotent;
        if worker.draining && saves && task.state == TaskState::Running {
            self.command(TaskAction::Checkpoint, task.lease(), worker);
            let reason = PlacementReason::CheckpointedForStop(worker.id.clone());
            self.decide(task.job, reason);
        }
    }

    /// Judges a lease whose task no recent report shows.
    fn review_missing_task(
        &mut self,
        input: &PlacementInput,
        worker: Option<&WorkerView>,
        attempt: LeaseRef,
        lease: &Lease,
    ) {
        let fresh = worker.filter(|worker| worker.fresh_report().is_some());
        let Some(worker) = fresh else {
            // After an outage of the log or a take-over, workers have to be heard first: their tasks
            // may still run, and their leases can then be renewed.
            if input.observed_for > REPORT_MAX_AGE {
                self.lapse_if_due(input.now, lease, attempt);
            }
            return;
        };
        let left = lease.expiry.since(input.now);
        if left == Millis(0) {
            self.lapse_if_due(input.now, lease, attempt);
            return;
        }
        let startable = left >= MIN_LEASE_TO_START && !worker.draining;
        let action = match startable {
            true => TaskAction::Start,
            false => TaskAction::Fence,
        };
        self.command(action, attempt, worker);
    }

    /// Judges the tasks of a worker that have no lease.
    pub(super) fn review_orphans(&mut self, ledger: &JobLedger, worker: &WorkerView) {
        let report = worker.fresh_report();
        let tasks = report.map_or(&[][..], |report| &report.tasks);
        for task in tasks {
            // A later grant than any in our state was read by another holder before us.
            let later = task.grant > ledger.latest_grant();
            if !later && ledger.leased(task.lease()).is_none() {
                self.review_orphan(ledger, worker, task);
            }
        }
    }

    fn review_orphan(&mut self, ledger: &JobLedger, worker: &WorkerView, task: &TaskView) {
        let job = ledger.job(task.job);
        let awaited = job.is_some_and(|job| awaits_late_result(job, task));
        match &task.state {
            TaskState::Checkpointing | TaskState::Running if awaited => {}
            TaskState::Checkpointing | TaskState::Running => {
                self.command(TaskAction::Stop, task.lease(), worker);
            }
            TaskState::Done(usage) if awaited => {
                self.finished.push(FinishItem {
                    lease: task.lease(),
                    usage: *usage,
                });
                self.decide(task.job, PlacementReason::Finished(worker.id.clone()));
            }
            _ => self.command(TaskAction::Forget, task.lease(), worker),
        }
    }

    fn renew_if_due(&mut self, now: LogTime, lease: &Lease, attempt: LeaseRef) {
        if lease.expiry.since(now) < RENEW_THRESHOLD {
            self.renewed.push(attempt);
        }
    }

    fn lapse_if_due(&mut self, now: LogTime, lease: &Lease, attempt: LeaseRef) {
        if now > lease.expiry {
            self.lapsed.push(attempt);
            self.decide(attempt.job, PlacementReason::Lapsed(lease.worker.clone()));
        }
    }

    fn decide(&mut self, job: JobId, reason: PlacementReason) {
        self.decisions.push(PlacementDecision { job, reason });
    }

    fn command(&mut self, action: TaskAction, lease: LeaseRef, worker: &WorkerView) {
        self.commands.push(TaskCommand {
            action,
            lease,
            worker: worker.id.clone(),
        });
    }

    /// Moves the results into a plan.
    pub(super) fn write_to(self, plan: &mut PlacementPlan) {
        let records = &mut plan.records;
        push_batches(records, self.finished, |results| JobRecord::Finish {
            results,
        });
        push_batches(records, self.failed, |results| JobRecord::Fail { results });
        push_batches(records, self.released, |leases| JobRecord::Release {
            leases,
        });
        push_batches(records, self.renewed, |leases| JobRecord::Renew { leases });
        push_batches(records, self.lapsed, |leases| JobRecord::Lapse { leases });
        plan.commands.extend(self.commands);
        plan.decisions.extend(self.decisions);
    }
}

/// Tells whether the fold would still accept the result of an attempt whose lease lapsed.
fn awaits_late_result(job: &Job, task: &TaskView) -> bool {
    let lapsed = job.lapsed.as_ref();
    let matches = lapsed.is_some_and(|lease| lease.grant == task.grant);
    let open = matches!(
        job.state,
        JobState::Queued | JobState::Quarantined(_) | JobState::Unknown
    );
    matches && open
}

/// Appends one record for each [`MAX_BATCH`] items.
pub(super) fn push_batches<T: Clone>(
    records: &mut Vec<JobRecord>,
    items: Vec<T>,
    record: impl Fn(Vec<T>) -> JobRecord,
) {
    records.extend(items.chunks(MAX_BATCH).map(|chunk| record(chunk.to_vec())));
}
