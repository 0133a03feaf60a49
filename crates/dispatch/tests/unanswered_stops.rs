//! Guards against work that runs on although it is to stop, and against floods of stops, when a runner answers hold calls
//! but no stops.

mod fleet;

use {
    fleet::{TestFleet, empty_response, ended_run, listed_run, step},
    goldcreststall_dispatch::{
        jobs::{ItemName, JobId},
        owner::{JobCall, OwnerCommand, StartCommand},
        runners::{EndKind, ListedRun, max_lapse_delay},
    },
};

/// Responds to hold calls for `rounds` of 100 ms with lists of the runs of `starts`. Returns how many calls would have
/// extended the lease.
fn extensions(fleet: &mut TestFleet, rounds: u64, starts: &[StartCommand]) -> usize {
    let mut extensions = 0;
    for _ in 0..rounds {
        fleet.advance(100);
        let extends = |command: &&OwnerCommand| {
            matches!(
                command,
                OwnerCommand::Hold {
                    deadline_ms: Some(_),
                    ..
                }
            )
        };
        extensions += fleet.commands.iter().filter(extends).count();
        let mut response = empty_response(fleet.clock());
        response.running = starts.iter().map(listed_run).collect();
        fleet.answer_holds(|_| Some(response.clone()));
    }
    extensions
}

fn stops_of(fleet: &TestFleet, name: ItemName) -> usize {
    let is_stop =
        |command: &&OwnerCommand| matches!(command, OwnerCommand::Stop(stop) if stop.name == name);
    fleet.commands.iter().filter(is_stop).count()
}

/// All work of the runner belongs to a cancelled job. It ends with its lease at the latest.
#[test]
fn lease_is_not_extended() {
    let (mut fleet, starts) = TestFleet::with_work(&["r1"], vec![step(2, 1_000)]);
    assert!(extensions(&mut fleet, 5, &starts) > 0);
    fleet.call(2, JobCall::Cancel(JobId(1)));
    fleet.store();
    // The call in flight was sent before the cancellation.
    extensions(&mut fleet, 1, &starts);
    let rounds = max_lapse_delay().0 / 100;
    assert_eq!(
        extensions(&mut fleet, rounds, &starts),
        0,
        "the lease of work that is to stop was extended"
    );
    fleet.advance(100);
    let mut response = empty_response(fleet.clock());
    for (number, start) in (1..).zip(&starts) {
        response
            .ended
            .push(ended_run(number, start, EndKind::Lapsed));
    }
    fleet.answer_holds(|_| Some(response.clone()));
    fleet.store();
    assert_eq!(fleet.submit_work(3, vec![step(8, 1_000)]).len(), 8);
}

/// Other work of the runner is wanted, and keeps its lease.
#[test]
fn wanted_work_keeps_its_lease() {
    let (mut fleet, mut starts) = TestFleet::with_work(&["r1"], vec![step(2, 1_000)]);
    starts.extend(fleet.start_work(2, vec![step(1, 1_000)]));
    fleet.call(3, JobCall::Cancel(JobId(1)));
    fleet.store();
    extensions(&mut fleet, 1, &starts);
    assert!(extensions(&mut fleet, 10, &starts) >= 9);
}

/// Cancels job 1 and responds to hold calls for `rounds` of 100 ms, in which the run of `start` makes progress. Returns how
/// often it was told to stop.
fn stops_of_cancelled(fleet: &mut TestFleet, rounds: u32, start: &StartCommand) -> usize {
    fleet.call(2, JobCall::Cancel(JobId(1)));
    fleet.store();
    for percent in 1..=rounds {
        fleet.advance(100);
        let mut response = empty_response(fleet.clock());
        response.running.push(ListedRun {
            percent,
            ..listed_run(start)
        });
        fleet.answer_holds(|_| Some(response.clone()));
    }
    stops_of(fleet, start.name)
}

/// The progress of a run must not keep its lost stop from being repeated.
#[test]
fn lost_stop_is_repeated() {
    let (mut fleet, starts) = TestFleet::with_work(&["r1"], vec![step(1, 1_000)]);
    let stops = stops_of_cancelled(&mut fleet, 20, &starts[0]);
    assert!((3..=4).contains(&stops), "{stops} stops within 2 s");
}

/// A run that has made no progress for long is not told twice at once.
#[test]
fn first_stop_is_not_doubled() {
    let (mut fleet, starts) = TestFleet::with_work(&["r1"], vec![step(1, 1_000)]);
    extensions(&mut fleet, 15, &starts);
    assert_eq!(stops_of_cancelled(&mut fleet, 5, &starts[0]), 1);
}

/// A run of a job that is not known is listed by each response until its stop has taken effect.
#[test]
fn few_stops_of_unknown_run() {
    let (mut fleet, starts) = TestFleet::with_work(&["r1"], vec![step(1, 1_000)]);
    let unknown = StartCommand {
        name: ItemName::try_from("00000000000000ff.0.0.0").expect("a name"),
        ..starts[0].clone()
    };
    let listed = [starts[0].clone(), unknown.clone()];
    extensions(&mut fleet, 20, &listed);
    let stops = stops_of(&fleet, unknown.name);
    assert!((2..=5).contains(&stops), "{stops} stops within 2 s");
}
