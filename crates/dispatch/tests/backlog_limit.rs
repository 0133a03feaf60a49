//! Answers a flood that lasts: a job whose turn would come long after it is of use is refused at once, and the caller
//! is told when to come back; work that lasts is always taken.

mod fleet;

use {
    fleet::{TestFleet, job, step},
    goldcreststall_dispatch::{jobs::StepSpec, owner::CallResponse},
};

#[test]
fn long_backlog() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.greet();
    for id in 1..=400 {
        fleet.submit(id, job(vec![step(20, 1_000)]));
    }
    fleet.store();
    fleet.pass(200);
    fleet.submit(1_000, job(vec![step(1, 1_000)]));
    fleet.pass(1);
    assert!(matches!(fleet.reply(1_000), Some(CallResponse::Busy(after)) if after.0 > 0));
    let lasting = StepSpec {
        long_running: true,
        ..step(1, 1_000)
    };
    fleet.submit(1_001, job(vec![lasting]));
    fleet.store();
    assert_eq!(fleet.reply(1_001), Some(CallResponse::Accepted));
}

#[test]
fn short_backlog() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.greet();
    for id in 1..=20 {
        fleet.submit(id, job(vec![step(20, 1_000)]));
    }
    fleet.store();
    fleet.pass(200);
    fleet.submit(1_000, job(vec![step(1, 1_000)]));
    fleet.store();
    assert_eq!(fleet.reply(1_000), Some(CallResponse::Accepted));
}
