//! Guards against a flood beyond the capacity of the pool that makes all jobs late: started jobs must be finished in
//! time before new ones are started.

mod fleet;

use fleet::{TestFleet, empty_response, ended_run, job, step};
use goldcreststall_dispatch::{
    jobs::{JobId, StepSpec},
    runners::EndKind,
};

#[test]
fn started_first() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    let second = StepSpec {
        after: vec![0],
        ..step(1, 8_000)
    };
    fleet.submit(1, job(vec![step(1, 8_000), second.clone()]));
    fleet.store();
    fleet.advance(10);
    let starts = fleet.starts();
    fleet.accept_starts(&starts);
    // The second job can still be in time, but is not placed before the job that has started.
    fleet.submit(2, job(vec![step(1, 8_000)]));
    fleet.store();
    fleet.advance(1_000);
    let mut response = empty_response(fleet.clock());
    response.ended.push(ended_run(1, &starts[0], EndKind::Done));
    fleet.answer_holds(|_| Some(response.clone()));
    fleet.store();
    fleet.advance(10);
    let next = fleet.starts();
    assert_eq!(next[0].name.job, JobId(1));
    assert_eq!(next[0].name.step, 1);
}

#[test]
fn late_last() {
    let mut fleet = TestFleet::new(1, &[]);
    fleet.answer_first_holds();
    fleet.submit(1, job(vec![step(1, 8_000)]));
    fleet.store();
    fleet.advance(2_000);
    fleet.submit(2, job(vec![step(1, 8_000)]));
    fleet.store();
    fleet.runners.push(fleet::runner("r1"));
    fleet.list_runners();
    fleet.answer_first_holds();
    fleet.advance(10);
    let starts = fleet.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(
        starts[0].name.job,
        JobId(2),
        "a job that is late anyway got the free capacity"
    );
}
