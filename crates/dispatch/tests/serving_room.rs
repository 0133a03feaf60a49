//! Answers the load of a flood of small work beside work that lasts: a lasting work item with a spread limit needs
//! more room at once than small ones leave, and must not starve.

mod fleet;

use fleet::{TestFleet, empty, ended, job, step};
use goldcreststall_dispatch::{
    jobs::{JobId, StepSpec},
    owner::StartCommand,
    runners::{EndKind, HoldResponse},
};

#[test]
fn not_starved() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.greet();
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
        fleet.pass(100);
        number += 1;
        let done = running.remove(0);
        let response = respond(&fleet, &running, number, &done);
        fleet.answer_holds(|_| Some(response.clone()));
        fleet.store();
        fleet.pass(10);
        let starts = fleet.starts();
        fleet.begin(&starts);
        if starts.iter().any(|start| start.name.job == JobId(2)) {
            return;
        }
        running.extend(starts);
    }
    panic!("the serving work item got no room in the time of a whole turnover");
}

fn respond(
    fleet: &TestFleet,
    running: &[StartCommand],
    number: u64,
    done: &StartCommand,
) -> HoldResponse {
    let mut response = empty(fleet.clock());
    response.running = running.iter().map(fleet::listed).collect();
    response.ended.push(ended(number, done, EndKind::Done));
    response
}
