use {
    super::{
        JobId, JobLedger, JobSize, LeaseRef, PlacementDecision, PlacementPlan, PlacementReason,
        TaskAction, TaskCommand, TaskState, TaskView, WorkerView, placement_index::PlacementIndex,
    },
    crate::traffic::Urgency,
};

/// Share of its processor time that a throttled task keeps, in percent.
pub(super) const THROTTLE_PERCENT: u8 = 25;
/// Maximum number of urgent jobs that preempt tasks in one plan.
const MAX_PREEMPTING_JOBS: usize = 64;

/// An overnight task that can be checkpointed or throttled.
#[derive(Debug)]
struct PreemptibleTask {
    action: TaskAction,
    /// Capacity that the action frees.
    freed: JobSize,
    lease: LeaseRef,
    is_chosen: bool,
}

/// A worker with its preemptible tasks.
#[derive(Debug)]
struct PreemptionRow<'a> {
    /// Demand after the checkpoints in progress and the chosen actions, including the urgent jobs that wait for them.
    demand: JobSize,
    tasks: Vec<PreemptibleTask>,
    view: &'a WorkerView,
}

/// Chooses overnight tasks to checkpoint or throttle so that waiting urgent jobs fit.
#[derive(Debug)]
pub(super) struct UrgentPreemption<'a> {
    rows: Vec<PreemptionRow<'a>>,
}

impl<'a> UrgentPreemption<'a> {
    pub(super) fn new(ledger: &JobLedger, placement: &PlacementIndex<'a>) -> Self {
        let rows = placement.rows().iter();
        let rows = rows.map(|row| preemption_row(ledger, row.view, row.demand));
        Self {
            rows: rows.collect(),
        }
    }

    /// Frees capacity for the urgent jobs, in order.
    pub(super) fn preempt(&mut self, jobs: &[(JobId, JobSize)], plan: &mut PlacementPlan) {
        for (job, size) in jobs.iter().take(MAX_PREEMPTING_JOBS) {
            // Capacity that earlier checkpoints will free is not freed a second time.
            let available = self.rows.iter_mut().find(|row| row.has_capacity_for(size));
            if let Some(row) = available {
                row.demand = row.demand.plus(size);
                continue;
            }
            let candidates = self.rows.iter().enumerate();
            let candidates = candidates.filter_map(|(index, row)| Some((row.choose(size)?, index)));
            let best = candidates.min_by_key(|(tasks, index)| (tasks.len(), *index));
            if let Some((tasks, index)) = best {
                self.rows[index].preempt_tasks(*job, size, &tasks, plan);
            }
        }
    }
}

impl PreemptionRow<'_> {
    fn has_capacity_for(&self, size: &JobSize) -> bool {
        self.demand.plus(size).fits(&self.view.capacity)
    }

    /// Returns the first tasks, in order of preference, that together free enough capacity; `None` when even all of
    /// them free too little.
    fn choose(&self, size: &JobSize) -> Option<Vec<usize>> {
        let mut demand = self.demand.plus(size);
        let mut chosen = Vec::new();
        for (index, task) in self
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| !task.is_chosen)
        {
            demand = demand.minus(&task.freed);
            chosen.push(index);
            if demand.fits(&self.view.capacity) {
                return Some(chosen);
            }
        }
        None
    }

    fn preempt_tasks(
        &mut self,
        urgent: JobId,
        size: &JobSize,
        chosen: &[usize],
        plan: &mut PlacementPlan,
    ) {
        self.demand = self.demand.plus(size);
        for index in chosen {
            let task = &mut self.tasks[*index];
            task.is_chosen = true;
            self.demand = self.demand.minus(&task.freed);
            let worker = self.view.id.clone();
            plan.commands.push(TaskCommand {
                action: task.action,
                lease: task.lease,
                worker: worker.clone(),
            });
            let reason = match task.action {
                TaskAction::Checkpoint => PlacementReason::CheckpointedFor { urgent, worker },
                _ => PlacementReason::ThrottledFor { urgent, worker },
            };
            plan.decisions.push(PlacementDecision {
                job: task.lease.job,
                reason,
            });
        }
    }
}

fn preemption_row<'a>(
    ledger: &JobLedger,
    view: &'a WorkerView,
    demand: JobSize,
) -> PreemptionRow<'a> {
    let tasks = view.fresh_report().map_or(&[][..], |report| &report.tasks);
    let mut row = PreemptionRow {
        demand,
        tasks: Vec::new(),
        view,
    };
    for task in tasks {
        let Some(job) = ledger.leased(task.lease()) else {
            continue;
        };
        let size = ledger.estimates().size(&job.spec);
        if task.state == TaskState::Checkpointing {
            row.demand = row.demand.minus(&throttled_size(size, task));
        }
        if task.state == TaskState::Running && job.spec.urgency == Urgency::Overnight {
            // A non-idempotent task is never stopped before its end, only throttled.
            let can_checkpoint = job.spec.checkpoints && job.spec.idempotent;
            row.tasks
                .extend(preemptible_task(task, size, can_checkpoint));
        }
    }
    row.tasks.sort_by_key(|task| {
        let freed_share = task.freed.share_of(&view.capacity);
        (
            task.action != TaskAction::Checkpoint,
            std::cmp::Reverse(freed_share),
        )
    });
    row
}

/// Returns what an action frees on a task whose size without a throttle is `size`.
fn preemptible_task(
    task: &TaskView,
    size: JobSize,
    can_checkpoint: bool,
) -> Option<PreemptibleTask> {
    let reserved = throttled_size(size, task);
    if can_checkpoint {
        return Some(PreemptibleTask {
            action: TaskAction::Checkpoint,
            freed: reserved,
            lease: task.lease(),
            is_chosen: false,
        });
    }
    if task.throttle_percent <= THROTTLE_PERCENT {
        return None;
    }
    Some(PreemptibleTask {
        action: TaskAction::Throttle(THROTTLE_PERCENT),
        freed: reserved.minus(&size_at(size, THROTTLE_PERCENT)),
        lease: task.lease(),
        is_chosen: false,
    })
}

/// Returns the size to reserve for a task under its throttle.
pub(super) fn throttled_size(size: JobSize, task: &TaskView) -> JobSize {
    size_at(size, task.throttle_percent.min(100))
}

/// Returns a size with a part of its cores, in percent.
fn size_at(size: JobSize, percent: u8) -> JobSize {
    let cores = u64::from(size.cores_milli) * u64::from(percent) / 100;
    JobSize {
        cores_milli: u32::try_from(cores).unwrap_or(size.cores_milli),
        ..size
    }
}
