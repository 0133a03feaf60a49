use {
    crate::jobs::{JobState, WorkItem},
    goldcreststall_core::ids::LocalTime,
};

/// Part of its width that a job asks for when nobody waits for it any more, as a divisor.
const OVERDUE_DIVISOR: u64 = 4;

/// Processor time that a job asks for, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JobDemand {
    /// It can be in time, or lasts.
    pub in_time: u64,
    /// It is late already, or will be.
    pub late: u64,
}

/// Returns what a job's ready and running work items ask for.
pub fn job_demand(job: &JobState, now: LocalTime) -> JobDemand {
    if !job.accepted || job.phase.is_final() {
        return JobDemand::default();
    }
    let mut demand = JobDemand::default();
    let mut step: Option<(u32, u32)> = None;
    let (mut is_open, mut in_time) = (false, false);
    for item in job.items.iter().filter(|item| !item.done) {
        // Work items of a step follow each other.
        if step != Some((item.occurrence, item.step)) {
            step = Some((item.occurrence, item.step));
            is_open = job.step_is_open(item.occurrence, item.step);
            in_time = job.step_of(item).long_running || job.latest_start(item) >= now;
        }
        if item.runs.is_empty() && !is_open {
            continue;
        }
        let cpu = u64::from(job.step_of(item).counted_cpu());
        if in_time {
            demand.in_time += cpu;
        } else {
            demand.late += cpu;
        }
    }
    if now > job.useful_until() {
        demand.late /= OVERDUE_DIVISOR;
    }
    demand
}

/// Returns the work of a job that has not ended, in thousandths of a core times milliseconds; work that lasts does
/// not count.
pub fn work_left(job: &JobState) -> u64 {
    let passing = |item: &&WorkItem| !item.done && !job.step_of(item).long_running;
    let work = |item: &WorkItem| {
        let step = job.step_of(item);
        u64::from(step.counted_cpu()) * u64::from(step.estimate_ms)
    };
    job.items.iter().filter(passing).map(work).sum()
}
