//! Guards against work that runs on although it is to stop, and against floods of stops, when a runner answers hold calls
//! but no stops.

mod fleet;

use {
    fleet::{TestFleet, empty_response, listed_run, step},
    goldcreststall_dispatch::{
        jobs::{ItemName, JobId},
        owner::{JobCall, OwnerCommand, StartCommand},
        runners::ListedRun,
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
