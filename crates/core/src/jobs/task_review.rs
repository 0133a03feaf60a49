use {
    super::{
        FailItem, FinishItem, Job, JobId, JobLedger, JobRecord, JobState, LEASE_DURATION, Lease,
        LeaseRef, PlacementDecision, PlacementPlan, PlacementReason, ReleaseItem, TaskAction,
        TaskCommand, TaskState, TaskView, WorkerView, job_record::MAX_BATCH,
        placement_planner::PlacementInput, worker_view::REPORT_MAX_AGE,
    },
    crate::ids::{LogTime, Millis},
};

/// Remaining lease below which a task is no longer started. It covers the time until the start command reaches the
/// worker.
const MIN_LEASE_TO_START: Millis = Millis(5 * 1000);
/// Remaining lease below which it is renewed.
const RENEW_THRESHOLD: Millis = Millis(LEASE_DURATION.0 / 2);

/// Compares the leases in the log with the tasks that workers report, and collects the resulting records, commands and
/// decisions.
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
    /// Reviews a leased job against the latest report of its worker.
    pub(super) fn review_lease(
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
            self.checkpoint_if_draining(worker, job, task);
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
                self.add_decision(task.job, PlacementReason::Finished(worker));
            }
            TaskState::Failed(usage) => {
                self.failed.push(FailItem {
                    lease: attempt,
                    started: true,
                    usage: *usage,
                });
                self.add_decision(task.job, PlacementReason::Failed(worker));
            }
            TaskState::Refused => {
                self.failed.push(FailItem {
                    lease: attempt,
                    started: false,
                    usage: Default::default(),
                });
                self.add_decision(task.job, PlacementReason::Failed(worker));
            }
            TaskState::NotStarted => {
                self.released.push(ReleaseItem {
                    checkpoint: None,
                    lease: attempt,
                });
                self.add_decision(task.job, PlacementReason::Released(worker));
            }
            TaskState::Checkpointed(progress) if job.spec.idempotent => {
                self.released.push(ReleaseItem {
                    checkpoint: Some(progress.clone()),
                    lease: attempt,
                });
                self.add_decision(task.job, PlacementReason::Released(worker));
            }
            TaskState::Checkpointed(_) => self.lapse_if_due(now, lease, attempt),
            TaskState::Checkpointing | TaskState::Running => self.renew_if_due(now, lease, attempt),
        }
    }

    /// Checkpoints a task on a draining worker, so that the worker's stop need not wait for the end of the task.
    fn checkpoint_if_draining(&mut self, worker: &WorkerView, job: &Job, task: &TaskView) {
        let can_checkpoint = job.spec.checkpoints && job.spec.idempotent;
        if worker.draining && can_checkpoint && task.state == TaskState::Running {
            self.add_command(TaskAction::Checkpoint, task.lease(), worker);
            let reason = PlacementReason::CheckpointedForStop(worker.id.clone());
            self.add_decision(task.job, reason);
        }
    }

    /// Reviews a lease whose task is in no recent report.
    fn review_missing_task(
        &mut self,
        input: &PlacementInput,
        worker: Option<&WorkerView>,
        attempt: LeaseRef,
        lease: &Lease,
    ) {
        let fresh = worker.filter(|worker| worker.fresh_report().is_some());
        let Some(worker) = fresh else {
            // After an outage of the log or a change of the duty holder, workers get time to report first: their
            // tasks may still run, and then their leases can be renewed.
            if input.observed_for > REPORT_MAX_AGE {
                self.lapse_if_due(input.now, lease, attempt);
            }
            return;
        };
        let remaining = lease.expiry.since(input.now);
        if remaining == Millis(0) {
            self.lapse_if_due(input.now, lease, attempt);
            return;
        }
        let can_start = remaining >= MIN_LEASE_TO_START && !worker.draining;
        let action = match can_start {
            true => TaskAction::Start,
            false => TaskAction::Fence,
        };
        self.add_command(action, attempt, worker);
    }

    /// Reviews the tasks of a worker that have no lease.
    pub(super) fn review_orphans(&mut self, ledger: &JobLedger, worker: &WorkerView) {
        let report = worker.fresh_report();
        let tasks = report.map_or(&[][..], |report| &report.tasks);
        for task in tasks {
            // A grant newer than all in this state was already read by another duty holder.
            let is_newer = task.grant > ledger.latest_grant();
            if !is_newer && ledger.leased(task.lease()).is_none() {
                self.review_orphan(ledger, worker, task);
            }
        }
    }

    fn review_orphan(&mut self, ledger: &JobLedger, worker: &WorkerView, task: &TaskView) {
        let job = ledger.job(task.job);
        let accepts_result = job.is_some_and(|job| accepts_late_result(job, task));
        match &task.state {
            TaskState::Checkpointing | TaskState::Running if accepts_result => {}
            TaskState::Checkpointing | TaskState::Running => {
                self.add_command(TaskAction::Stop, task.lease(), worker);
            }
            TaskState::Done(usage) if accepts_result => {
                self.finished.push(FinishItem {
                    lease: task.lease(),
                    usage: *usage,
                });
                self.add_decision(task.job, PlacementReason::Finished(worker.id.clone()));
            }
            _ => self.add_command(TaskAction::Forget, task.lease(), worker),
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
            self.add_decision(attempt.job, PlacementReason::Lapsed(lease.worker.clone()));
        }
    }

    fn add_decision(&mut self, job: JobId, reason: PlacementReason) {
        self.decisions.push(PlacementDecision { job, reason });
    }

    fn add_command(&mut self, action: TaskAction, lease: LeaseRef, worker: &WorkerView) {
        self.commands.push(TaskCommand {
            action,
            lease,
            worker: worker.id.clone(),
        });
    }

    /// Adds the results to a plan.
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

/// Tells whether the ledger would still accept the result of an attempt whose lease lapsed.
fn accepts_late_result(job: &Job, task: &TaskView) -> bool {
    let lapsed = job.lapsed_lease.as_ref();
    let is_lapsed_attempt = lapsed.is_some_and(|lease| lease.grant == task.grant);
    let accepts_result = matches!(
        job.state,
        JobState::Queued | JobState::Quarantined(_) | JobState::Unknown
    );
    is_lapsed_attempt && accepts_result
}

/// Appends one record for each [`MAX_BATCH`] items.
pub(super) fn push_batches<T: Clone>(
    records: &mut Vec<JobRecord>,
    items: Vec<T>,
    record: impl Fn(Vec<T>) -> JobRecord,
) {
    records.extend(items.chunks(MAX_BATCH).map(|chunk| record(chunk.to_vec())));
}
