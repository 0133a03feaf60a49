//! Guards against a runner whose start commands get no response, and that gets them again and again.

mod fleet;

use {
    fleet::{TestFleet, empty_response, step},
    goldcreststall_dispatch::{
        owner::{OwnerCommand, StartCommand, StartResponse},
        runners::RunnerKey,
    },
};

/// Time over which commands are counted.
const PERIOD_MS: u64 = 3_000;
const STEP_MS: u64 = 10;

/// Lets `silent` answer hold calls and stops, but no start, for [`PERIOD_MS`]; returns the start commands. The other
/// runners accept their starts.
fn play(fleet: &mut TestFleet, silent: RunnerKey, first: &[StartCommand]) -> Vec<StartCommand> {
    let mut starts = first.to_vec();
    let mut unanswered = first.to_vec();
    for _ in 0..PERIOD_MS / STEP_MS {
        for start in unanswered {
            let response = if start.runner == silent {
                StartResponse::Unknown
            } else {
                StartResponse::Begun(fleet.clock())
            };
            fleet.owner.start_answered(&start, response, fleet.now);
        }
        fleet.advance(STEP_MS);
        let clock = fleet.clock();
        for command in std::mem::take(&mut fleet.commands) {
            match command {
                OwnerCommand::Stop(stop) => {
                    fleet.owner.stop_answered(&stop, Some(clock), fleet.now);
                }
                command => fleet.commands.push(command),
            }
        }
        fleet.advance(STEP_MS);
        let clock = fleet.clock();
        fleet.answer_holds(|_| Some(empty_response(clock)));
        unanswered = fleet.starts();
        starts.extend(unanswered.iter().cloned());
    }
    starts
}

/// Guards against starts that are sent every few milliseconds to the only runner there is.
#[test]
fn delay_grows() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    let first = fleet.submit_work(7, vec![step(1, 4_000)]);
    let silent = first[0].runner;
    let starts = play(&mut fleet, silent, &first);
    assert!(
        (2..=8).contains(&starts.len()),
        "{} start commands in {PERIOD_MS} ms to a runner that answers none",
        starts.len()
    );
}

/// Guards against work that is placed on the same runner for good while another one has room.
#[test]
fn another_runner() {
    let mut fleet = TestFleet::new(1, &["r1", "r2"]);
    fleet.answer_first_holds();
    let first = fleet.submit_work(7, vec![step(1, 4_000)]);
    let silent = first[0].runner;
    let starts = play(&mut fleet, silent, &first);
    let second = starts.get(1).expect("a second start");
    assert_ne!(
        second.runner, silent,
        "the work went to the silent runner again"
    );
}

/// Lets the start commands get no response and their stops an acknowledgement; no run is listed.
fn lose_starts(fleet: &mut TestFleet, starts: &[StartCommand]) {
    for start in starts {
        fleet
            .owner
            .start_answered(start, StartResponse::Unknown, fleet.now);
    }
    end_stopped_runs(fleet);
}

/// Acknowledges all stops, and answers the next hold calls with empty lists.
fn end_stopped_runs(fleet: &mut TestFleet) {
    fleet.advance(STEP_MS);
    let clock = fleet.clock();
    for command in std::mem::take(&mut fleet.commands) {
        match command {
            OwnerCommand::Stop(stop) => fleet.owner.stop_answered(&stop, Some(clock), fleet.now),
            command => fleet.commands.push(command),
        }
    }
    fleet.answer_holds(|_| Some(empty_response(clock)));
    fleet.advance(STEP_MS);
    fleet.answer_holds(|_| Some(empty_response(clock + STEP_MS)));
}

/// Advances by `period_ms`; returns the start commands of that time.
fn starts_within(fleet: &mut TestFleet, period_ms: u64) -> Vec<StartCommand> {
    let mut starts = Vec::new();
    for _ in 0..period_ms / STEP_MS {
        fleet.advance(STEP_MS);
        let clock = fleet.clock();
        fleet.answer_holds(|_| Some(empty_response(clock)));
        starts.extend(fleet.starts());
    }
    starts
}

/// Guards against a pool that gets no work for seconds because one lost delegate, or one reset of connections, took the
/// responses to several starts that were in flight together: that is one failure, and no row of them.
#[test]
fn lost_together() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    let starts = fleet.submit_work(7, vec![step(4, 1_000)]);
    assert_eq!(starts.len(), 4);
    lose_starts(&mut fleet, &starts);
    let again = starts_within(&mut fleet, 700);
    assert_eq!(
        again.len(),
        4,
        "the only runner got no work for 700 ms after one failure"
    );
}

/// Guards against a refusal that ends the longer delay which starts without a response have caused.
#[test]
fn refusal_keeps_delay() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    let mut starts = fleet.submit_work(7, vec![step(1, 4_000)]);
    // Each is longer than the delay before it: 250, 500 and 1,000 ms.
    for period_ms in [400, 800, 1_600] {
        lose_starts(&mut fleet, &starts);
        starts = starts_within(&mut fleet, period_ms);
        assert_eq!(starts.len(), 1, "within {period_ms} ms");
    }
    // Two are in flight: the first gets no response (2,000 ms), the second could not be sent.
    let second = fleet.submit_work(8, vec![step(1, 4_000)]);
    assert_eq!(second.len(), 1);
    lose_starts(&mut fleet, &starts);
    fleet
        .owner
        .start_answered(&second[0], StartResponse::NotSent, fleet.now);
    let early = starts_within(&mut fleet, 1_500);
    assert!(
        early.is_empty(),
        "a start was sent before the delay of 2,000 ms had passed"
    );
}
