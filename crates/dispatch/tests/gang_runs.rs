//! Guards against members of a gang that wait for others: all must start together or none, and all end when one ends.

mod fleet;

use {
    fleet::{TestFleet, empty_response, ended_run, job, listed_run, step},
    goldcreststall_dispatch::{
        jobs::{JobId, JobPhase, StepSpec},
        owner::{CallResponse, JobCall, OwnerCommand, StartCommand, StartResponse},
        runners::{EndKind, HoldResponse},
    },
};

fn gang(count: u32, cpu: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cpu)
    }
}

/// Returns an owner with three runners of 8 cores in two racks.
fn fleet_with_racks() -> TestFleet {
    let mut fleet = TestFleet::new(1, &["r1", "r2", "r3"]);
    for (runner, rack) in fleet.runners.iter_mut().zip(["a", "b", "b"]) {
        runner.rack = Some(rack.to_owned());
    }
    fleet.list_runners();
    fleet.answer_first_holds();
    fleet
}

fn submit(fleet: &mut TestFleet, id: u64, steps: Vec<StepSpec>) -> Vec<StartCommand> {
    fleet.submit(id, job(steps));
    fleet.store();
    fleet.advance(10);
    fleet.starts()
}

fn stops(fleet: &TestFleet) -> usize {
    let is_stop = |command: &&OwnerCommand| matches!(command, OwnerCommand::Stop(_));
    fleet.commands.iter().filter(is_stop).count()
}

/// Responds to hold calls: the run of `start` has ended, all others are listed as running.
fn end(fleet: &mut TestFleet, starts: &[StartCommand], start: &StartCommand, kind: EndKind) {
    fleet.advance(100);
    let clock = fleet.clock();
    fleet.answer_holds(|runner| {
        let mut response = empty_response(clock);
        let here = starts
            .iter()
            .filter(|other| other.runner == runner && other.name != start.name);
        response.running = here.map(listed_run).collect();
        if runner == start.runner {
            response.ended.push(ended_run(1, start, kind));
        }
        Some(response)
    });
    fleet.advance(10);
}

#[test]
fn all_or_none() {
    let mut fleet = fleet_with_racks();
    let first = submit(&mut fleet, 1, vec![step(1, 6_000)]);
    fleet.accept_starts(&first);
    assert!(submit(&mut fleet, 2, vec![gang(3, 6_000)]).is_empty());
    end(&mut fleet, &first, &first[0], EndKind::Done);
    fleet.store();
    fleet.advance(10);
    let starts = fleet.starts();
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|start| start.run == starts[0].run));
}

#[test]
fn one_rack_first() {
    let mut fleet = fleet_with_racks();
    let same_rack_step = StepSpec {
        same_rack: true,
        ..gang(2, 6_000)
    };
    let starts = submit(&mut fleet, 1, vec![same_rack_step]);
    let rack = |start: &StartCommand| {
        let (id, _) = fleet.owner.runner_address(start.runner)?;
        let runner = fleet.runners.iter().find(|runner| runner.id == id)?;
        runner.rack.clone()
    };
    let racks: Vec<Option<String>> = starts.iter().map(rack).collect();
    assert_eq!(racks, [Some("b".to_owned()), Some("b".to_owned())]);
}

#[test]
fn one_success_completes_all() {
    let mut fleet = fleet_with_racks();
    let starts = submit(&mut fleet, 1, vec![gang(3, 6_000)]);
    fleet.accept_starts(&starts);
    end(&mut fleet, &starts, &starts[1], EndKind::Done);
    fleet.store();
    let shown = fleet.call(9, JobCall::State(JobId(1)));
    assert_eq!(shown, Some(CallResponse::State(JobPhase::Completed)));
}

#[test]
fn refused_member_stops_all() {
    let mut fleet = fleet_with_racks();
    let starts = submit(&mut fleet, 1, vec![gang(3, 6_000)]);
    fleet.accept_starts(&starts[..2]);
    let response = StartResponse::Unhealthy;
    assert!(fleet.owner.start_answered(&starts[2], response, fleet.now));
    fleet.advance(1);
    assert_eq!(stops(&fleet), 2, "members wait for one that does not start");
}

#[test]
fn failures_count_by_run() {
    let mut fleet = fleet_with_racks();
    let mut starts = submit(&mut fleet, 1, vec![gang(2, 1_000)]);
    for round in 1..=3 {
        fleet.accept_starts(&starts);
        fleet.advance(100);
        let clock = fleet.clock();
        let members = starts.clone();
        fleet.answer_holds(|runner| {
            let mut response = empty_response(clock);
            for (index, start) in (0..).zip(&members) {
                let kind = match index {
                    0 => EndKind::Failed,
                    _ => EndKind::Broken,
                };
                if start.runner == runner {
                    response
                        .ended
                        .push(ended_run(round * 10 + index, start, kind));
                }
            }
            Some(response)
        });
        fleet.store();
        // Longer than a runner gets no work after failures. The next round has the starts of one run only.
        starts = Vec::new();
        for _ in 0..100 {
            if !starts.is_empty() {
                break;
            }
            fleet.advance(100);
            let clock = fleet.clock();
            fleet.answer_holds(|_| Some(empty_response(clock)));
            starts = fleet.starts();
        }
        assert_eq!(starts.is_empty(), round == 3, "round {round}");
    }
    let shown = fleet.call(9, JobCall::State(JobId(1)));
    assert_eq!(shown, Some(CallResponse::State(JobPhase::Failed)));
}

#[test]
fn lost_member_stops_all() {
    let mut fleet = fleet_with_racks();
    let starts = submit(&mut fleet, 1, vec![gang(3, 6_000)]);
    fleet.accept_starts(&starts);
    fleet.advance(100);
    let clock = fleet.clock();
    fleet.answer_holds(|runner| {
        let here = starts.iter().filter(|start| start.runner == runner);
        Some(HoldResponse {
            started_ms: Some(1),
            running: here.map(listed_run).collect(),
            ..empty_response(clock)
        })
    });
    // The runner of the first member, which has listed it, restarts as a new instance.
    let (id, _) = fleet
        .owner
        .runner_address(starts[0].runner)
        .expect("a runner");
    let id = id.to_owned();
    let lost = fleet.runners.iter_mut().find(|runner| runner.id == id);
    lost.expect("a runner").started_ms += 1;
    fleet.list_runners();
    fleet.advance(200);
    assert_eq!(stops(&fleet), 2);
}
