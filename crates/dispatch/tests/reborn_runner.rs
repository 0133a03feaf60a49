//! Guards against ends that nobody sees: a runner that starts again under its id numbers them anew, and must not get
//! the acknowledgements of its former lifetime.

mod fleet;

use {
    fleet::{TestFleet, empty, ended, step},
    goldcreststall_dispatch::{owner::OwnerCommand, runners::EndKind},
};

#[test]
fn no_old_acknowledgement() {
    let (mut fleet, starts) = TestFleet::with_work(&["r1"], vec![step(1, 1_000)]);
    fleet.pass(100);
    let mut response = empty(fleet.clock());
    response.ended.push(ended(40, &starts[0], EndKind::Done));
    fleet.answer_holds(|_| Some(response.clone()));
    // The end is stored and would be acknowledged by the next call; the runner starts again before.
    fleet.store();
    fleet.runners[0].started_ms += 1;
    fleet.list_runners();
    fleet.commands.clear();
    for _ in 0..10 {
        fleet.pass(100);
    }
    let wrong = fleet
        .commands
        .iter()
        .find(|command| matches!(command, OwnerCommand::Hold { last_seen, .. } if *last_seen > 0));
    assert_eq!(wrong, None);
}
