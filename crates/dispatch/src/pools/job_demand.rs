use {
    crate::jobs::{JobState, WorkItem},
    goldcreststall_core::ids::LocalTime,
};

/// Time of a job that is kept for placing, starting and noticing ends, in milliseconds.
const OVERHEAD_MS: u64 = 250;
/// Part of its width that a job gets as demand when nobody waits for it any more, as a divisor.
const OVERDUE_DIVISOR: u64 = 4;
const FULL_PERCENT: u64 = 100;

/// Returns the processor time that a job needs now to be in time, in thousandths of a core: the work that is left
/// over the time that is left, at most what it can use at once. Work that lasts needs its room at all times.
pub fn job_demand(job: &JobState, now: LocalTime) -> u64 {
    if !job.accepted || job.phase.is_final() {
        return 0;
    }
    let (lasting, passing): (Vec<&WorkItem>, Vec<&WorkItem>) = job
        .items
        .iter()
        .filter(|item| !item.done)
        .partition(|item| job.step_of(item).long_running);
    let lasting: u64 = lasting.into_iter().map(|item| cpu_of(job, item)).sum();
    lasting + passing_demand(job, &passing, now)
}

fn cpu_of(job: &JobState, item: &WorkItem) -> u64 {
    u64::from(job.step_of(item).counted_cpu())
}

fn passing_demand(job: &JobState, items: &[&WorkItem], now: LocalTime) -> u64 {
    let Some(first) = items.first() else {
        return 0;
    };
    let open =
        |item: &&&WorkItem| !item.runs.is_empty() || job.step_is_open(item.occurrence, item.step);
    let width: u64 = items
        .iter()
        .filter(open)
        .map(|item| cpu_of(job, item))
        .sum();
    if now > job.useful_until() {
        return width / OVERDUE_DIVISOR;
    }
    let work: u64 = items.iter().map(|item| work_of(job, item)).sum();
    let chain = job.chain_from(first.occurrence, first.step).max(1);
    let left = (job.seen + job.objective()).since(now).0;
    let time = left.saturating_sub(OVERHEAD_MS).max(chain);
    (work / time).min(width)
}

/// Returns the work that is left of a work item, in thousandths of a core times milliseconds.
fn work_of(job: &JobState, item: &WorkItem) -> u64 {
    let estimate = u64::from(job.step_of(item).estimate_ms);
    let percent = item
        .runs
        .iter()
        .map(|booked| booked.percent)
        .max()
        .unwrap_or(0);
    let left = FULL_PERCENT.saturating_sub(u64::from(percent));
    cpu_of(job, item) * estimate * left / FULL_PERCENT
}
