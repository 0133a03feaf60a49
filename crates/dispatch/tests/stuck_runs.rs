//! Guards against runs that hold their capacity without progress, and against the stop of runs of which the owner only
//! heard nothing for a while.

mod fleet;

use {
    fleet::{TestFleet, empty_response, listed_run, step},
    goldcreststall_dispatch::{
        owner::{OwnerCommand, StartCommand, StartResponse},
        runners::{HoldResponse, ListedRun},
    },
};

/// Longest silence in milliseconds after which the lease of the run certainly holds, in rounds of 100 ms.
const SILENT_ROUNDS: u32 = 28;

fn list(fleet: &TestFleet, start: &StartCommand, percent: u32) -> HoldResponse {
    let mut response = empty_response(fleet.clock());
    response.running.push(ListedRun {
        percent,
        ..listed_run(start)
    });
    response
}

/// Responds to hold calls for `rounds` of 100 ms with a list in which the run has done `percent`.
fn list_rounds(fleet: &mut TestFleet, rounds: u32, start: &StartCommand, percent: u32) {
    for _ in 0..rounds {
        fleet.advance(100);
        let response = list(fleet, start, percent);
        fleet.answer_holds(|_| Some(response.clone()));
    }
}

/// Returns a run that has made some progress.
fn running() -> (TestFleet, StartCommand) {
    let (mut fleet, mut starts) = TestFleet::with_work(&["r1"], vec![step(1, 1_000)]);
    let start = starts.remove(0);
    list_rounds(&mut fleet, 5, &start, 40);
    (fleet, start)
}

fn has_stop(fleet: &TestFleet) -> bool {
    let is_stop = |command: &OwnerCommand| matches!(command, OwnerCommand::Stop(_));
    fleet.commands.iter().any(is_stop)
}

#[test]
fn stuck_is_stopped() {
    let (mut fleet, start) = running();
    list_rounds(&mut fleet, 15, &start, 40);
    assert!(!has_stop(&fleet));
    list_rounds(&mut fleet, 15, &start, 40);
    assert!(has_stop(&fleet), "a run without progress goes on");
}

/// The runner was frozen, so that its work made no progress, and goes on where it was.
#[test]
fn silent_runner() {
    let (mut fleet, start) = running();
    for _ in 0..SILENT_ROUNDS {
        fleet.advance(100);
        fleet.answer_holds(|_| None);
    }
    list_rounds(&mut fleet, 10, &start, 40);
    assert!(!has_stop(&fleet), "the work of a silent runner was stopped");
    list_rounds(&mut fleet, 30, &start, 40);
    assert!(has_stop(&fleet), "a run without progress goes on");
}

/// The owner was paused with a hold call in flight, whose response is as old as its pause.
#[test]
fn paused_owner() {
    let (mut fleet, start) = running();
    fleet.advance(10);
    let response = list(&fleet, &start, 40);
    fleet.advance(u64::from(SILENT_ROUNDS) * 100);
    fleet.answer_holds(|_| Some(response.clone()));
    list_rounds(&mut fleet, 10, &start, 40);
    assert!(
        !has_stop(&fleet),
        "work was stopped because the owner was paused"
    );
}

/// Hold calls get no response, but a start command does: the runner lives, and its lists are only missing.
#[test]
fn only_holds_fail() {
    let (mut fleet, start) = running();
    for round in 0..SILENT_ROUNDS {
        fleet.advance(100);
        fleet.answer_holds(|_| None);
        if round % 5 == 0 {
            let clock = fleet.clock();
            let begun = StartResponse::Begun(clock);
            fleet.owner.start_answered(&start, begun, fleet.now);
        }
    }
    assert!(!has_stop(&fleet), "work was stopped although no list came");
}
