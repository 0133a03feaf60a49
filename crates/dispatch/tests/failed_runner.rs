//! Guards against work that is never started again after a failure: it avoids the runner where it has failed, but must come
//! back to it when no other runner can take it.

mod fleet;

use {
    fleet::{POOL, TestFleet, empty_response, ended_run, listed_run, runner, step},
    goldcreststall_dispatch::{
        jobs::StepSpec,
        owner::StartCommand,
        runners::{EndKind, HoldResponse, ListedRun, RunnerReport},
    },
};

/// Time in milliseconds after which work that can run has to run again.
const MAX_WAIT_MS: u64 = 3_000;

fn fleet_of(reports: Vec<RunnerReport>) -> TestFleet {
    let mut fleet = TestFleet::new(1, &[]);
    fleet.runners = reports;
    fleet.list_runners();
    fleet.answer_first_holds();
    fleet
}

/// Lets a run fail while `others` go on; returns what of it starts again within [`MAX_WAIT_MS`].
fn fail(
    fleet: &mut TestFleet,
    failed: &StartCommand,
    others: &[StartCommand],
) -> Vec<StartCommand> {
    end_runs(fleet, 1, &[(failed, EndKind::Failed)], others)
}

/// Lets runs end, all with one number in the lists of their runners, while `others` go on; returns what of them starts again
/// within [`MAX_WAIT_MS`].
fn end_runs(
    fleet: &mut TestFleet,
    number: u64,
    ends: &[(&StartCommand, EndKind)],
    others: &[StartCommand],
) -> Vec<StartCommand> {
    let mut starts = Vec::new();
    for round in 0..MAX_WAIT_MS as u32 / 100 {
        fleet.advance(100);
        let clock = fleet.clock();
        fleet.answer_holds(|runner| {
            let here = others.iter().filter(|start| start.runner == runner);
            Some(HoldResponse {
                running: here.map(|start| progressing(start, round)).collect(),
                ended: ends
                    .iter()
                    .filter(|(start, _)| start.runner == runner)
                    .map(|(start, kind)| ended_run(number, start, *kind))
                    .collect(),
                ..empty_response(clock)
            })
        });
        fleet.store();
        fleet.advance(10);
        let is_again =
            |start: &StartCommand| ends.iter().any(|(failed, _)| failed.name == start.name);
        starts.extend(fleet.starts().into_iter().filter(is_again));
        if !starts.is_empty() {
            break;
        }
    }
    starts
}

/// Lists a run that is not stuck.
fn progressing(start: &StartCommand, percent: u32) -> ListedRun {
    ListedRun {
        percent,
        ..listed_run(start)
    }
}

fn labelled() -> StepSpec {
    StepSpec {
        required_label: Some("fast".to_owned()),
        ..step(1, 1_000)
    }
}

fn with_label(id: &str) -> RunnerReport {
    RunnerReport {
        labels: vec!["fast".to_owned()],
        ..runner(id)
    }
}

/// Guards against a work item that waits for ever because the only runner with its label has failed it once.
#[test]
fn only_label() {
    for long_running in [false, true] {
        let mut fleet = fleet_of(vec![with_label("r1"), runner("r2"), runner("r3")]);
        let work = StepSpec {
            long_running,
            ..labelled()
        };
        let start = fleet.start_work(1, vec![work]).remove(0);
        let again = fail(&mut fleet, &start, &[]);
        assert_eq!(again.len(), 1, "long_running={long_running}");
        assert_eq!(again[0].runner, start.runner);
    }
}

/// Guards against the same wait when only one runner is large enough.
#[test]
fn only_size() {
    let mut small = runner("r2");
    small.capacity.cpu = 2_000;
    let mut fleet = fleet_of(vec![runner("r1"), small]);
    let start = fleet.start_work(1, vec![step(1, 4_000)]).remove(0);
    assert_eq!(fail(&mut fleet, &start, &[]).len(), 1);
}

/// Guards against the same wait when the step's other work items are on all other runners.
#[test]
fn only_spread() {
    let mut fleet = fleet_of(vec![runner("r1"), runner("r2"), runner("r3")]);
    let spread = StepSpec {
        long_running: true,
        anti_affinity: 1,
        ..step(3, 1_000)
    };
    let starts = fleet.start_work(1, vec![spread]);
    assert_eq!(starts.len(), 3);
    assert_eq!(fail(&mut fleet, &starts[0], &starts[1..]).len(), 1);
}

/// Guards against the same wait when the other runners are full of work that does not end.
#[test]
fn only_room() {
    let mut fleet = fleet_of(vec![runner("r1"), runner("r2")]);
    let large = StepSpec {
        long_running: true,
        ..step(1, 8_000)
    };
    let occupied = fleet.start_work(1, vec![large]);
    let start = fleet.start_work(2, vec![step(1, 1_000)]).remove(0);
    assert_eq!(fail(&mut fleet, &start, &occupied).len(), 1);
}

/// Guards against the same wait when the other runners are full of work that ends late.
#[test]
fn others_are_busy() {
    let mut fleet = fleet_of(vec![runner("r1"), runner("r2")]);
    let occupied = fleet.start_work(1, vec![step(1, 8_000)]);
    let start = fleet.start_work(2, vec![step(1, 1_000)]).remove(0);
    assert_eq!(fail(&mut fleet, &start, &occupied).len(), 1);
}

/// Guards against a gang that waits for ever because all of its members have failed on a runner that it needs.
#[test]
fn gang_needs_all_runners() {
    let mut fleet = fleet_of(vec![runner("r1"), runner("r2")]);
    let gang = StepSpec {
        gang: true,
        anti_affinity: 1,
        ..step(2, 1_000)
    };
    let mut starts = fleet.start_work(1, vec![gang]);
    let failing = starts[0].runner;
    for number in 1..=2 {
        fleet.accept_starts(&starts);
        assert_eq!(starts.len(), 2, "the gang did not start again");
        let kind = |start: &StartCommand| match start.runner == failing {
            true => EndKind::Failed,
            false => EndKind::Broken,
        };
        let members = starts.clone();
        let ends: Vec<_> = members.iter().map(|start| (start, kind(start))).collect();
        starts = end_runs(&mut fleet, number, &ends, &[]);
    }
    assert_eq!(starts.len(), 2, "the gang did not start again");
}

/// Guards against a second failure on a runner that fails its work, while another one has free capacity.
#[test]
fn other_runner_first() {
    let mut fleet = fleet_of(vec![runner("r1"), runner("r2")]);
    let start = fleet.start_work(1, vec![step(1, 1_000)]).remove(0);
    let again = fail(&mut fleet, &start, &[]);
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].runner, start.runner);
    assert_eq!(
        fleet
            .owner
            .runner_report(again[0].runner)
            .map(|report| report.service.as_str()),
        Some(POOL)
    );
}
