use {
    super::{
        GrantItem, Job, JobId, JobLedger, JobRecord, JobSize, JobState, LeaseRef,
        PlacementDecision, PlacementPlan, PlacementReason, TaskAction, TaskCommand, TaskState,
        UnplaceableItem, WorkerView,
        fair_queue::{FairQueue, OrganisationIndex, QueuedJob},
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

/// An overnight job is placed like a normal one from this long before its latest start.
const OVERNIGHT_PROMOTION_MARGIN: Millis = Millis(10 * 60 * 1000);

/// Time in the queue after which a worker is kept free for a job. Otherwise a job that needs a whole worker would wait
/// as long as smaller jobs keep arriving.
const KEEP_FREE_AFTER: Millis = Millis(30 * 1000);

/// Input of [`plan_placement`] for one pool.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput<'a> {
    /// Configuration in force, for the weights of the organisations.
    pub config: &'a FleetConfig,
    /// Jobs as of the last applied log entry.
    pub ledger: &'a JobLedger,
    /// Estimate of the current log time: the time of the newest entry plus the time since it was read.
    pub now: LogTime,
    /// How long the holder of the duty has been polling the workers without interruption.
    pub observed_for: Millis,
    /// Pool to plan for.
    pub pool: &'a PoolName,
    /// Workers of all pools, at most one for each host.
    pub workers: &'a [WorkerView],
}

/// Decides which records to append and which commands to send to the workers of one pool now.
///
/// The same input yields the same plan. Two duty holders that plan at the same time do no harm: only the first grant of
/// each job version is accepted, and commands name attempts.
pub fn plan_placement(input: &PlacementInput) -> PlacementPlan {
    let mut planner = PlacementPlanner::new(input);
    planner.review_tasks();
    planner.queue_jobs();
    planner.place_jobs();
    planner.resume_tasks();
    planner.finish()
}

/// Demand on one worker.
#[derive(Clone, Copy, Debug, Default)]
struct WorkerDemand {
    /// Reserved for tasks that have a lease or are reported.
    reserved: JobSize,
    /// Part of `reserved` for tasks that are not reported yet.
    unreported: JobSize,
}

struct PlacementPlanner<'a> {
    /// Distinct capacities of the workers of the pool, including workers that get no jobs now.
    capacities: Vec<JobSize>,
    demands: Vec<WorkerDemand>,
    /// Whether each worker of the input gets a grant in this plan.
    granted: Vec<bool>,
    grants: Vec<GrantItem>,
    /// Indexes into `input.workers`, sorted by host name.
    workers_by_name: Vec<usize>,
    input: &'a PlacementInput<'a>,
    /// Changes of the unplaceable flag of queued jobs.
    flags: Vec<UnplaceableItem>,
    plan: PlacementPlan,
    queue: FairQueue<'a>,
    /// Urgent jobs for which no worker has enough free capacity, with their sizes.
    unplaced_urgent: Vec<(JobId, JobSize)>,
}

impl<'a> PlacementPlanner<'a> {
    fn new(input: &'a PlacementInput<'a>) -> Self {
        let workers = input.workers;
        let mut workers_by_name: Vec<usize> = (0..workers.len()).collect();
        workers_by_name.sort_unstable_by_key(|index| &workers[*index].id.host);
        let members = workers.iter().filter(|worker| worker.pool == *input.pool);
        let mut capacities = Vec::new();
        for worker in members.clone() {
            if !capacities.contains(&worker.capacity) {
                capacities.push(worker.capacity);
            }
        }
        let pool_capacity =
            members.fold(JobSize::default(), |sum, worker| sum.plus(&worker.capacity));
        Self {
            capacities,
            demands: vec![WorkerDemand::default(); workers.len()],
            granted: vec![false; workers.len()],
            grants: Vec::new(),
            workers_by_name,
            input,
            flags: Vec::new(),
            plan: PlacementPlan::default(),
            queue: FairQueue::new(input.config, pool_capacity),
            unplaced_urgent: Vec::new(),
        }
    }

    fn worker_index(&self, host: &HostName) -> Option<usize> {
        let workers = self.input.workers;
        let found = self
            .workers_by_name
            .binary_search_by(|index| workers[*index].id.host.cmp(host));
        Some(self.workers_by_name[found.ok()?])
    }

    /// Compares leases with reports, and sums the demand on each worker.
    fn review_tasks(&mut self) {
        let mut review = TaskReview::default();
        for (id, job) in self.input.ledger.unfinished(self.input.pool) {
            let Some(lease) = job.lease() else {
                continue;
            };
            let worker = self.worker_index(&lease.worker.host);
            let worker = worker.map(|index| (index, &self.input.workers[index]));
            let view = worker.map(|(_, view)| view);
            review.review_lease(self.input, view, id, job, lease);
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
            if self.input.ledger.worker_health().is_excluded(&worker.id) {
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
        // A task that has ended uses nothing, even if its result is not in the log yet.
        if task.is_some_and(|task| !task.is_active()) {
            return;
        }
        demand.reserved = demand.reserved.plus(&size);
        if task.is_none() {
            demand.unreported = demand.unreported.plus(&size);
        }
        self.queue.charge(&job.spec.organisation, &size);
    }

    /// Reserves capacity for tasks without a lease until they are gone, and for tasks of the pool to which the worker
    /// belonged before.
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

    /// Returns the size to reserve for a job. An estimated size that fits no worker is cut to the capacity of a worker
    /// that fits the declared size, because the tasks behind the estimate ran on such workers.
    fn size(&self, job: &Job) -> JobSize {
        let size = self.input.ledger.estimates().size(&job.spec);
        if self.fits_any_worker(&size) {
            return size;
        }
        let declared = job.spec.size;
        let fitting = self
            .capacities
            .iter()
            .find(|capacity| declared.fits(capacity));
        fitting.map_or(declared, |capacity| size.min(capacity))
    }

    fn fits_any_worker(&self, size: &JobSize) -> bool {
        self.capacities.iter().any(|capacity| size.fits(capacity))
    }

    /// Queues the jobs of the pool that wait, and flags those that fit no worker.
    fn queue_jobs(&mut self) {
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
            self.update_unplaceable(id, job, unplaceable, size);
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

    fn update_unplaceable(&mut self, id: JobId, job: &Job, unplaceable: bool, size: JobSize) {
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
        self.flags.push(UnplaceableItem {
            job: id,
            unplaceable,
            version: job.version,
        });
    }

    /// Grants queued jobs to workers with enough free capacity, in the order of the queue.
    fn place_jobs(&mut self) {
        let mut placement = self.build_index();
        while let Some((organisation, queued)) = self.queue.pop() {
            self.place_job(&mut placement, organisation, &queued);
        }
        if !self.unplaced_urgent.is_empty() {
            let mut preemption = UrgentPreemption::new(self.input.ledger, &placement);
            preemption.preempt(&self.unplaced_urgent, &mut self.plan);
        }
    }

    fn build_index(&self) -> PlacementIndex<'a> {
        let workers = self.input.workers.iter().enumerate();
        let usable = workers.filter(|(_, worker)| self.is_usable(worker));
        PlacementIndex::new(usable.map(|(index, worker)| (index, worker, self.demand(index))))
    }

    fn is_usable(&self, worker: &WorkerView) -> bool {
        worker.pool == *self.input.pool
            && !worker.draining
            && worker.fresh_report().is_some()
            && !self.input.ledger.worker_health().is_excluded(&worker.id)
    }

    /// Returns the demand on a worker: the larger of the reserved capacity and the reported usage plus that of tasks
    /// that are not reported yet.
    fn demand(&self, index: usize) -> JobSize {
        let demand = &self.demands[index];
        let report = self.input.workers[index].fresh_report();
        let usage = report.map_or(JobSize::default(), |report| report.usage);
        demand.reserved.max(&usage.plus(&demand.unreported))
    }

    fn place_job(
        &mut self,
        placement: &mut PlacementIndex<'a>,
        organisation: OrganisationIndex,
        queued: &QueuedJob<'a>,
    ) {
        let failed = queued.job.failures.iter().map(|failed| &failed.host);
        let hosts = failed.chain(&queued.job.avoided_worker);
        let avoid = hosts.filter_map(|host| placement.key(self.worker_index(host)?));
        let mut avoid: Vec<_> = avoid.collect();
        if !avoid.is_empty() && !placement.has_alternative(&avoid, &queued.size) {
            // Every worker that the job fits is to be avoided, so the job may be retried on one of them.
            avoid.clear();
        }
        let request = PlacementRequest {
            avoid,
            is_packed: queued.urgency != Urgency::Urgent,
            keeps_headroom: queued.urgency == Urgency::Overnight,
            size: queued.size,
        };
        let Some(key) = placement.place(&request) else {
            self.plan.waiting.no_capacity += 1;
            if queued.urgency == Urgency::Urgent {
                self.unplaced_urgent.push((queued.id, queued.size));
            }
            if self.input.now.since(queued.job.changed) > KEEP_FREE_AFTER {
                placement.keep_free(&request);
            }
            return;
        };
        let row = &placement.rows()[key.0];
        let worker = row.view.id.clone();
        self.granted[row.input_index] = true;
        self.queue.charge_at(organisation, &queued.size);
        // A grant clears the unplaceable flag by itself.
        self.flags.retain(|item| item.job != queued.id);
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

    /// Lifts throttles where the full size fits again, unless an urgent job waits for capacity.
    fn resume_tasks(&mut self) {
        if !self.unplaced_urgent.is_empty() {
            return;
        }
        for (index, worker) in self.input.workers.iter().enumerate() {
            if worker.pool == *self.input.pool {
                self.resume_tasks_on(index, worker);
            }
        }
    }

    fn resume_tasks_on(&mut self, index: usize, worker: &WorkerView) {
        let report = worker.fresh_report().filter(|_| !self.granted[index]);
        let tasks = report.map_or(&[][..], |report| &report.tasks);
        let mut free = worker.capacity.minus(&self.demand(index));
        for task in tasks {
            let is_throttled = task.state == TaskState::Running && task.throttle_percent < 100;
            let Some(job) = self
                .input
                .ledger
                .leased(task.lease())
                .filter(|_| is_throttled)
            else {
                continue;
            };
            let size = self.size(job);
            let extra = size.minus(&throttled_size(size, task));
            if !extra.fits(&free) {
                continue;
            }
            free = free.minus(&extra);
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
        push_batches(records, self.flags, |items| JobRecord::SetUnplaceable {
            items,
        });
        self.plan
    }
}

/// Returns the urgency class in which a job is placed. An overnight job whose latest start is near is placed like a
/// normal one.
fn effective_urgency(now: LogTime, job: &Job, run_time: Millis) -> Urgency {
    let run_time_with_margin = Millis(run_time.0.saturating_add(run_time.0 / 4));
    let promotion_time = job.spec.deadline - run_time_with_margin - OVERNIGHT_PROMOTION_MARGIN;
    match job.spec.urgency {
        Urgency::Overnight if now >= promotion_time => Urgency::Normal,
        urgency => urgency,
    }
}
