//! Guards against floods that wait for missing capacity, because hosts are cut off or moves start too late.

mod fleet;

use {
    fleet::{POOL, TestFleet, empty_response, host, job, listed_run, step},
    goldcreststall_dispatch::{
        jobs::StepSpec,
        owner::{OwnerCommand, StartCommand},
        runners::{HoldResponse, RunnerReport},
    },
};

const OTHER_POOL: &str = "bindery";
const FIRST_TERM: u64 = 1;
const LATER_TERM: u64 = 50;
/// Time after a change of the owner in which the host service must not get commands of two owners for the same host, in
/// milliseconds; the owner itself waits slightly longer.
const COMMAND_LEASE_MS: u64 = 3_000;

/// Returns a runner of the other pool.
fn other_runner(id: &str) -> RunnerReport {
    RunnerReport {
        service: OTHER_POOL.to_owned(),
        ..fleet::runner(id)
    }
}

/// Returns an owner in its first term with eight empty hosts in each of two pools.
fn two_pools() -> TestFleet {
    let mut fleet = two_pools_in_term(FIRST_TERM);
    fleet.answer_first_holds();
    fleet
}

fn two_pools_in_term(token: u64) -> TestFleet {
    let ids: Vec<String> = (1..=8).map(|number| format!("p{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut fleet = TestFleet::new(token, &ids);
    fleet
        .runners
        .extend((1..=8).map(|number| other_runner(&format!("b{number}"))));
    fleet.list_runners();
    let hosts = fleet
        .runners
        .iter()
        .map(|report| {
            host(
                &format!("host-{}", report.id),
                &report.service,
                Some(&report.id),
            )
        })
        .collect();
    fleet.list_hosts(hosts);
    fleet
}

fn moves_to_flooded_pool(fleet: &TestFleet) -> usize {
    let to_pool = |command: &&OwnerCommand| matches!(command, OwnerCommand::MoveHost { pool, .. } if pool == POOL);
    fleet.commands.iter().filter(to_pool).count()
}

fn running(fleet: &TestFleet, id: &str, starts: &[StartCommand]) -> HoldResponse {
    let mut response = empty_response(fleet.clock());
    let here = |start: &&StartCommand| {
        let address = fleet.owner.runner_address(start.runner);
        address.is_some_and(|(runner_id, _)| runner_id == id)
    };
    response.running = starts.iter().filter(here).map(listed_run).collect();
    response
}

/// Three of the six hosts with work are cut off during a flood. The pool must get as many hosts from the other one.
#[test]
fn silent_hosts_are_no_capacity() {
    let mut fleet = two_pools();
    // Short enough that the demand of the accepted work exceeds that of the arrivals.
    let short = StepSpec {
        estimate_ms: 500,
        ..step(42, 1_000)
    };
    let starts = fleet.start_work(1, vec![short]);
    for _ in 0..10 {
        fleet.advance(120);
        let responses: Vec<(String, HoldResponse)> = ["p1", "p2", "p3"]
            .iter()
            .map(|id| ((*id).to_owned(), running(&fleet, id, &starts)))
            .collect();
        fleet.answer_holds_by_id(|id| {
            let found = responses.iter().find(|(runner_id, _)| runner_id == id);
            found.map(|(_, response)| response.clone())
        });
    }
    assert_eq!(moves_to_flooded_pool(&fleet), 3);
}

/// Returns the number of moves in the first second of a later term, when the runners have been up for `uptime_ms`.
fn early_moves(uptime_ms: u64) -> usize {
    let mut fleet = two_pools_in_term(LATER_TERM);
    fleet.advance(1);
    fleet.answer_holds(|_| Some(empty_response(uptime_ms)));
    fleet.submit(1, job(vec![step(60, 1_000)]));
    fleet.store();
    for _ in 0..10 {
        fleet.advance(100);
    }
    moves_to_flooded_pool(&fleet)
}

/// Demand shifts to another pool during a change of the owner. Hosts for which no earlier owner can have issued
/// commands must move immediately.
#[test]
fn early_after_takeover() {
    assert!(early_moves(COMMAND_LEASE_MS * 10) > 0);
}

/// An earlier owner may just have issued commands for the hosts, which must not move yet.
#[test]
fn young_hosts_wait() {
    assert_eq!(early_moves(COMMAND_LEASE_MS), 0);
}

/// The demand of the accepted work keeps rising for as long as the jobs run, and shows the full flood only then. The
/// hosts must start to move sooner.
#[test]
fn arrivals_count() {
    let mut fleet = two_pools();
    let long = StepSpec {
        estimate_ms: 8_000,
        ..step(4, 1_000)
    };
    for id in 1..4 {
        fleet.submit(id, job(vec![long.clone()]));
        fleet.store();
        fleet.advance(100);
    }
    assert!(moves_to_flooded_pool(&fleet) > 0);
}
