//! Guards against the starvation of long-running work in a flood of small work items: a long-running work item with a
//! spread limit needs more free capacity at once than a small one leaves when it ends.

mod fleet;

use {
    fleet::{POOL, TestFleet, empty_response, ended_run, host, job, step},
    goldcreststall_dispatch::{
        jobs::{JobId, StepSpec},
        owner::{OwnerCommand, StartCommand},
        runners::{EndKind, HoldResponse, RunnerReport},
    },
};

#[test]
fn not_starved() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    let mut running = fleet.start_work(1, vec![step(40, 1_000)]);
    assert_eq!(running.len(), 8);
    let serving = StepSpec {
        long_running: true,
        anti_affinity: 1,
        ..step(1, 4_000)
    };
    fleet.submit(2, job(vec![serving]));
    fleet.store();
    let mut number = 0;
    for _ in 0..8 {
        fleet.advance(100);
        number += 1;
        let done = running.remove(0);
        let response = respond(&fleet, &running, number, &done);
        fleet.answer_holds(|_| Some(response.clone()));
        fleet.store();
        fleet.advance(10);
        let starts = fleet.starts();
        fleet.accept_starts(&starts);
        if starts.iter().any(|start| start.name.job == JobId(2)) {
            return;
        }
        running.extend(starts);
    }
    panic!("the serving work item did not start although all small ones were replaced");
}

fn respond(
    fleet: &TestFleet,
    running: &[StartCommand],
    number: u64,
    done: &StartCommand,
) -> HoldResponse {
    let mut response = empty_response(fleet.clock());
    response.running = running.iter().map(fleet::listed_run).collect();
    response.ended.push(ended_run(number, done, EndKind::Done));
    response
}

/// Long-running work fills the memory of its pool's hosts long before their processors. A work item that is to be
/// restarted finds none of them free, and its pool must get another host although its processors are idle.
#[test]
fn memory_is_full() {
    let ids = ["p1", "p2", "p3", "p4"];
    let mut fleet = TestFleet::new(1, &ids);
    let others = (1..=6).map(|number| RunnerReport {
        service: "bindery".to_owned(),
        ..fleet::runner(&format!("b{number}"))
    });
    fleet.runners.extend(others);
    fleet.list_runners();
    fleet.answer_first_holds();
    let hosts = fleet.runners.iter().map(|report| {
        let name = format!("host-{}", report.id);
        host(&name, &report.service, Some(&report.id))
    });
    let hosts = hosts.collect();
    fleet.list_hosts(hosts);
    let serving = |count| StepSpec {
        mem_mb: 15_000,
        long_running: true,
        ..step(count, 500)
    };
    let starts = fleet.start_work(1, vec![serving(4)]);
    assert_eq!(starts.len(), 4);
    fleet.submit_work(2, vec![serving(1)]);
    for _ in 0..5 {
        fleet.advance(100);
        let responses: Vec<(String, HoldResponse)> = starts
            .iter()
            .filter_map(|start| {
                let (id, _) = fleet.owner.runner_address(start.runner)?;
                let mut response = empty_response(fleet.clock());
                response.running.push(fleet::listed_run(start));
                Some((id.to_owned(), response))
            })
            .collect();
        let clock = fleet.clock();
        fleet.answer_holds_by_id(|id| {
            let found = responses.iter().find(|(runner, _)| runner == id);
            let response = found.map(|(_, response)| response.clone());
            Some(response.unwrap_or_else(|| empty_response(clock)))
        });
    }
    let moves_here = |command: &&OwnerCommand| matches!(command, OwnerCommand::MoveHost { pool, .. } if pool == POOL);
    assert_eq!(fleet.commands.iter().filter(moves_here).count(), 1);
}

/// Submits jobs of one small work item each; returns how many of them start.
fn small_jobs_started(fleet: &mut TestFleet, first: u64) -> usize {
    let jobs = first..first + 4;
    jobs.map(|id| fleet.start_work(id, vec![step(1, 1_000)]).len())
        .sum()
}

/// Returns a fleet of four runners, each with one small long-running work item on it.
fn fleet_with_serving() -> TestFleet {
    let small = StepSpec {
        long_running: true,
        anti_affinity: 1,
        ..step(4, 500)
    };
    let (fleet, starts) = TestFleet::with_work(&["r1", "r2", "r3", "r4"], vec![small]);
    assert_eq!(starts.len(), 4);
    fleet
}

/// Guards against long-running work that can never be placed and closes all runners of its service to other work: what
/// runs there never ends, so that waiting for an empty runner is in vain.
#[test]
fn hopeless_work_closes_none() {
    let mut fleet = fleet_with_serving();
    let hopeless = StepSpec {
        long_running: true,
        ..step(4, 8_000)
    };
    assert_eq!(fleet.start_work(2, vec![hopeless]), []);
    assert_eq!(small_jobs_started(&mut fleet, 10), 4);
}

/// Guards against a gang that can never be placed and closes runners to other work in the same way.
#[test]
fn hopeless_gang_closes_none() {
    let mut fleet = fleet_with_serving();
    let hopeless = StepSpec {
        gang: true,
        ..step(4, 8_000)
    };
    assert_eq!(fleet.start_work(2, vec![hopeless]), []);
    assert_eq!(small_jobs_started(&mut fleet, 10), 4);
}

/// Guards against a gang that is too wide for its pool and closes runners for its members one by one.
#[test]
fn wide_gang_closes_none() {
    let mut fleet = TestFleet::new(1, &["r1", "r2", "r3", "r4"]);
    fleet.answer_first_holds();
    assert_eq!(fleet.start_work(1, vec![step(4, 1_000)]).len(), 4);
    let wide = StepSpec {
        gang: true,
        ..step(5, 8_000)
    };
    assert_eq!(fleet.start_work(2, vec![wide]), []);
    assert_eq!(small_jobs_started(&mut fleet, 10), 4);
}

/// Guards against a gang that starves in a flood of small work items: it still gets its runners once they are empty.
#[test]
fn gang_is_not_starved() {
    let mut fleet = TestFleet::new(1, &["r1", "r2"]);
    fleet.answer_first_holds();
    let running = fleet.start_work(1, vec![step(16, 1_000)]);
    assert_eq!(running.len(), 16);
    let gang = StepSpec {
        gang: true,
        estimate_ms: 500,
        ..step(2, 8_000)
    };
    fleet.submit_work(2, vec![gang]);
    fleet.advance(100);
    let clock = fleet.clock();
    fleet.answer_holds(|runner| {
        let here: Vec<&StartCommand> = running
            .iter()
            .filter(|start| start.runner == runner)
            .collect();
        let mut response = empty_response(clock);
        response.ended = vec![ended_run(1, here[0], EndKind::Done)];
        response.running = here[1..]
            .iter()
            .map(|start| fleet::listed_run(start))
            .collect();
        Some(response)
    });
    assert_eq!(small_jobs_started(&mut fleet, 10), 0);
}

/// Guards against hosts that move to a pool for work that is larger than any host.
#[test]
fn oversized_work_moves_no_host() {
    let mut fleet = TestFleet::new(1, &["p1", "p2", "p3", "p4"]);
    let others = (1..=6).map(|number| RunnerReport {
        service: "bindery".to_owned(),
        ..fleet::runner(&format!("b{number}"))
    });
    fleet.runners.extend(others);
    fleet.list_runners();
    fleet.answer_first_holds();
    let hosts = fleet.runners.iter().map(|report| {
        let name = format!("host-{}", report.id);
        host(&name, &report.service, Some(&report.id))
    });
    let hosts = hosts.collect();
    fleet.list_hosts(hosts);
    let oversized = StepSpec {
        long_running: true,
        mem_mb: 17_000,
        ..step(4, 100)
    };
    fleet.submit_work(1, vec![oversized]);
    for _ in 0..5 {
        fleet.advance(100);
        let clock = fleet.clock();
        fleet.answer_holds(|_| Some(empty_response(clock)));
    }
    let moves = |command: &&OwnerCommand| matches!(command, OwnerCommand::MoveHost { .. });
    assert_eq!(fleet.commands.iter().filter(moves).count(), 0);
}
