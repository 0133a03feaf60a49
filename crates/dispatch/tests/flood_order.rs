//! Answers the load of a flood beyond the pool's room: jobs that were begun are finished in time before others are
//! begun, instead of all being late together.

mod fleet;

use fleet::{TestFleet, empty, ended, job, step};
use goldcreststall_dispatch::{
    jobs::{JobId, StepSpec},
    runners::EndKind,
};

#[test]
fn begun_first() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.greet();
    let second = StepSpec {
        after: vec![0],
        ..step(1, 8_000)
    };
    fleet.submit(1, job(vec![step(1, 8_000), second.clone()]));
    fleet.store();
    fleet.pass(10);
    let starts = fleet.starts();
    fleet.begin(&starts);
    // An older deadline that is still ahead does not go before work that was begun.
    fleet.submit(2, job(vec![step(1, 8_000)]));
    fleet.store();
    fleet.pass(1_000);
    let mut response = empty(fleet.clock());
    response.ended.push(ended(1, &starts[0], EndKind::Done));
    fleet.answer_holds(|_| Some(response.clone()));
    fleet.store();
    fleet.pass(10);
    let next = fleet.starts();
    assert_eq!(next[0].name.job, JobId(1));
    assert_eq!(next[0].name.step, 1);
}

#[test]
fn late_last() {
    let mut fleet = TestFleet::new(1, &[]);
    fleet.greet();
    fleet.submit(1, job(vec![step(1, 8_000)]));
    fleet.store();
    fleet.pass(2_000);
    fleet.submit(2, job(vec![step(1, 8_000)]));
    fleet.store();
    fleet.runners.push(fleet::runner("r1"));
    fleet.list_runners();
    fleet.greet();
    fleet.pass(10);
    let starts = fleet.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(
        starts[0].name.job,
        JobId(2),
        "room went to a job that is late anyway"
    );
}
