use {
    super::{
        GrantItem, Job, JobId, JobLedger, JobRecord, JobSize, JobState, LeaseRef, MarkItem,
        PlacementDecision, PlacementPlan, PlacementReason, TaskAction, TaskCommand, TaskState,
        WorkerView,
        fair_queue::{FairQueue, QueueKey, QueuedJob},
        placement_index::{PlacementIndex, PlacementRequest},
        task_review::{TaskReview, push_batches},
        urgent_preemption::{UrgentPreemption, throttled_size},
    },
    crate::{
        config::FleetConfig,
        ids::{HostName, LogTime, Millis, PoolName},
        traffic::Urgency,
    },
};

/// Time before its latest start at which an overnight job is placed like a normal one.
const OVERNIGHT_PROMOTION_MARGIN: Millis = Millis(10 * 60 * 1000);

/// Time in the queue after which a worker is kept free for a job. Without it, a job that needs a whole
/// worker waits as long as smaller jobs keep coming.
const KEEP_FREE_AFTER: Millis = Millis(30 * 1000);

/// What the placement duty of a pool looks at.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// The configuration in force.
    pub config: &'a FleetConfig,
    /// The jobs.
    pub ledger: &'a JobLedger,
    /// Estimate of the present log time: the time of the newest entry plus the time since it was read.
    pub now: LogTime,
    /// How long the holder of the duty has been asking the workers without a break.
    pub observed_for: Millis,
    /// The pool.
    pub pool: &'a PoolName,
    /// The workers of all pools, each host once.
    pub workers: &'a [WorkerView],
}

/// Decides what to append and to tell the workers of one pool now.
///
/// The same input yields the same plan. Two holders that plan at the same time do no harm: the fold
/// accepts the first grant of each job version, and commands name attempts.
pub fn plan_placement(input: &PlacementInput) -> PlacementPlan {
    let mut planner = PlacementPlanner::new(input);
    planner.review_tasks();
    planner.sort_jobs();
    planner.place_jobs();
    planner.resume_tasks();
    planner.finish()
}

/// Demand on one worker.
#[derive(Clone, Copy, Debug, Default)]
struct WorkerDemand {
    /// Reserved for tasks that hold a lease or are reported.
    reserved: JobSize,
    /// Part of `reserved` whose tasks are not reported yet.
    unreported: JobSize,
}

struct PlacementPlanner<'a> {
    /// Different capacities of the workers of the pool, whether or not they get jobs now.
    capacities: Vec<JobSize>,
    demands: Vec<WorkerDemand>,
    /// Whether a worker gets a grant in this plan.
    granted: Vec<bool>,
    grants: Vec<GrantItem>,
    /// Indexes of the workers in order of name.
    index: Vec<usize>,
    input: &'a PlacementInput<'a>,
    marks: Vec<MarkItem>,
    plan: PlacementPlan,
    queue: FairQueue<'a>,
    /// Urgent jobs that found no room, with their sizes.
    unplaced: Vec<(JobId, JobSize)>,
}

impl<'a> PlacementPlanner<'a> {
    fn new(input: &'a PlacementInput<'a>) -> Self {
        let workers = input.workers;
        let mut index: Vec<usize> = (0..workers.len()).collect();
        index.sort_unstable_by_key(|index| &workers[*index].id.host);
        let members = workers.iter().filter(|worker| worker.pool == *input.pool);
        let mut capacities = Vec::new();
        for worker in members.clone() {
            if !capacities.contains(&worker.capacity) {
                capacities.push(worker.capacity);
            }
        }
        let whole = members.fold(JobSize::default(), |sum, worker| sum.plus(&worker.capacity));
        Self {
            capacities,
            demands: vec![WorkerDemand::default(); workers.len()],
            granted: vec![false; workers.len()],
            grants: Vec::new(),
            index,
            input,
            marks: Vec::new(),
            plan: PlacementPlan::default(),
            queue: FairQueue::new(input.config, whole),
            unplaced: Vec::new(),
        }
    }

    fn worker(&self, host: &HostName) -> Option<usize> {
        let workers = self.input.workers;
        let found = self
            .index
            .binary_search_by(|index| workers[*index].id.host.cmp(host));
        Some(self.index[found.ok()?])
    }

    /// Compares leases with reports, and sums what each worker has to carry.
    fn review_tasks(&mut self) {
        let mut review = TaskReview::default();
        for (id, job) in self.input.ledger.unfinished(self.input.pool) {
            let Some(lease) = job.lease() else {
                continue;
            };
            let worker = self.worker(&lease.worker.host);
            let worker = worker.map(|index| (index, &self.input.workers[index]));
            let view = worker.map(|(_, view)| view);
            review.review(self.input, view, id, job, lease);
            let attempt = LeaseRef {
                grant: lease.grant,
                job: id,
            };
            match worker.filter(|(_, view)| view.id == lease.worker) {
                Some((index, view)) => self.reserve_lease(index, view, attempt, job),
                None => self.queue.charge(&job.spec.organisation, &self.size(job)),
            }
        }
        let workers = self.input.workers.iter().enumerate();
        for (index, worker) in workers.filter(|(_, worker)| worker.pool == *self.input.pool) {
            review.review_orphans(self.input.ledger, worker);
            if self.input.ledger.healths().is_excluded(&worker.id) {
                self.plan.excluded.push(worker.id.clone());
            }
            self.reserve_orphans(index, worker);
        }
        review.write_to(&mut self.plan);
    }

    fn reserve_lease(&mut self, index: usize, worker: &WorkerView, attempt: LeaseRef, job: &Job) {
        let size = self.size(job);
        let demand = &mut self.demands[index];
        let task = worker.task(attempt);
        let size = task.map_or(size, |task| throttled_size(size, task));
        // A task that has ended takes nothing any more, although its result is not in the log yet.
        if task.is_some_and(|task| !task.is_active()) {
            return;
        }
        demand.reserved = demand.reserved.plus(&size);
        if task.is_none() {
            demand.unreported = demand.unreported.plus(&size);
        }
        self.queue.charge(&job.spec.organisation, &size);
    }

    /// Reserves room for tasks without a lease until they are gone, and for tasks of the pool that the
    /// worker belonged to before.
    fn reserve_orphans(&mut self, index: usize, worker: &WorkerView) {
        let ledger = self.input.ledger;
        let report = worker.fresh_report();
        let tasks = report.map_or(&[][..], |report| &report.tasks);
        for task in tasks.iter().filter(|task| task.is_active()) {
            let leased = ledger.leased(task.lease());
            if leased.is_some_and(|job| job.spec.pool == *self.input.pool) {
                continue;
            }
            if let Some(job) = ledger.job(task.job) {
                let size = throttled_size(self.size(job), task);
                let demand = &mut self.demands[index];
                demand.reserved = demand.reserved.plus(&size);
            }
        }
    }

    /// Returns the size to reserve for a job. A corrected size that no worker holds is cut to a worker
    /// that holds the declared size: the tasks behind the estimate ran on such workers.
    fn size(&self, job: &Job) -> JobSize {
        let size = self.input.ledger.estimates().size(&job.spec);
        if self.fits_any_worker(&size) {
            return size;
        }
        let declared = job.spec.size;
        let holder = self
            .capacities
            .iter()
            .find(|capacity| declared.fits(capacity));
        holder.map_or(declared, |capacity| size.min(capacity))
    }

    fn fits_any_worker(&self, size: &JobSize) -> bool {
        self.capacities.iter().any(|capacity| size.fits(capacity))
    }

    /// Sorts the queued jobs of the pool into the queue and reports those that no worker could hold.
    fn sort_jobs(&mut self) {
        let now = self.input.now;
        for (id, job) in self.input.ledger.unfinished(self.input.pool) {
            if job.is_overdue(now) {
                self.plan.overdue.push(id);
            }
            if job.state != JobState::Queued {
                continue;
            }
            let size = self.size(job);
            if self.capacities.is_empty() {
                self.plan.waiting.no_worker += 1;
                continue;
            }
            let unplaceable = !self.fits_any_worker(&size);
            self.mark(id, job, unplaceable, size);
            if unplaceable {
                self.plan.waiting.unplaceable += 1;
                continue;
            }
            let run_time = self.input.ledger.estimates().run_time(&job.spec);
            self.queue.push(QueuedJob {
                id,
                job,
                size,
                urgency: effective_urgency(now, job, run_time),
            });
        }
    }

    fn mark(&mut self, id: JobId, job: &Job, unplaceable: bool, size: JobSize) {
        if job.unplaceable == unplaceable {
            return;
        }
        let reason = match unplaceable {
            true => PlacementReason::Unplaceable(size),
            false => PlacementReason::Placeable,
        };
        self.plan
            .decisions
            .push(PlacementDecision { job: id, reason });
        self.marks.push(MarkItem {
            job: id,
            unplaceable,
            version: job.version,
        });
    }

    /// Grants queued jobs to workers with room, in the order of the queue.
    fn place_jobs(&mut self) {
        let mut placement = self.placement();
        while let Some((organisation, queued)) = self.queue.pop() {
            self.place_job(&mut placement, organisation, &queued);
        }
        if !self.unplaced.is_empty() {
            let mut preemption = UrgentPreemption::new(self.input.ledger, &placement);
            preemption.preempt(&self.unplaced, &mut self.plan);
        }
    }

    fn placement(&self) -> PlacementIndex<'a> {
        let workers = self.input.workers.iter().enumerate();
        let usable = workers.filter(|(_, worker)| self.is_usable(worker));
        PlacementIndex::new(usable.map(|(index, worker)| (index, worker, self.demand(index))))
    }

    fn is_usable(&self, worker: &WorkerView) -> bool {
        worker.pool == *self.input.pool
            && !worker.draining
            && worker.fresh_report().is_some()
            && !self.input.ledger.healths().is_excluded(&worker.id)
    }

    /// Returns what a worker carries: the larger of what is reserved and what is used or about to be.
    fn demand(&self, index: usize) -> JobSize {
        let demand = &self.demands[index];
        let report = self.input.workers[index].fresh_report();
        let usage = report.map_or(JobSize::default(), |report| report.usage);
        demand.reserved.max(&usage.plus(&demand.unreported))
    }

    fn place_job(
        &mut self,
        placement: &mut PlacementIndex<'a>,
        organisation: QueueKey,
        queued: &QueuedJob<'a>,
    ) {
        let failed = queued.job.failures.iter().map(|failed| &failed.host);
        let hosts = failed.chain(&queued.job.passed_over);
        let avoid = hosts.filter_map(|host| placement.key(self.worker(host)?));
        let mut avoid: Vec<_> = avoid.collect();
        if !avoid.is_empty() && !placement.has_other(&avoid, &queued.size) {
            // The job has failed on every worker that could hold it, so it may try one of them again.
            avoid.clear();
        }
        let request = PlacementRequest {
            avoid,
            is_packed: queued.urgency != Urgency::Urgent,
            keeps_headroom: queued.urgency == Urgency::Overnight,
            size: queued.size,
        };
        let Some(key) = placement.take(&request) else {
            self.plan.waiting.no_room += 1;
            if queued.urgency == Urgency::Urgent {
                self.unplaced.push((queued.id, queued.size));
            }
            if self.input.now.since(queued.job.changed) > KEEP_FREE_AFTER {
                placement.keep_free(&request);
            }
            return;
        };
        let row = &placement.rows()[key.0];
        let worker = row.view.id.clone();
        self.granted[row.index] = true;
        self.queue.charge_key(organisation, &queued.size);
        // A grant takes the report back by itself.
        self.marks.retain(|mark| mark.job != queued.id);
        self.grants.push(GrantItem {
            job: queued.id,
            version: queued.job.version,
            worker: worker.clone(),
        });
        let reason = PlacementReason::Granted {
            size: queued.size,
            worker,
        };
        self.plan.decisions.push(PlacementDecision {
            job: queued.id,
            reason,
        });
    }

    /// Lifts throttles where the full size fits again and no urgent job waits.
    fn resume_tasks(&mut self) {
        if !self.unplaced.is_empty() {
            return;
        }
        for (index, worker) in self.input.workers.iter().enumerate() {
            if worker.pool == *self.input.pool {
                self.resume_on(index, worker);
            }
        }
    }

    fn resume_on(&mut self, index: usize, worker: &WorkerView) {
        let report = worker.fresh_report().filter(|_| !self.granted[index]);
        let tasks = report.map_or(&[][..], |report| &report.tasks);
        let mut room = worker.capacity.minus(&self.demand(index));
        for task in tasks {
            let throttled = task.state == TaskState::Running && task.throttle_percent < 100;
            let Some(job) = self.input.ledger.leased(task.lease()).filter(|_| throttled) else {
                continue;
            };
            let size = self.size(job);
            let extra = size.minus(&throttled_size(size, task));
            if !extra.fits(&room) {
                continue;
            }
            room = room.minus(&extra);
            self.plan.commands.push(TaskCommand {
                action: TaskAction::Throttle(100),
                lease: task.lease(),
                worker: worker.id.clone(),
            });
            self.plan.decisions.push(PlacementDecision {
                job: task.job,
                reason: PlacementReason::Resumed(worker.id.clone()),
            });
        }
    }

    fn finish(mut self) -> PlacementPlan {
        let records = &mut self.plan.records;
        push_batches(records, self.grants, |grants| JobRecord::Grant { grants });
        push_batches(records, self.marks, |marks| JobRecord::Mark { marks });
        self.plan
    }
}

/// Returns the class in which a job is placed. An overnight job whose latest start is near is placed
/// like a normal one.
fn effective_urgency(now: LogTime, job: &Job, run_time: Millis) -> Urgency {
    let margin = Millis(run_time.0.saturating_add(run_time.0 / 4));
    let latest_start = job.spec.deadline - margin - OVERNIGHT_PROMOTION_MARGIN;
    match job.spec.urgency {
        Urgency::Overnight if now >= latest_start => Urgency::Normal,
        urgency => urgency,
    }
}
