//! Guards against an owner that spends all of its time on passes over a few jobs with very many work items.

mod fleet;

use {
    fleet::{TestFleet, empty_response, ended_run, job, step},
    goldcreststall_dispatch::{
        jobs::StepSpec,
        owner::JobMemoryLimit,
        runners::{EndKind, HoldResponse},
    },
};

/// Processor time of a whole runner.
const WHOLE_RUNNER: u32 = 8_000;

fn fleet(limit: JobMemoryLimit) -> TestFleet {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.owner.limit_job_memory(limit);
    fleet.answer_first_holds();
    fleet
}

/// Guards against passes every few milliseconds: one over 20,000 work items takes that long itself.
#[test]
fn time_between_passes() {
    let mut fleet = fleet(JobMemoryLimit::derive(Some(256)));
    let waiting = StepSpec {
        estimate_ms: 1,
        ..step(20_000, WHOLE_RUNNER)
    };
    fleet.submit(1, job(vec![waiting]));
    fleet.store();
    fleet.advance(50);
    let starts = fleet.starts();
    assert_eq!(starts.len(), 1);
    fleet.accept_starts(&starts);
    let response = HoldResponse {
        ended: vec![ended_run(1, &starts[0], EndKind::Done)],
        ..empty_response(fleet.clock())
    };
    fleet.answer_holds(|_| Some(response.clone()));
    fleet.store();
    fleet.advance(10);
    assert!(fleet.starts().is_empty(), "two passes within 10 ms");
    fleet.advance(20);
    assert_eq!(fleet.starts().len(), 1);
}

/// Guards against long-running work that is left out because other work found no runner: a smaller one, or one that its step
/// does not keep from the runner.
#[test]
fn other_long_running_work() {
    let mut fleet = fleet(JobMemoryLimit::default());
    let long_running = |count, cpu, anti_affinity| StepSpec {
        anti_affinity,
        long_running: true,
        ..step(count, cpu)
    };
    fleet.submit(1, job(vec![long_running(3, WHOLE_RUNNER + 1, 0)]));
    fleet.submit(2, job(vec![long_running(3, 100, 1)]));
    fleet.submit(3, job(vec![long_running(3, 100, 0)]));
    fleet.store();
    fleet.advance(50);
    assert_eq!(fleet.starts().len(), 4);
}
