//! Guards against waves that stop more work or take more hosts than their limits allow.

mod fleet;

use {
    fleet::{TestFleet, empty_response, host, job, listed_run, step},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::{JobId, StepSpec},
        owner::{
            HostResponse, HostStatus, JobCall, OwnerCommand, StartCommand, StartResponse,
            WaveRequest,
        },
    },
};

fn wave(hosts: &[&str], cap: u32) -> WaveRequest {
    WaveRequest {
        number: 1,
        hosts: hosts.iter().map(|host| (*host).to_owned()).collect(),
        duration: Millis(30_000),
        cap,
    }
}

fn maintained_hosts(fleet: &mut TestFleet) -> Vec<String> {
    let mut hosts = Vec::new();
    fleet.commands.retain(|command| match command {
        OwnerCommand::MaintainHost { host, .. } => {
            hosts.push(host.clone());
            false
        }
        _ => true,
    });
    hosts
}

/// Returns a fleet of three hosts with long-running work on two of them; one work item may be stopped at a time.
fn serving_fleet() -> (TestFleet, Vec<StartCommand>) {
    let mut fleet = TestFleet::new(1, &["r1", "r2", "r3"]);
    fleet.list_hosts(vec![
        host("h1", fleet::POOL, Some("r1")),
        host("h2", fleet::POOL, Some("r2")),
        host("h3", fleet::POOL, Some("r3")),
    ]);
    fleet.answer_first_holds();
    let serving = StepSpec {
        long_running: true,
        anti_affinity: 1,
        may_miss: 1,
        ..step(2, 1_000)
    };
    let starts = fleet.start_work(1, vec![serving]);
    (fleet, starts)
}

#[test]
fn cap_holds() {
    let mut fleet = TestFleet::new(1, &["r1", "r2", "r3"]);
    let hosts = || {
        vec![
            host("h1", fleet::POOL, Some("r1")),
            host("h2", fleet::POOL, Some("r2")),
            host("h3", fleet::POOL, Some("r3")),
        ]
    };
    fleet.list_hosts(hosts());
    fleet
        .owner
        .wave_requested(wave(&["h1", "h2", "h3"], 2), fleet.now);
    fleet.answer_first_holds();
    fleet.advance(200);
    let first = maintained_hosts(&mut fleet);
    assert_eq!(first.len(), 2);
    // A command without a response may have been executed, so that it counts.
    fleet.advance(500);
    assert!(maintained_hosts(&mut fleet).is_empty());
    for host in &first {
        fleet
            .owner
            .host_answered(host, HostResponse::Done, fleet.now);
    }
    fleet.advance(1_000);
    fleet.list_hosts(hosts());
    fleet.advance(200);
    assert!(
        maintained_hosts(&mut fleet).is_empty(),
        "the list lags, and the hosts are still away"
    );
    fleet.advance(2_000);
    fleet.list_hosts(hosts());
    fleet.advance(200);
    assert_eq!(maintained_hosts(&mut fleet).len(), 1);
}

#[test]
fn unlisted_runner() {
    // The runner's entry has expired with the history of the store, but the host still has work.
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.list_hosts(vec![host("h1", fleet::POOL, None)]);
    fleet.owner.wave_requested(wave(&["h1"], 1), fleet.now);
    fleet.answer_first_holds();
    for _ in 0..20 {
        fleet.advance(200);
    }
    assert!(
        maintained_hosts(&mut fleet).is_empty(),
        "a host with an unknown runner was maintained"
    );
}

#[test]
fn may_miss_holds() {
    let mut fleet = TestFleet::new(1, &["r1", "r2", "r3", "r4"]);
    fleet.list_hosts(vec![
        host("h1", fleet::POOL, Some("r1")),
        host("h2", fleet::POOL, Some("r2")),
        host("h3", fleet::POOL, Some("r3")),
        host("h4", fleet::POOL, Some("r4")),
    ]);
    fleet.answer_first_holds();
    let serving = StepSpec {
        long_running: true,
        anti_affinity: 1,
        may_miss: 1,
        ..step(2, 1_000)
    };
    let starts = fleet.start_work(1, vec![serving]);
    fleet
        .owner
        .wave_requested(wave(&["h1", "h2", "h3", "h4"], 4), fleet.now);
    fleet.advance(100);
    let clock = fleet.clock();
    let runs = starts.clone();
    fleet.answer_holds(|runner| {
        let mut response = empty_response(clock);
        let here = runs.iter().filter(|start| start.runner == runner);
        response.running = here.map(listed_run).collect();
        Some(response)
    });
    fleet.advance(200);
    let stops = fleet
        .commands
        .iter()
        .filter(|command| matches!(command, OwnerCommand::Stop(_)))
        .count();
    assert!(
        stops <= 1,
        "{stops} of 2 work items were stopped at the same time"
    );
}

#[test]
fn silent_runner_is_away() {
    // One of two work items is on a runner that no longer responds. The other one must not be stopped.
    let (mut fleet, starts) = serving_fleet();
    let silent = starts[0].runner;
    for round in 0..8 {
        fleet.advance(100);
        let clock = fleet.clock();
        let runs = starts.clone();
        fleet.answer_holds(|runner| {
            if runner == silent && round > 1 {
                return None;
            }
            let mut response = empty_response(clock);
            let here = runs.iter().filter(|start| start.runner == runner);
            response.running = here.map(listed_run).collect();
            Some(response)
        });
    }
    fleet.commands.clear();
    fleet.owner.wave_requested(wave(&["h2"], 1), fleet.now);
    fleet.advance(200);
    fleet.advance(200);
    let serving = starts[1].name;
    let stopped = fleet
        .commands
        .iter()
        .any(|command| matches!(command, OwnerCommand::Stop(stop) if stop.name == serving));
    assert!(
        !stopped,
        "a work item was stopped while another may be missing"
    );
}

/// A runner that got no work for a while after failed runs or a refusal must count as capacity again for work that a
/// wave moves.
#[test]
fn avoided_runner_recovers() {
    let (mut fleet, runs) = serving_fleet();
    let answer_rounds = |fleet: &mut TestFleet| {
        for _ in 0..10 {
            fleet.advance(100);
            let clock = fleet.clock();
            fleet.answer_holds(|runner| {
                let mut response = empty_response(clock);
                let here = runs.iter().filter(|start| start.runner == runner);
                response.running = here.map(listed_run).collect();
                Some(response)
            });
        }
    };
    // The third runner, the only one with enough free capacity, refuses other work and is avoided for a moment.
    fleet.submit(2, job(vec![step(1, 7_500)]));
    fleet.store();
    fleet.advance(10);
    let refused = fleet.starts().remove(0);
    let response = StartResponse::Unhealthy;
    assert!(fleet.owner.start_answered(&refused, response, fleet.now));
    fleet.call(3, JobCall::Cancel(JobId(2)));
    answer_rounds(&mut fleet);
    fleet.commands.clear();
    let address = fleet.owner.runner_address(runs[0].runner);
    let host = address
        .map(|(id, _)| id.replace('r', "h"))
        .unwrap_or_default();
    fleet.owner.wave_requested(wave(&[&host], 1), fleet.now);
    let serving = runs[0].name;
    answer_rounds(&mut fleet);
    let stopped = fleet
        .commands
        .iter()
        .any(|command| matches!(command, OwnerCommand::Stop(stop) if stop.name == serving));
    assert!(stopped, "the wave waits for a runner that has recovered");
}

/// Returns a fleet whose only host has work, after the host service responded that maintenance of the host is done.
fn maintained_fleet() -> (TestFleet, Vec<StartCommand>) {
    let (mut fleet, starts) = TestFleet::with_work(&["r1"], vec![step(1, 1_000)]);
    fleet.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    let request = WaveRequest {
        duration: Millis(100),
        ..wave(&["h1"], 1)
    };
    fleet.owner.wave_requested(request, fleet.now);
    fleet.advance(200);
    assert_eq!(maintained_hosts(&mut fleet), ["h1"]);
    fleet
        .owner
        .host_answered("h1", HostResponse::Done, fleet.now);
    (fleet, starts)
}

/// Returns the number of restarts of the work while its runner, r1, lists it as running.
fn restarts(fleet: &mut TestFleet, starts: &[StartCommand]) -> usize {
    for _ in 0..8 {
        fleet.advance(100);
        let idle = empty_response(fleet.clock());
        let mut busy = idle.clone();
        busy.running = starts.iter().map(listed_run).collect();
        fleet.answer_holds_by_id(|id| {
            Some(if id == "r1" {
                busy.clone()
            } else {
                idle.clone()
            })
        });
    }
    fleet.starts().len()
}

/// The host service responds that maintenance is done even when the command of an earlier owner did it. The runner of
/// the host is then a newer one, and its work must not be treated as lost.
#[test]
fn done_before_is_no_end() {
    let (mut fleet, starts) = maintained_fleet();
    fleet.runners.push(fleet::runner("r2"));
    fleet.list_runners();
    fleet.list_hosts(vec![
        host("h1", fleet::POOL, Some("r1")),
        host("h2", fleet::POOL, Some("r2")),
    ]);
    assert_eq!(restarts(&mut fleet, &starts), 0, "work runs twice");
    let events = fleet.owner.take_events();
    let lost = events.iter().find(|event| event.event == "run lost");
    assert_eq!(lost, None, "running work was treated as lost");
}

#[test]
fn listed_maintenance_is_an_end() {
    let (mut fleet, starts) = maintained_fleet();
    fleet.runners.push(fleet::runner("r2"));
    fleet.list_runners();
    let mut away = host("h1", fleet::POOL, None);
    away.status = HostStatus::Maintenance;
    fleet.list_hosts(vec![away, host("h2", fleet::POOL, Some("r2"))]);
    fleet.advance(10);
    let clock = fleet.clock();
    fleet.answer_holds_by_id(|id| (id == "r2").then(|| empty_response(clock)));
    fleet.advance(200);
    let again = fleet.starts();
    assert_eq!(again.len(), 1, "lost work was not started again");
    assert_eq!(again[0].name, starts[0].name);
}
