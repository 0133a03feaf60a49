//! Guards against a pace that was lost and is never sent again: filling work goes on at full speed beside serving work
//! that is too slow.

mod fleet;

use {
    fleet::{TestFleet, empty_response, listed_run, step},
    goldcreststall_dispatch::{jobs::StepSpec, owner::OwnerCommand},
};

#[test]
fn sent_again_under_load() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    let serving = StepSpec {
        long_running: true,
        target_ms: 100,
        ..step(1, 1_000)
    };
    let filling = StepSpec {
        fills: true,
        ..step(1, 1_000)
    };
    let serving = fleet.start_work(7, vec![serving]);
    let filling = fleet.start_work(8, vec![filling]);
    let mut percent = 0;
    for _ in 0..30 {
        fleet.advance(100);
        percent += 1;
        let mut response = empty_response(fleet.clock());
        response.running = vec![listed_run(&serving[0]), listed_run(&filling[0])];
        response.running[0].load = 200;
        response.running[1].percent = percent;
        fleet.answer_holds(|_| Some(response.clone()));
    }
    fleet.advance(10);
    let paces = |command: &&OwnerCommand| matches!(command, OwnerCommand::Pace(_, 0));
    let sent = fleet.commands.iter().filter(paces).count();
    assert!(
        sent > 1,
        "{sent} command in 3 s to stop filling work beside serving work at twice its objective"
    );
}
