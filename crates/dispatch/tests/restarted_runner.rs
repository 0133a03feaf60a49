//! Guards against lost ends of runs: a runner that restarts under the same id numbers its ends from the start, and must
//! not get the acknowledgements that were meant for its earlier instance.

mod fleet;

use {
    fleet::{TestFleet, empty_response, ended_run, step},
    goldcreststall_dispatch::{owner::OwnerCommand, runners::EndKind},
};

#[test]
fn no_old_acknowledgement() {
    let (mut fleet, starts) = TestFleet::with_work(&["r1"], vec![step(1, 1_000)]);
    fleet.advance(100);
    let mut response = empty_response(fleet.clock());
    response
        .ended
        .push(ended_run(40, &starts[0], EndKind::Done));
    fleet.answer_holds(|_| Some(response.clone()));
    // The end is stored and the next hold call would acknowledge it, but the runner restarts before.
    fleet.store();
    fleet.runners[0].started_ms += 1;
    fleet.list_runners();
    fleet.commands.clear();
    for _ in 0..10 {
        fleet.advance(100);
    }
    let acknowledgement = fleet
        .commands
        .iter()
        .find(|command| matches!(command, OwnerCommand::Hold { last_seen, .. } if *last_seen > 0));
    assert_eq!(acknowledgement, None);
}
