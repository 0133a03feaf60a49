use {
    super::{
        JobId, JobLedger, JobSize, LeaseRef, PlacementDecision, PlacementPlan, PlacementReason,
        TaskAction, TaskCommand, TaskState, TaskView, WorkerView, placement_index::PlacementIndex,
    },
    crate::traffic::Urgency,
};

/// Share of its processor time that a throttled task keeps, in percent.
pub(super) const THROTTLE_PERCENT: u8 = 25;
/// Most urgent jobs for which room is made in one plan.
const MAX_PREEMPTING_JOBS: usize = 64;

/// An overnight task that can make room.
#[derive(Debug)]
struct PreemptibleTask {
    action: TaskAction,
    /// Room that the action makes.
    frees: JobSize,
    lease: LeaseRef,
    used: bool,
}

/// A worker on which overnight tasks can make room.
#[derive(Debug)]
struct PreemptionRow<'a> {
    /// Demand that remains when the running checkpoints and the chosen actions are through.
    demand: JobSize,
    tasks: Vec<PreemptibleTask>,
    view: &'a WorkerView,
}

/// Chooses overnight tasks to checkpoint or throttle so that waiting urgent jobs find room.
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

    /// Makes room for the urgent jobs, in order.
    pub(super) fn preempt(&mut self, jobs: &[(JobId, JobSize)], plan: &mut PlacementPlan) {
        for (job, size) in jobs.iter().take(MAX_PREEMPTING_JOBS) {
            // Room that earlier checkpoints will leave is not made a second time.
            let awaited = self.rows.iter_mut().find(|row| row.holds(size));
            if let Some(row) = awaited {
                row.demand = row.demand.plus(size);
                continue;
            }
            let options = self.rows.iter().enumerate();
            let options = options.filter_map(|(index, row)| Some((row.choose(size)?, index)));
            let best = options.min_by_key(|(tasks, index)| (tasks.len(), *index));
            if let Some((tasks, index)) = best {
                self.rows[index].make_room(*job, size, &tasks, plan);
            }
        }
    }
}

impl PreemptionRow<'_> {
    fn holds(&self, size: &JobSize) -> bool {
        self.demand.plus(size).fits(&self.view.capacity)
    }

    /// Returns the fewest tasks, largest first, that make room; none when all together do not.
    fn choose(&self, size: &JobSize) -> Option<Vec<usize>> {
        let mut demand = self.demand.plus(size);
        let mut chosen = Vec::new();
        for (index, task) in self.tasks.iter().enumerate().filter(|(_, task)| !task.used) {
            demand = demand.minus(&task.frees);
            chosen.push(index);
            if demand.fits(&self.view.capacity) {
                return Some(chosen);
            }
        }
        None
    }

    fn make_room(
        &mut self,
        urgent: JobId,
        size: &JobSize,
        chosen: &[usize],
        plan: &mut PlacementPlan,
    ) {
        self.demand = self.demand.plus(size);
        for index in chosen {
            let task = &mut self.tasks[*index];
            task.used = true;
            self.demand = self.demand.minus(&task.frees);
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
        let size = throttled_size(ledger.estimates().size(&job.spec), task);
        if task.state == TaskState::Checkpointing {
            row.demand = row.demand.minus(&size);
        }
        if task.state == TaskState::Running && job.spec.urgency == Urgency::Overnight {
            // A non-idempotent task is never stopped half way; it can only be slowed.
            let saves = job.spec.checkpoints && job.spec.idempotent;
            row.tasks.extend(preemptible_task(task, size, saves));
        }
    }
    row.tasks.sort_by_key(|task| {
        let freed = task.frees.share_of(&view.capacity);
        (
            task.action != TaskAction::Checkpoint,
            std::cmp::Reverse(freed),
        )
    });
    row
}

fn preemptible_task(task: &TaskView, size: JobSize, saves: bool) -> Option<PreemptibleTask> {
    if saves {
        return Some(PreemptibleTask {
            action: TaskAction::Checkpoint,
            frees: size,
            lease: task.lease(),
            used: false,
        });
    }
    if task.throttle_percent <= THROTTLE_PERCENT {
        return None;
    }
    let kept = size.cores_milli / 100 * u32::from(THROTTLE_PERCENT);
    Some(PreemptibleTask {
        action: TaskAction::Throttle(THROTTLE_PERCENT),
        frees: JobSize {
            cores_milli: size.cores_milli - kept,
            ..JobSize::default()
        },
        lease: task.lease(),
        used: false,
    })
}

/// Returns what a task takes under its throttle.
pub(super) fn throttled_size(size: JobSize, task: &TaskView) -> JobSize {
    let percent = u64::from(task.throttle_percent.min(100));
    let cores = u64::from(size.cores_milli) * percent / 100;
    JobSize {
        cores_milli: u32::try_from(cores).unwrap_or(size.cores_milli),
        ..size
    }
}
