//! Guards against gangs that wait for their members: all start together or none does, and when one ends all do.

mod fleet;

use {
    fleet::{TestFleet, empty, ended, job, listed, step},
    goldcreststall_dispatch::{
        jobs::{JobId, JobPhase, StepSpec},
        owner::{CallResponse, JobCall, OwnerCommand, StartCommand, StartResponse},
        runners::EndKind,
    },
};

fn gang(count: u32, cpu: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, cpu)
    }
}

/// An owner with three runners of 8 cores in two racks.
fn racked() -> TestFleet {
    let mut fleet = TestFleet::new(1, &["r1", "r2", "r3"]);
    for (runner, rack) in fleet.runners.iter_mut().zip(["a", "b", "b"]) {
        runner.rack = Some(rack.to_owned());
    }
    fleet.list_runners();
    fleet.greet();
    fleet
}

fn submit(fleet: &mut TestFleet, id: u64, steps: Vec<StepSpec>) -> Vec<StartCommand> {
    fleet.submit(id, job(steps));
    fleet.store();
    fleet.pass(10);
    fleet.starts()
}

fn stops(fleet: &TestFleet) -> usize {
    let is_stop = |command: &&OwnerCommand| matches!(command, OwnerCommand::Stop(_));
    fleet.commands.iter().filter(is_stop).count()
}

/// Ends the run of `start` and lets every other member be listed as at work.
fn end(fleet: &mut TestFleet, starts: &[StartCommand], start: &StartCommand, kind: EndKind) {
    fleet.pass(100);
    let clock = fleet.clock();
    fleet.answer_holds(|runner| {
        let mut response = empty(clock);
        let here = starts
            .iter()
            .filter(|other| other.runner == runner && other.name != start.name);
        response.running = here.map(listed).collect();
        if runner == start.runner {
            response.ended.push(ended(1, start, kind));
        }
        Some(response)
    });
    fleet.pass(10);
}

#[test]
fn all_or_none() {
    let mut fleet = racked();
    let first = submit(&mut fleet, 1, vec![step(1, 6_000)]);
    fleet.begin(&first);
    assert!(submit(&mut fleet, 2, vec![gang(3, 6_000)]).is_empty());
    end(&mut fleet, &first, &first[0], EndKind::Done);
    fleet.store();
    fleet.pass(10);
    let starts = fleet.starts();
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|start| start.run == starts[0].run));
}

#[test]
fn one_rack_first() {
    let mut fleet = racked();
    let near = StepSpec {
        same_rack: true,
        ..gang(2, 6_000)
    };
    let starts = submit(&mut fleet, 1, vec![near]);
    let rack = |start: &StartCommand| {
        let (id, _) = fleet.owner.runner_address(start.runner)?;
        let runner = fleet.runners.iter().find(|runner| runner.id == id)?;
        runner.rack.clone()
    };
    let racks: Vec<Option<String>> = starts.iter().map(rack).collect();
    assert_eq!(racks, [Some("b".to_owned()), Some("b".to_owned())]);
}

#[test]
fn one_end_is_all() {
    let mut fleet = racked();
    let starts = submit(&mut fleet, 1, vec![gang(3, 6_000)]);
    fleet.begin(&starts);
    end(&mut fleet, &starts, &starts[1], EndKind::Done);
    fleet.store();
    let shown = fleet.call(9, JobCall::State(JobId(1)));
    assert_eq!(shown, Some(CallResponse::State(JobPhase::Completed)));
}

#[test]
fn refused_member_stops_all() {
    let mut fleet = racked();
    let starts = submit(&mut fleet, 1, vec![gang(3, 6_000)]);
    fleet.begin(&starts[..2]);
    let response = StartResponse::Unhealthy;
    assert!(fleet.owner.start_answered(&starts[2], response, fleet.now));
    fleet.pass(1);
    assert_eq!(stops(&fleet), 2, "members wait for one that does not come");
}

#[test]
fn failures_count_by_run() {
    let mut fleet = racked();
    let mut starts = submit(&mut fleet, 1, vec![gang(2, 1_000)]);
    for round in 1..=3 {
        fleet.begin(&starts);
        fleet.pass(100);
        let clock = fleet.clock();
        let members = starts.clone();
        fleet.answer_holds(|runner| {
            let mut response = empty(clock);
            for (place, start) in (0..).zip(&members) {
                let kind = match place {
                    0 => EndKind::Failed,
                    _ => EndKind::Broken,
                };
                if start.runner == runner {
                    response.ended.push(ended(round * 10 + place, start, kind));
                }
            }
            Some(response)
        });
        fleet.store();
        // Longer than a runner is avoided after failures.
        for _ in 0..100 {
            fleet.pass(100);
            let clock = fleet.clock();
            fleet.answer_holds(|_| Some(empty(clock)));
        }
        starts = fleet.starts();
        assert_eq!(starts.is_empty(), round == 3, "round {round}");
    }
    let shown = fleet.call(9, JobCall::State(JobId(1)));
    assert_eq!(shown, Some(CallResponse::State(JobPhase::Failed)));
}

#[test]
fn lost_member_stops_all() {
    let mut fleet = racked();
    let starts = submit(&mut fleet, 1, vec![gang(3, 6_000)]);
    fleet.begin(&starts);
    // The runner of the first member begins a new lifetime.
    let (id, _) = fleet
        .owner
        .runner_address(starts[0].runner)
        .expect("a runner");
    let id = id.to_owned();
    let lost = fleet.runners.iter_mut().find(|runner| runner.id == id);
    lost.expect("a runner").started_ms += 1;
    fleet.list_runners();
    fleet.pass(200);
    assert_eq!(stops(&fleet), 2);
}
