use {
    crate::{
        jobs::{JobState, WorkItem},
        organisations::ResourceUse,
        runners::Capacity,
    },
    goldcreststall_core::ids::LocalTime,
};

/// One in this many: the fraction of its demand that counts for a job that is no longer useful to its caller.
const OVERDUE_DIVISOR: u64 = 4;

/// Processor time that a job demands, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JobDemand {
    /// Demand of work items that are long-running or whose job can meet its latency objective.
    pub in_time: u64,
    /// Demand of work items whose job is late or will be.
    pub late: u64,
    /// Part of `in_time` and of `late` of work items without a run.
    pub waiting: (u64, u64),
    /// What these work items would use.
    pub waiting_use: ResourceUse,
}

impl JobDemand {
    /// Returns the demand with only `percent` of that of work items without a run.
    pub fn limited(&self, percent: u64) -> Self {
        let left_out = |waiting: u64| waiting - waiting.saturating_mul(percent) / 100;
        let (in_time, late) = self.waiting;
        Self {
            in_time: self.in_time - left_out(in_time),
            late: self.late - left_out(late),
            ..*self
        }
    }
}

/// Returns the demand of a job's ready and running work items. Those that need more than `largest`, the capacity of the
/// largest host, can run nowhere and are not counted.
pub fn job_demand(job: &JobState, largest: Capacity, now: LocalTime) -> JobDemand {
    if !job.accepted || job.phase.is_final() {
        return JobDemand::default();
    }
    let mut demand = JobDemand::default();
    let mut step: Option<(u32, u32)> = None;
    let (mut is_ready, mut in_time, mut can_run) = (false, false, false);
    for item in job.items.iter().filter(|item| !item.done) {
        // The work items of a step are adjacent.
        if step != Some((item.occurrence, item.step)) {
            step = Some((item.occurrence, item.step));
            is_ready = job.is_step_ready(item.occurrence, item.step);
            in_time = job.step_of(item).long_running || job.latest_start(item) >= now;
            can_run = largest.covers(&job.step_of(item).demand());
        }
        if item.runs.is_empty() && !(is_ready && can_run) {
            continue;
        }
        let cpu = u64::from(job.step_of(item).counted_cpu());
        let waiting_cpu = if item.runs.is_empty() { cpu } else { 0 };
        if in_time {
            demand.in_time += cpu;
            demand.waiting.0 += waiting_cpu;
        } else {
            demand.late += cpu;
            demand.waiting.1 += waiting_cpu;
        }
        if item.runs.is_empty() {
            let item_use = ResourceUse::of_step(job.step_of(item), 1);
            demand.waiting_use = demand.waiting_use.plus(&item_use);
        }
    }
    if now > job.useful_until() {
        demand.late /= OVERDUE_DIVISOR;
        demand.waiting.1 /= OVERDUE_DIVISOR;
    }
    demand
}

/// Returns the work that a job has left, in thousandths of a core times milliseconds. Long-running work does not
/// count, nor do work items that need more than `largest`, the capacity of the largest host: they can run nowhere and
/// delay no other work.
pub fn work_left(job: &JobState, largest: Capacity) -> u64 {
    let is_counted = |item: &&WorkItem| {
        let step = job.step_of(item);
        !item.done && !step.long_running && largest.covers(&step.demand())
    };
    let work = |item: &WorkItem| {
        let step = job.step_of(item);
        u64::from(step.counted_cpu()) * u64::from(step.estimate_ms)
    };
    let works = job.items.iter().filter(is_counted).map(work);
    // The product of two 32-bit numbers leaves no space for a sum.
    works.fold(0, u64::saturating_add)
}
