//! Guards against memory that an owner keeps for each job that it ever had: a caller can submit and cancel hundreds a second.

use {
    goldcreststall_core::ids::LocalTime,
    goldcreststall_dispatch::jobs::{JobId, JobPhase, JobState, JobTable},
    std::fs,
};

const JOBS: u64 = 4_000_000;
/// Jobs that are kept for some time after their end.
const KEPT_JOBS: u64 = 1_000;
/// Bound on what the table holds more at the end than while it is filled first, in kB.
const MAX_GROWTH_KB: u64 = 4_096;

fn resident_kb() -> u64 {
    let text = fs::read_to_string("/proc/self/status").expect("a status");
    let line = text.lines().find(|line| line.starts_with("VmRSS"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Guards against a place for each removed job, for as long as the term lasts.
#[test]
fn removed_jobs() {
    let mut table = JobTable::default();
    let mut first_kb = 0;
    for number in 0..JOBS {
        table.insert(JobState::ended(
            JobId(number),
            JobPhase::Cancelled,
            LocalTime(number),
        ));
        if number >= KEPT_JOBS {
            let oldest = table.find(JobId(number - KEPT_JOBS)).expect("a kept job");
            assert!(table.remove(oldest).is_some());
            assert!(table.get(oldest).is_none());
        }
        if number == 2 * KEPT_JOBS {
            first_kb = resident_kb();
        }
    }
    assert_eq!(table.all().count(), KEPT_JOBS as usize);
    let growth_kb = resident_kb().saturating_sub(first_kb);
    assert!(growth_kb <= MAX_GROWTH_KB, "{growth_kb} kB more");
}
