//! Guards against work that starts far from its data although capacity there is free soon, and against waits for capacity
//! that takes no work.

mod fleet;

use {
    fleet::{MAINTENANCE, TestFleet, empty_response, ended_run, host, listed_run, step},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::StepSpec,
        owner::{StartCommand, WaveRequest},
        runners::{EndKind, ListedRun},
    },
};

fn near_data(cpu: u32) -> StepSpec {
    StepSpec {
        data_rack: Some("a".to_owned()),
        ..step(1, cpu)
    }
}

/// Returns an owner of a runner `r1` in rack a and `r2` in rack b, and a run that fills the first one.
fn full_rack(far_percent: u32) -> (TestFleet, Vec<StartCommand>) {
    let mut fleet = TestFleet::new(1, &["r1", "r2"]);
    for (runner, rack) in fleet.runners.iter_mut().zip(["a", "b"]) {
        runner.rack = Some(rack.to_owned());
        runner.labels.push(rack.to_owned());
    }
    fleet.owner.set_far_percent(far_percent);
    fleet.list_runners();
    fleet.answer_first_holds();
    let first = fleet.start_work(1, vec![near_data(8_000)]);
    assert_eq!(runner_ids(&fleet, &first), ["r1"]);
    (fleet, first)
}

fn runner_ids(fleet: &TestFleet, starts: &[StartCommand]) -> Vec<String> {
    let id = |start: &StartCommand| Some(fleet.owner.runner_address(start.runner)?.0.to_owned());
    starts.iter().filter_map(id).collect()
}

/// Answers hold calls every 50 ms with the runs listed at `percent`; returns the runners of new starts.
fn run_for(
    fleet: &mut TestFleet,
    runs: &[StartCommand],
    percent: impl Fn(u64) -> u32,
    millis: u64,
) -> Vec<String> {
    let begin = fleet.now;
    let mut own_starts = Vec::new();
    while fleet.now.since(begin) < Millis(millis) {
        fleet.advance(50);
        let clock = fleet.clock();
        let share = percent(fleet.now.since(begin).0);
        fleet.answer_holds(|runner| {
            let mut response = empty_response(clock);
            let known = runs.iter().chain(&own_starts);
            response.running = known
                .filter(|run| run.runner == runner)
                .map(|run| ListedRun {
                    percent: share,
                    ..listed_run(run)
                })
                .collect();
            Some(response)
        });
        fleet.store();
        let starts = fleet.starts();
        fleet.accept_starts(&starts);
        own_starts.extend(starts);
    }
    runner_ids(fleet, &own_starts)
}

fn progress(elapsed: u64) -> u32 {
    (elapsed / 10).min(99) as u32
}

/// Guards against a start far from the data shortly before capacity near them is free.
#[test]
fn wait_pays() {
    let (mut fleet, first) = full_rack(300);
    assert!(fleet.submit_work(2, vec![near_data(8_000)]).is_empty());
    assert!(run_for(&mut fleet, &first, progress, 900).is_empty());
    fleet.advance(50);
    let clock = fleet.clock();
    fleet.answer_holds(|runner| {
        let mut response = empty_response(clock);
        if runner == first[0].runner {
            response.ended.push(ended_run(1, &first[0], EndKind::Done));
        }
        Some(response)
    });
    fleet.advance(10);
    let starts = fleet.starts();
    assert_eq!(runner_ids(&fleet, &starts), ["r1"]);
    let counts = fleet.owner.wait_counts();
    assert_eq!((counts.begun, counts.paid, counts.unpaid), (1, 1, 0));
}

/// Guards against a change where the factor is 100, and against a wait that gains less than it takes.
#[test]
fn no_gain() {
    for far_percent in [100, 150] {
        let (mut fleet, _) = full_rack(far_percent);
        let starts = fleet.submit_work(2, vec![near_data(8_000)]);
        assert_eq!(runner_ids(&fleet, &starts), ["r2"]);
        assert_eq!(fleet.owner.wait_counts().begun, 0);
    }
}

/// Guards against a wait without end when the progress ahead, and with it the runner's clock, stands still.
#[test]
fn clock_still() {
    let (mut fleet, first) = full_rack(300);
    assert!(fleet.submit_work(2, vec![near_data(8_000)]).is_empty());
    let started = run_for(&mut fleet, &first, |_| 50, 2_200);
    assert_eq!(started, ["r2"]);
    assert_eq!(fleet.owner.wait_counts().unpaid, 1);
}

/// Guards against a wait for a runner that is lost or silent.
#[test]
fn runner_lost() {
    let (mut fleet, first) = full_rack(300);
    assert!(fleet.submit_work(2, vec![near_data(8_000)]).is_empty());
    for _ in 0..3 {
        fleet.advance(50);
        let clock = fleet.clock();
        fleet.answer_holds(|runner| (runner != first[0].runner).then(|| empty_response(clock)));
    }
    let starts = fleet.starts();
    assert_eq!(runner_ids(&fleet, &starts), ["r2"]);
}

/// Guards against a wait for a rack that a wave evacuates.
#[test]
fn rack_evacuated() {
    let (mut fleet, first) = full_rack(300);
    let reports = vec![
        host("h1", "press", Some("r1")),
        host("h2", "press", Some("r2")),
    ];
    fleet.list_hosts(reports.clone());
    assert!(fleet.submit_work(2, vec![near_data(8_000)]).is_empty());
    let request = WaveRequest {
        number: 1,
        hosts: vec!["h1".to_owned()],
        duration: MAINTENANCE,
        cap: 1,
    };
    fleet.owner.wave_requested(request, fleet.now);
    fleet.list_hosts(reports);
    assert_eq!(run_for(&mut fleet, &first, progress, 300), ["r2"]);
}

/// Guards against a new owner, which has learned nothing and knows no waits, that decides otherwise than by the estimates.
#[test]
fn learned_lost() {
    let (fleet, first) = full_rack(300);
    let mut next = TestFleet::new(2, &["r1", "r2"]);
    next.runners = fleet.runners.clone();
    next.owner.set_far_percent(300);
    next.list_runners();
    next.answer_first_holds();
    let again = next.start_work(1, vec![near_data(8_000)]);
    assert_eq!(runner_ids(&next, &again), runner_ids(&fleet, &first));
    assert!(next.submit_work(2, vec![near_data(8_000)]).is_empty());
}

/// Guards against a gang on several racks shortly before one rack has room for it.
#[test]
fn gang_waits() {
    let mut fleet = TestFleet::new(1, &["r1", "r2", "r3", "r4"]);
    for (runner, rack) in fleet.runners.iter_mut().zip(["a", "a", "b", "b"]) {
        runner.rack = Some(rack.to_owned());
    }
    fleet.owner.set_far_percent(300);
    fleet.list_runners();
    fleet.answer_first_holds();
    let spread = StepSpec {
        anti_affinity: 1,
        ..step(4, 6_000)
    };
    let first = fleet.start_work(1, vec![spread]);
    fleet.advance(50);
    let clock = fleet.clock();
    // One runner of each rack becomes free.
    let ended: Vec<&StartCommand> = first
        .iter()
        .filter(|start| ["r1", "r3"].contains(&runner_ids(&fleet, &[(*start).clone()])[0].as_str()))
        .collect();
    assert_eq!(ended.len(), 2);
    fleet.answer_holds(|runner| {
        let mut response = empty_response(clock);
        match ended.iter().find(|end| end.runner == runner) {
            Some(end) => response.ended.push(ended_run(1, end, EndKind::Done)),
            None => {
                let here = first.iter().filter(|run| run.runner == runner);
                response.running = here.map(listed_run).collect();
            }
        }
        Some(response)
    });
    let gang = StepSpec {
        gang: true,
        same_rack: true,
        ..step(2, 6_000)
    };
    assert!(fleet.submit_work(2, vec![gang]).is_empty());
    assert_eq!(fleet.owner.wait_counts().begun, 1);
}
