//! Guards against the starvation of long-running work in a flood of small work items: a long-running work item with a
//! spread limit needs more free capacity at once than a small one leaves when it ends.

mod fleet;

use fleet::{TestFleet, empty_response, ended_run, job, step};
use goldcreststall_dispatch::{
    jobs::{JobId, StepSpec},
    owner::StartCommand,
    runners::{EndKind, HoldResponse},
};

#[test]
fn not_starved() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    let mut running = fleet.start_work(1, vec![step(40, 1_000)]);
    assert_eq!(running.len(), 8);
    let serving = StepSpec {
        long_running: true,
        anti_affinity: 1,
        ..step(1, 4_000)
    };
    fleet.submit(2, job(vec![serving]));
    fleet.store();
    let mut number = 0;
    for _ in 0..8 {
        fleet.advance(100);
        number += 1;
        let done = running.remove(0);
        let response = respond(&fleet, &running, number, &done);
        fleet.answer_holds(|_| Some(response.clone()));
        fleet.store();
        fleet.advance(10);
        let starts = fleet.starts();
        fleet.accept_starts(&starts);
        if starts.iter().any(|start| start.name.job == JobId(2)) {
            return;
        }
        running.extend(starts);
    }
    panic!("the serving work item did not start although all small ones were replaced");
}

fn respond(
    fleet: &TestFleet,
    running: &[StartCommand],
    number: u64,
    done: &StartCommand,
) -> HoldResponse {
    let mut response = empty_response(fleet.clock());
    response.running = running.iter().map(fleet::listed_run).collect();
    response.ended.push(ended_run(number, done, EndKind::Done));
    response
}
