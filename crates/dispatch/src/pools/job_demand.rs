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
    let wants = |item: &&WorkItem| {
        !item.done && (!item.runs.is_empty() || job.step_is_open(item.occurrence, item.step))
    };
    let mut demand = JobDemand::default();
    for item in job.items.iter().filter(wants) {
        let cpu = u64::from(job.step_of(item).counted_cpu());
        if job.step_of(item).long_running || job.latest_start(item) >= now {
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
