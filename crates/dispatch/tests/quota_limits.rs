//! Guards against an organisation that has more running than its quota allows: with starts without an answer, runs that
//! are being stopped, gangs, lost runners, and a configuration that changes between two starts.

mod fleet;

use {
    fleet::{TestFleet, empty_response, ended_run, job, listed_run, step},
    goldcreststall_dispatch::{
        jobs::{JobId, StepSpec},
        owner::{JobCall, StartCommand, StartResponse},
        runners::{EndKind, HoldResponse},
    },
};

/// A fleet of two runners with 8 cores each, whose organisation `ink` has a quota of 4 cores.
fn limited_fleet() -> TestFleet {
    let mut fleet = TestFleet::new(1, &["r1", "r2"]);
    fleet.answer_first_holds();
    fleet.set_organisations(2, &[("ink", 1, 4_000), ("lead", 1, 0)]);
    fleet
}

fn submit_for(fleet: &mut TestFleet, id: u64, steps: Vec<StepSpec>) -> Vec<StartCommand> {
    fleet.submit_for(id, "ink", job(steps));
    fleet.store();
    fleet.advance(10);
    fleet.starts()
}

fn advance_round(fleet: &mut TestFleet, running: &[StartCommand]) -> Vec<StartCommand> {
    fleet.advance(100);
    let response = HoldResponse {
        running: running.iter().map(listed_run).collect(),
        ..empty_response(fleet.clock())
    };
    let empty = empty_response(fleet.clock());
    let busy = running.first().map(|start| start.runner);
    fleet.answer_holds(|runner| {
        let is_busy = busy == Some(runner);
        Some(if is_busy { &response } else { &empty }.clone())
    });
    fleet.advance(10);
    fleet.starts()
}

#[test]
fn full_quota() {
    let mut fleet = limited_fleet();
    let starts = submit_for(&mut fleet, 1, vec![step(10, 1_000)]);
    assert_eq!(starts.len(), 4, "the quota of 4 cores is not kept");
    fleet.accept_starts(&starts);
    // An end makes room for exactly one more.
    let mut response = empty_response(fleet.clock());
    response.running = starts[1..].iter().map(listed_run).collect();
    response.ended.push(ended_run(1, &starts[0], EndKind::Done));
    fleet.advance(100);
    let busy = starts[0].runner;
    let empty = empty_response(fleet.clock());
    fleet.answer_holds(|runner| Some(if runner == busy { &response } else { &empty }.clone()));
    fleet.advance(10);
    assert_eq!(fleet.starts().len(), 1);
    // Others are not held back.
    fleet.submit_for(2, "lead", job(vec![step(5, 1_000)]));
    fleet.submit(3, job(vec![step(5, 1_000)]));
    fleet.store();
    fleet.advance(10);
    assert_eq!(fleet.starts().len(), 10);
}

#[test]
fn unanswered_start() {
    let mut fleet = limited_fleet();
    let starts = submit_for(&mut fleet, 1, vec![step(4, 1_000)]);
    let now = fleet.now;
    for start in &starts {
        fleet
            .owner
            .start_answered(start, StartResponse::Unknown, now);
    }
    // The starts may still be executed.
    fleet.advance(10);
    assert!(submit_for(&mut fleet, 2, vec![step(1, 1_000)]).is_empty());
    // A late answer does not free the quota either.
    fleet.accept_starts(&starts);
    assert!(submit_for(&mut fleet, 3, vec![step(1, 1_000)]).is_empty());
}

#[test]
fn stopped_runs() {
    let mut fleet = limited_fleet();
    let starts = submit_for(&mut fleet, 1, vec![step(4, 1_000)]);
    fleet.accept_starts(&starts);
    fleet.call(100, JobCall::Cancel(JobId(1)));
    fleet.store();
    assert!(
        submit_for(&mut fleet, 2, vec![step(4, 1_000)]).is_empty(),
        "work of a cancelled job still runs"
    );
    // Stops that are not acknowledged count until the deadlines of the starts have passed.
    let mut next = Vec::new();
    for _ in 0..60 {
        next.extend(advance_round(&mut fleet, &[]));
    }
    assert_eq!(next.len(), 4, "the quota is not given back");
}

#[test]
fn lost_runner() {
    let mut fleet = limited_fleet();
    let starts = submit_for(&mut fleet, 1, vec![step(4, 1_000)]);
    fleet.accept_starts(&starts);
    // The runner answers no more. Its work counts until its lease has certainly ended, and then once more elsewhere.
    let mut restarted = Vec::new();
    let lost = starts[0].runner;
    for _ in 0..200 {
        fleet.advance(100);
        let response = empty_response(fleet.clock());
        fleet.answer_holds(|runner| (runner != lost).then(|| response.clone()));
        restarted.extend(fleet.starts());
        assert!(
            restarted.len() <= 4,
            "work was started beside that of a lost runner"
        );
        if !restarted.is_empty() {
            break;
        }
    }
    assert_eq!(restarted.len(), 4);
}

#[test]
fn whole_gang() {
    let mut fleet = limited_fleet();
    let gang = |count| StepSpec {
        gang: true,
        ..step(count, 1_000)
    };
    assert!(
        submit_for(&mut fleet, 1, vec![gang(5)]).is_empty(),
        "a gang above the quota was started, in part or as a whole"
    );
    assert_eq!(submit_for(&mut fleet, 2, vec![gang(3)]).len(), 3);
    assert!(submit_for(&mut fleet, 3, vec![gang(2)]).is_empty());
    // What is left serves other work.
    assert_eq!(submit_for(&mut fleet, 4, vec![step(2, 1_000)]).len(), 1);
}

#[test]
fn changed_quota() {
    let mut fleet = limited_fleet();
    let starts = submit_for(&mut fleet, 1, vec![step(20, 1_000)]);
    assert_eq!(starts.len(), 4);
    // The quota is lowered while the starts are in flight: nothing is stopped, and nothing starts.
    fleet.set_organisations(3, &[("ink", 1, 2_000)]);
    fleet.accept_starts(&starts);
    assert!(advance_round(&mut fleet, &starts).is_empty());
    assert_eq!(
        fleet.reply(1),
        Some(goldcreststall_dispatch::owner::CallResponse::Accepted)
    );
    // A raised quota counts at once, one of an older version never.
    fleet.set_organisations(4, &[("ink", 1, 6_000)]);
    fleet.set_organisations(3, &[("ink", 1, 16_000)]);
    let more = advance_round(&mut fleet, &starts);
    assert_eq!(more.len(), 2);
    fleet.accept_starts(&more);
    // Without a rule the organisation has no quota.
    fleet.set_organisations(5, &[("lead", 1, 0)]);
    fleet.advance(10);
    assert_eq!(fleet.starts().len(), 10);
}
