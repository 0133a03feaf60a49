use {
    super::OwnerState,
    crate::{
        jobs::{ItemKey, JobKey, JobState, RunPhase, WorkItem},
        runners::{Capacity, RunnerKey},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Multiple of the median duration of a step's finished work items from which on a run counts as slow.
const SLOW_FACTOR: u64 = 2;
/// Fewest finished work items of a step from which its median is known well enough.
const MIN_SAMPLES: usize = 3;
/// Shortest time for which a run must have lasted: starting a copy and noticing its end take a tenth of it.
const MIN_RUN_TIME: Millis = Millis(1_000);
/// One in this many: the fraction of the processor time in use in a pool that copies may use.
const COPY_DIVISOR: u64 = 10;
/// Most copies that are started in a round of decisions, which is every 100 ms.
const MAX_COPIES_PER_ROUND: usize = 8;
/// One in this many: the fraction of a pool that must stay free for work that arrives.
const FREE_DIVISOR: u64 = 5;

/// A run that is slow, and what a copy of it needs.
#[derive(Clone, Copy, Debug)]
struct SlowRun {
    item: ItemKey,
    runner: RunnerKey,
    demand: Capacity,
    lasted: Millis,
    median: Millis,
}

/// Processor time of a pool, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default)]
struct PoolUse {
    capacity: u64,
    used: u64,
    copies: u64,
}

impl OwnerState {
    /// Starts second runs of slow work items of steps that allow it, on free capacity that no other work waits for. The
    /// first run to end as done counts, and the other one is then stopped. `full` are the services in which work waits, and
    /// `reserved` the runners that get no other work.
    pub(super) fn start_copies(&mut self, full: &[&str], reserved: &[RunnerKey], now: LocalTime) {
        let mut slow = Vec::new();
        for key in self.jobs.unfinished() {
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            let is_asked = job.spec.steps.iter().any(|step| step.speculative);
            let is_live = !job.phase.is_final() && !job.unconfirmed && job.has_text;
            if is_asked && is_live && !full.contains(&job.queue.service.as_str()) {
                collect_slow(*key, job, now, &mut slow);
            }
        }
        // The slowest first, in multiples of its median.
        slow.sort_by_key(|run| std::cmp::Reverse(run.lasted.0 * 100 / run.median.0.max(1)));
        slow.truncate(MAX_COPIES_PER_ROUND);
        for run in slow {
            self.start_copy(run, reserved, now);
        }
    }

    fn start_copy(&mut self, run: SlowRun, reserved: &[RunnerKey], now: LocalTime) {
        let Some((job, _)) = self.jobs.item(run.item) else {
            return;
        };
        let service = job.queue.service.clone();
        let pool = self.pool_use(&service, now);
        let cpu = u64::from(run.demand.cpu);
        let is_bounded = (pool.copies + cpu) * COPY_DIVISOR <= pool.used;
        let is_free = pool.used + cpu + pool.capacity / FREE_DIVISOR <= pool.capacity;
        let (organisation, quota_demand) = self.quota_demand(run.item);
        let is_allowed = self.organisations.allows(organisation, &quota_demand);
        if !is_bounded || !is_free || !is_allowed || !self.start_budget.is_available() {
            return;
        }
        let runners = self.runners.all().filter(|(runner, state)| {
            *runner != run.runner
                && !reserved.contains(runner)
                && state.report.service == service
                && state.accepts_work(now)
                && !state.due
                && state.free().covers(&run.demand)
                && self.is_eligible(run.item, *runner, run.demand, now)
        });
        let emptiest = runners.min_by_key(|(_, state)| state.used.cpu);
        let Some((runner, state)) = emptiest else {
            return;
        };
        let detail = format!(
            "runner={} running_ms={} median_ms={}",
            state.report.id, run.lasted.0, run.median.0
        );
        let name = job.item_name(run.item.item).to_string();
        self.log_event("copy of a slow run", name, detail);
        self.issue_start(run.item, runner, now);
    }

    fn pool_use(&self, service: &str, now: LocalTime) -> PoolUse {
        let mut pool = PoolUse::default();
        for (_, state) in self.runners.all() {
            if state.report.service != service || !state.accepts_work(now) {
                continue;
            }
            pool.capacity += u64::from(state.report.capacity.cpu);
            pool.used += u64::from(state.used.cpu);
        }
        for key in self.jobs.unfinished() {
            let job = self.jobs.get(*key);
            let Some(job) = job.filter(|job| job.queue.service == service) else {
                continue;
            };
            if job.spec.steps.iter().any(|step| step.speculative) {
                let copies = job.items.iter().filter(|item| item.runs.len() > 1);
                let cpu = copies.map(|item| u64::from(job.step_of(item).demand().cpu));
                pool.copies += cpu.sum::<u64>();
            }
        }
        pool
    }
}

/// Adds the slow runs of a job whose work items have no copy yet.
fn collect_slow(key: JobKey, job: &JobState, now: LocalTime, slow: &mut Vec<SlowRun>) {
    // The work items of a step are adjacent.
    let mut step: Option<(u32, u32)> = None;
    let mut median = None;
    for (number, item) in (0_u32..).zip(&job.items) {
        let Some((runner, lasted)) = lasting_run(job, item, now) else {
            continue;
        };
        let current = (item.occurrence, item.step);
        if step != Some(current) {
            step = Some(current);
            median = median_time(job.step_items(item.occurrence, item.step));
        }
        if let Some(median) = median.filter(|median| lasted.0 >= SLOW_FACTOR * median.0) {
            slow.push(SlowRun {
                item: ItemKey {
                    job: key,
                    item: number,
                },
                runner,
                demand: job.step_of(item).demand(),
                lasted,
                median,
            });
        }
    }
}

/// Returns the runner of the only run of a work item that may have a copy, and how long it has lasted.
fn lasting_run(job: &JobState, item: &WorkItem, now: LocalTime) -> Option<(RunnerKey, Millis)> {
    let step = job.step_of(item);
    let is_allowed = step.speculative && !step.gang && !step.long_running && !step.fills;
    // A copy that fails counts as an attempt; it must not be the one that ends the job.
    let has_attempts = item.failed_runs.len() + 1 < job.queue.attempts as usize;
    let [run] = item.runs.as_slice() else {
        return None;
    };
    let RunPhase::Running { since } = run.phase else {
        return None;
    };
    let lasted = now.since(since);
    let is_due = is_allowed && has_attempts && !item.done && lasted >= MIN_RUN_TIME;
    is_due.then_some((run.runner, lasted))
}

fn median_time(items: &[WorkItem]) -> Option<Millis> {
    let mut times: Vec<Millis> = items.iter().filter_map(|item| item.run_time).collect();
    times.sort_unstable();
    let median = times.get(times.len() / 2).copied();
    median.filter(|_| times.len() >= MIN_SAMPLES)
}
