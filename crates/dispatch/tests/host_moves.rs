//! Guards against floods that wait for room which is not there: hosts that are cut off, and moves that are held back.

mod fleet;

use {
    fleet::{POOL, TestFleet, empty, host, job, listed, step},
    goldcreststall_dispatch::{
        jobs::StepSpec,
        owner::{OwnerCommand, StartCommand},
        runners::{HoldResponse, RunnerReport},
    },
};

const OTHER: &str = "bindery";
const FIRST_TERM: u64 = 1;
const LATER_TERM: u64 = 50;
/// Time in which the host service may see only one owner's commands for a host, in milliseconds.
const COMMAND_LEASE_MS: u64 = 3_000;

/// A runner of the other pool.
fn other(id: &str) -> RunnerReport {
    RunnerReport {
        service: OTHER.to_owned(),
        ..fleet::runner(id)
    }
}

/// Eight hosts in each of two pools, all empty, and an owner in its first term.
fn two_pools() -> TestFleet {
    let mut fleet = two_pools_of(FIRST_TERM);
    fleet.greet();
    fleet
}

fn two_pools_of(token: u64) -> TestFleet {
    let ids: Vec<String> = (1..=8).map(|number| format!("p{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut fleet = TestFleet::new(token, &ids);
    fleet
        .runners
        .extend((1..=8).map(|number| other(&format!("b{number}"))));
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

fn moves_to_flood(fleet: &TestFleet) -> usize {
    let to_pool = |command: &&OwnerCommand| matches!(command, OwnerCommand::MoveHost { pool, .. } if pool == POOL);
    fleet.commands.iter().filter(to_pool).count()
}

fn running(fleet: &TestFleet, id: &str, starts: &[StartCommand]) -> HoldResponse {
    let mut response = empty(fleet.clock());
    let here = |start: &&StartCommand| {
        let address = fleet.owner.runner_address(start.runner);
        address.is_some_and(|(own, _)| own == id)
    };
    response.running = starts.iter().filter(here).map(listed).collect();
    response
}

/// Three of the six hosts at work are cut off during a flood: the pool must get as many from the other one.
#[test]
fn silent_is_no_room() {
    let mut fleet = two_pools();
    // Short enough for the work at hand to be the larger part of the demand.
    let short = StepSpec {
        estimate_ms: 500,
        ..step(42, 1_000)
    };
    let starts = fleet.start_work(1, vec![short]);
    for _ in 0..10 {
        fleet.pass(120);
        let responses: Vec<(String, HoldResponse)> = ["p1", "p2", "p3"]
            .iter()
            .map(|id| ((*id).to_owned(), running(&fleet, id, &starts)))
            .collect();
        fleet.answer_holds_of(|id| {
            let found = responses.iter().find(|(own, _)| own == id);
            found.map(|(_, response)| response.clone())
        });
    }
    assert_eq!(moves_to_flood(&fleet), 3);
}

/// Moves in the first second of a later term, when the runners have lived for `uptime_ms`.
fn early_moves(uptime_ms: u64) -> usize {
    let mut fleet = two_pools_of(LATER_TERM);
    fleet.pass(1);
    fleet.answer_holds(|_| Some(empty(uptime_ms)));
    fleet.submit(1, job(vec![step(60, 1_000)]));
    fleet.store();
    for _ in 0..10 {
        fleet.pass(100);
    }
    moves_to_flood(&fleet)
}

/// The turn of demand changes while the owner does: hosts that no earlier owner can have ordered move at once.
#[test]
fn early_after_takeover() {
    assert!(early_moves(COMMAND_LEASE_MS * 10) > 0);
}

/// An earlier owner may just have ordered the hosts.
#[test]
fn young_hosts_wait() {
    assert_eq!(early_moves(COMMAND_LEASE_MS), 0);
}

/// The work at hand grows for as long as jobs run; the hosts for a flood must be on their way sooner.
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
        fleet.pass(100);
    }
    assert!(moves_to_flood(&fleet) > 0);
}
