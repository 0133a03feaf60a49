//! Guards against a backlog without bound in a long flood: a job that would be placed long after it is useful must be
//! refused immediately, with the time after which to retry. Long-running work is always accepted.

mod fleet;

use {
    fleet::{TestFleet, job, step},
    goldcreststall_dispatch::{jobs::StepSpec, owner::CallResponse},
};

#[test]
fn long_backlog() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    for id in 1..=400 {
        fleet.submit(id, job(vec![step(20, 1_000)]));
    }
    fleet.store();
    fleet.advance(200);
    fleet.submit(1_000, job(vec![step(1, 1_000)]));
    fleet.advance(1);
    assert!(
        matches!(fleet.reply(1_000), Some(CallResponse::Busy(retry_after)) if retry_after.0 > 0)
    );
    let long_running = StepSpec {
        long_running: true,
        ..step(1, 1_000)
    };
    fleet.submit(1_001, job(vec![long_running]));
    fleet.store();
    assert_eq!(fleet.reply(1_001), Some(CallResponse::Accepted));
}

#[test]
fn short_backlog() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    for id in 1..=20 {
        fleet.submit(id, job(vec![step(20, 1_000)]));
    }
    fleet.store();
    fleet.advance(200);
    fleet.submit(1_000, job(vec![step(1, 1_000)]));
    fleet.store();
    assert_eq!(fleet.reply(1_000), Some(CallResponse::Accepted));
}
