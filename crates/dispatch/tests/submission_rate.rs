//! Guards against a flood of one organisation that delays the jobs of others, against refusals while capacity is free, and
//! against the refusal of a job that was accepted before.

mod fleet;

use {
    fleet::{TestFleet, job, step},
    goldcreststall_dispatch::owner::CallResponse,
};

const WINDOW_MS: u64 = 5_000;

/// A full pool of 8 cores, which `lead` uses.
fn full_fleet() -> TestFleet {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    fleet.set_organisations(2, &[("ink", 2, 0), ("lead", 2, 0)]);
    fleet.submit_for(1, "lead", job(vec![step(8, 1_000)]));
    fleet.store();
    fleet.advance(10);
    let starts = fleet.starts();
    fleet.accept_starts(&starts);
    fleet
}

/// Submits jobs; returns how many were refused for the rate.
fn flood(fleet: &mut TestFleet, organisation: &str, first: u64, count: u64) -> usize {
    for id in first..first + count {
        fleet.submit_for(id, organisation, job(vec![step(1, 1_000)]));
    }
    fleet.store();
    fleet.advance(100);
    let refused = |id: &u64| matches!(fleet.reply(*id), Some(CallResponse::OverRate(_)));
    (first..first + count).filter(refused).count()
}

#[test]
fn flood_is_refused() {
    let mut fleet = full_fleet();
    fleet.advance(100);
    assert_eq!(flood(&mut fleet, "ink", 100, 3), 0);
    // The rate of two jobs a second allows ten over the window.
    assert_eq!(flood(&mut fleet, "ink", 200, 50), 43);
    assert_eq!(
        flood(&mut fleet, "lead", 300, 9),
        0,
        "another one is refused"
    );
    // The time to retry is that of the organisation's own ten waiting jobs.
    fleet.submit_for(400, "ink", job(vec![step(1, 1_000)]));
    fleet.advance(1);
    let Some(CallResponse::OverRate(retry_after)) = fleet.reply(400) else {
        panic!("a job above the rate was accepted");
    };
    assert_eq!(retry_after.0, 5_000);
    // A refused job leaves nothing to be stored, and may be submitted again.
    assert!(fleet.store().is_empty());
    fleet.commands.clear();
    fleet.advance(WINDOW_MS + 1_000);
    assert_eq!(flood(&mut fleet, "ink", 400, 1), 0);
}

#[test]
fn free_capacity() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    fleet.set_organisations(2, &[("ink", 1, 0)]);
    fleet.advance(100);
    assert_eq!(flood(&mut fleet, "ink", 100, 7), 0);
    assert_eq!(
        flood(&mut fleet, "ink", 200, 30),
        0,
        "jobs were refused while a core was free"
    );
    assert!(flood(&mut fleet, "ink", 300, 30) > 0);
}

#[test]
fn repeated_submission() {
    let mut fleet = full_fleet();
    fleet.advance(100);
    flood(&mut fleet, "ink", 100, 30);
    // One was accepted and one is not stored yet: both may have been stored when they are submitted again.
    fleet.commands.clear();
    assert_eq!(flood(&mut fleet, "ink", 100, 10), 0);
    assert_eq!(fleet.reply(100), Some(CallResponse::Accepted));
}

#[test]
fn without_organisation() {
    let mut fleet = full_fleet();
    fleet.advance(100);
    for id in 100..150 {
        fleet.submit(id, job(vec![step(1, 100)]));
    }
    fleet.store();
    let accepted = |id: &u64| fleet.reply(*id) == Some(CallResponse::Accepted);
    assert_eq!((100..150).filter(accepted).count(), 50);
}
