//! Guards against room that is given away, or work that is started again, while a command without a response can
//! still be carried out.

mod fleet;

use {
    fleet::{TestFleet, empty, listed, step},
    goldcreststall_dispatch::{
        owner::{OwnerCommand, RunCommand, StartResponse},
        runners::longest_lapse,
    },
};

fn stops(fleet: &TestFleet) -> Vec<RunCommand> {
    let stop = |command: &OwnerCommand| match command {
        OwnerCommand::Stop(stop) => Some(*stop),
        _ => None,
    };
    fleet.commands.iter().filter_map(stop).collect()
}

#[test]
fn room_stays_taken() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.greet();
    let starts = fleet.submit_work(7, vec![step(2, 8_000)]);
    assert_eq!(starts.len(), 1);
    fleet
        .owner
        .start_answered(&starts[0], StartResponse::Unknown, fleet.now);
    fleet.pass(600);
    assert!(
        fleet.starts().is_empty(),
        "the room of an order without an answer was given away"
    );
    let stop = stops(&fleet)[0];
    assert_eq!((stop.name, stop.run), (starts[0].name, starts[0].run));
}

#[test]
fn void_after_stop() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.greet();
    let starts = fleet.submit_work(7, vec![step(1, 8_000)]);
    fleet
        .owner
        .start_answered(&starts[0], StartResponse::Unknown, fleet.now);
    fleet.pass(10);
    let stop = stops(&fleet)[0];
    let clock = fleet.clock();
    fleet.owner.stop_answered(&stop, Some(clock), fleet.now);
    // A list that was asked for before the acknowledgement proves nothing.
    fleet.answer_holds(|_| Some(empty(clock)));
    fleet.pass(1);
    assert!(fleet.starts().is_empty());
    fleet.pass(300);
    let clock = fleet.clock();
    fleet.answer_holds(|_| Some(empty(clock)));
    fleet.pass(10);
    let again = fleet.starts();
    assert_eq!(again.len(), 1);
    assert!(again[0].run > starts[0].run);
}

#[test]
fn lapse_waits() {
    let mut fleet = TestFleet::new(1, &["r1", "r2"]);
    fleet.greet();
    let starts = fleet.start_work(7, vec![step(1, 8_000)]);
    let end = fleet.now + longest_lapse();
    while fleet.now.0 + 200 < end.0 {
        fleet.pass(100);
        fleet.answer_holds(|_| None);
        assert!(
            fleet.starts().is_empty(),
            "work was started again within its lease"
        );
    }
    for _ in 0..10 {
        fleet.pass(100);
        fleet.answer_holds(|_| None);
    }
    // The other runner does not answer either, so that the work waits for one that does.
    fleet.pass(300);
    let clock = fleet.clock();
    let first = starts[0].runner;
    fleet.answer_holds(|runner| (runner != first).then(|| empty(clock)));
    fleet.pass(10);
    assert_eq!(fleet.starts().len(), 1);
}

#[test]
fn listed_is_running() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.greet();
    let starts = fleet.start_work(7, vec![step(1, 8_000)]);
    fleet.pass(100);
    let mut response = empty(fleet.clock());
    response.running.push(listed(&starts[0]));
    fleet.answer_holds(|_| Some(response.clone()));
    fleet.pass(100);
    assert!(stops(&fleet).is_empty());
    assert!(fleet.starts().is_empty());
}
