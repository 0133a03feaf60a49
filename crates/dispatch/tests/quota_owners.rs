//! Guards against a new owner that exceeds a quota: work of the earlier owner may still run on runners that have not
//! answered the new one, and the earlier owner may be paused with all of the quota in use.

mod fleet;

use {
    fleet::{TestFleet, empty_response, host, job, listed_run, organisation_rules, route, step},
    goldcreststall_dispatch::{
        jobs::{ItemName, JobId, JobPhase},
        owner::{JobCall, OwnerState, StartCommand},
        records::{JobProgress, JobSubmission, StoreRecord},
        runners::{HoldResponse, ListedRun, max_lapse_delay},
    },
};

const TOKEN: u64 = 50;

fn submission(id: u64, count: u32) -> StoreRecord {
    let submission = JobSubmission {
        queue: route(),
        job: job(vec![step(count, 1_000)]),
        accepted_ms: 0,
        organisation: Some("ink".to_owned()),
    };
    StoreRecord::Submission(JobId(id), submission)
}

/// A new owner of two hosts with 8 cores each. Job 1 of `ink`, whose quota is 4 cores, was accepted by the earlier owner.
fn restored_fleet(records: Vec<StoreRecord>) -> TestFleet {
    let mut fleet = TestFleet::restored(TOKEN, records, 0, &["r1", "r2"]);
    fleet.list_hosts(vec![
        host("h1", fleet::POOL, Some("r1")),
        host("h2", fleet::POOL, Some("r2")),
    ]);
    fleet.set_organisations(2, &[("ink", 1, 4_000)]);
    fleet
}

/// Advances the clock while r2 does not answer and r1 lists `running`.
fn advance_without(fleet: &mut TestFleet, running: &[ListedRun]) -> Vec<StartCommand> {
    fleet.advance(100);
    let response = HoldResponse {
        running: running.to_vec(),
        ..empty_response(fleet.clock())
    };
    fleet.answer_holds_by_id(|id| (id == "r1").then(|| response.clone()));
    fleet.advance(10);
    fleet.starts()
}

fn listed(job: u64, index: u32) -> ListedRun {
    ListedRun {
        name: ItemName {
            job: JobId(job),
            occurrence: 0,
            step: 0,
            index,
        },
        run: 3,
        checkpoint: String::new(),
        percent: 10,
        load: 0,
    }
}

#[test]
fn killed_owner() {
    // Three of the four work items may run on r2, which does not answer, and one runs on r1.
    let mut fleet = restored_fleet(vec![submission(1, 4)]);
    let mut running = vec![listed(1, 0)];
    assert!(advance_without(&mut fleet, &running).is_empty());
    fleet.submit_for(2, "ink", job(vec![step(1, 1_000)]));
    fleet.submit_for(3, "lead", job(vec![step(1, 1_000)]));
    fleet.store();
    let end = fleet.now + max_lapse_delay();
    let mut started: Vec<StartCommand> = Vec::new();
    let mut advance = |fleet: &mut TestFleet, running: &mut Vec<ListedRun>| {
        for run in running.iter_mut() {
            run.percent += 1;
        }
        let starts = advance_without(fleet, running);
        fleet.accept_starts(&starts);
        running.extend(starts.iter().map(listed_run));
        started.extend(starts);
        started.len()
    };
    let mut count = 0;
    while fleet.now.0 + 400 < end.0 {
        count = advance(&mut fleet, &mut running);
        assert!(
            count <= 1,
            "the quota was exceeded by work that may run on r2"
        );
    }
    assert_eq!(count, 1, "another organisation had to wait");
    for _ in 0..20 {
        count = advance(&mut fleet, &mut running);
    }
    assert_eq!(
        count, 4,
        "the quota is not free after all leases have ended"
    );
    assert_eq!(started[0].name.job, JobId(3));
}

#[test]
fn answered_runners() {
    // The backlog of the earlier owner is larger than the quota, but only what runs counts once all have answered.
    let mut fleet = restored_fleet(vec![submission(1, 10)]);
    fleet.advance(100);
    let response = HoldResponse {
        running: vec![listed(1, 0), listed(1, 1)],
        ..empty_response(fleet.clock())
    };
    let empty = empty_response(fleet.clock());
    fleet.answer_holds_by_id(|id| Some(if id == "r1" { &response } else { &empty }.clone()));
    fleet.advance(100);
    assert_eq!(fleet.starts().len(), 2);
}

#[test]
fn cancelled_job() {
    // The earlier owner was stopping the runs of a job when it ended.
    let mut earlier = TestFleet::new(1, &["r1", "r2"]);
    earlier.answer_first_holds();
    earlier.set_organisations(2, &[("ink", 1, 4_000)]);
    earlier.submit_for(1, "ink", job(vec![step(4, 1_000)]));
    earlier.store();
    earlier.advance(10);
    let starts = earlier.starts();
    earlier.accept_starts(&starts);
    earlier.call(100, JobCall::Cancel(JobId(1)));
    let batches = earlier.store();
    let is_removed =
        |(key, value): &(String, Vec<u8>)| key == "j/0000000000000001" && value.is_empty();
    assert!(
        !batches
            .iter()
            .any(|batch| batch.records.iter().any(is_removed)),
        "the submission is gone while runs are left"
    );
    let cancelled = JobProgress {
        phase: JobPhase::Cancelled,
        ..JobProgress::default()
    };
    let mut fleet = restored_fleet(vec![
        submission(1, 4),
        StoreRecord::Progress(JobId(1), cancelled),
    ]);
    fleet.submit_for(2, "ink", job(vec![step(1, 1_000)]));
    fleet.store();
    let running: Vec<ListedRun> = starts.iter().map(listed_run).collect();
    assert!(advance_without(&mut fleet, &running).is_empty());
    assert!(advance_without(&mut fleet, &running).is_empty());
}

#[test]
fn two_owners() {
    // The earlier owner is paused with its quota in use, and runs on after the new one has taken over.
    let mut earlier = TestFleet::new(1, &["r1", "r2"]);
    earlier.answer_first_holds();
    earlier.set_organisations(2, &[("ink", 1, 4_000)]);
    earlier.submit_for(1, "ink", job(vec![step(2, 1_000)]));
    earlier.store();
    earlier.advance(10);
    let in_flight = earlier.starts();
    assert_eq!(in_flight.len(), 2);
    let mut fleet = restored_fleet(vec![submission(1, 2)]);
    fleet.submit_for(2, "ink", job(vec![step(10, 1_000)]));
    fleet.store();
    // r1 has answered the new owner and refuses the starts of the earlier one. r2 may still execute them.
    let starts: Vec<StartCommand> = (0..10)
        .flat_map(|_| advance_without(&mut fleet, &[]))
        .collect();
    assert_eq!(starts.len() + in_flight.len(), 4);
}

#[test]
fn unread_configuration() {
    // An owner that knows no quotas yet starts nothing of an organisation.
    let now = goldcreststall_core::ids::LocalTime(100_000);
    let mut fleet = TestFleet::new(TOKEN, &["r1", "r2"]);
    fleet.owner = OwnerState::new(TOKEN, std::sync::Arc::default(), now);
    fleet.owner.restore(Vec::new(), now, 0);
    fleet.list_runners();
    fleet.answer_first_holds();
    fleet.submit_for(1, "ink", job(vec![step(10, 1_000)]));
    fleet.store();
    fleet.advance(10);
    assert!(fleet.starts().is_empty());
    fleet
        .owner
        .set_rules(organisation_rules(1, &[("ink", 1, 4_000)]));
    fleet.advance(10);
    assert_eq!(fleet.starts().len(), 4);
}
