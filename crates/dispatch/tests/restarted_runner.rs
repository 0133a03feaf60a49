//! Guards against lost ends of runs and against work that runs twice when a runner restarts under the same id: it numbers
//! its ends from the start, and must not get the acknowledgements that were meant for its earlier instance, but it may
//! take a start that was.

mod fleet;

use {
    fleet::{TestFleet, empty_response, ended_run, listed_run, step},
    goldcreststall_dispatch::{
        owner::OwnerCommand,
        runners::{EndKind, HoldResponse},
    },
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

/// A runner has restarted under its id, and accepts a start that was meant for its earlier instance before the owner
/// knows of the restart.
#[test]
fn started_on_next_instance() {
    let mut fleet = TestFleet::new(1, &["r1", "r2"]);
    fleet.answer_first_holds();
    let starts = fleet.start_work(1, vec![step(1, 1_000)]);
    for _ in 0..5 {
        fleet.advance(100);
        let response = HoldResponse {
            started_ms: Some(2),
            running: vec![listed_run(&starts[0])],
            ..empty_response(100)
        };
        let clock = fleet.clock();
        fleet.answer_holds_by_id(|id| {
            Some(if id == "r1" {
                response.clone()
            } else {
                empty_response(clock)
            })
        });
        fleet.advance(10);
        assert_eq!(
            fleet.starts(),
            [],
            "work was started again beside the next instance that runs it"
        );
    }
    fleet.runners[0].started_ms = 2;
    fleet.list_runners();
    fleet.advance(100);
    assert_eq!(fleet.starts(), []);
}

/// A list of the ended instance arrives late. Its runs have ended with it, and must not keep their work from starting.
#[test]
fn late_list_of_ended_instance() {
    let (mut fleet, starts) = TestFleet::with_work(&["r1"], vec![step(1, 1_000)]);
    fleet.advance(100);
    fleet.runners[0].started_ms = 2;
    fleet.list_runners();
    let late = HoldResponse {
        started_ms: Some(1),
        running: vec![listed_run(&starts[0])],
        ..empty_response(fleet.clock())
    };
    fleet.answer_holds(|_| Some(late.clone()));
    fleet.advance(100);
    let clock = fleet.clock();
    fleet.answer_holds(|_| Some(empty_response(clock)));
    fleet.advance(10);
    assert_eq!(fleet.starts().len(), 1, "the work waits for an ended run");
}
