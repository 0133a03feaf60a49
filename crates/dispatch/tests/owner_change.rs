//! Guards against work that runs twice after a change of the owner: work that an earlier owner started may still run on
//! hosts that the new owner cannot reach.

mod fleet;

use {
    fleet::{TestFleet, empty_response, host, job, listed_run, route, rules, step},
    goldcreststall_dispatch::{
        jobs::{ItemName, JobId, JobPhase},
        owner::{CallResponse, JobCall, OwnerState, StartCommand},
        records::{JobProgress, JobSubmission, StoreRecord},
        runners::{EndKind, EndedRun, max_lapse_delay},
    },
    std::sync::Arc,
};

const TOKEN: u64 = 50;
const WALL_MS: u64 = 1_800_000_000_000;

fn restored_fleet(records: Vec<StoreRecord>, ids: &[&str]) -> TestFleet {
    TestFleet::restored(TOKEN, records, WALL_MS, ids)
}

fn submission(id: u64) -> StoreRecord {
    let job = job(vec![step(1, 1_000)]);
    StoreRecord::Submission(
        JobId(id),
        JobSubmission {
            queue: route(),
            job,
            accepted_ms: 0,
            organisation: None,
        },
    )
}

fn advance_round(fleet: &mut TestFleet) -> Vec<StartCommand> {
    fleet.advance(100);
    let clock = fleet.clock();
    fleet.answer_holds(|_| Some(empty_response(clock)));
    fleet.advance(10);
    fleet.starts()
}

#[test]
fn unregistered_host() {
    // The runner of h2 is cut off and its entry has lapsed. The work may still run there.
    let mut fleet = restored_fleet(vec![submission(7)], &["r1"]);
    fleet.list_hosts(vec![
        host("h1", fleet::POOL, Some("r1")),
        host("h2", fleet::POOL, None),
    ]);
    let end = fleet.now + max_lapse_delay();
    while fleet.now.0 + 200 < end.0 {
        let starts = advance_round(&mut fleet);
        assert!(
            starts.is_empty(),
            "work was started again while it may run on h2"
        );
    }
    let starts: Vec<StartCommand> = (0..10).flat_map(|_| advance_round(&mut fleet)).collect();
    assert_eq!(starts.len(), 1);
}

#[test]
fn all_answered() {
    let mut fleet = restored_fleet(vec![submission(7)], &["r1"]);
    fleet.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    let starts: Vec<StartCommand> = (0..4).flat_map(|_| advance_round(&mut fleet)).collect();
    assert_eq!(
        starts.len(),
        1,
        "recovered work waits although every runner has responded"
    );
    assert!(
        starts[0].run > 1,
        "the run number may have been used by an earlier owner"
    );
}

/// Advances the clock while all runners but one respond to hold calls.
fn advance_without(fleet: &mut TestFleet, silent: &str) -> Vec<StartCommand> {
    fleet.advance(100);
    let clock = fleet.clock();
    fleet.answer_holds_by_id(|id| (id != silent).then(|| empty_response(clock)));
    fleet.advance(10);
    fleet.starts()
}

#[test]
fn stale_runner_entry() {
    // r0 was the runner of h1 before the host moved. Its entry is removed only seconds later.
    let mut fleet = restored_fleet(vec![submission(7)], &["r0", "r1"]);
    fleet.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    let starts: Vec<StartCommand> = (0..4)
        .flat_map(|_| advance_without(&mut fleet, "r0"))
        .collect();
    assert_eq!(
        starts.len(),
        1,
        "recovered work waits for a runner that has ended"
    );
}

#[test]
fn other_pool_is_cut_off() {
    let mut fleet = restored_fleet(vec![submission(7)], &["r1", "r2"]);
    fleet.runners[1].service = "bindery".to_owned();
    fleet.list_runners();
    fleet.list_hosts(vec![
        host("h1", fleet::POOL, Some("r1")),
        host("h2", "bindery", Some("r2")),
    ]);
    let starts: Vec<StartCommand> = (0..4)
        .flat_map(|_| advance_without(&mut fleet, "r2"))
        .collect();
    assert_eq!(
        starts.len(),
        1,
        "recovered work waits for a host of another pool that is cut off"
    );
}

#[test]
fn new_job_starts_immediately() {
    let mut fleet = restored_fleet(vec![submission(7)], &["r1"]);
    fleet.list_hosts(vec![
        host("h1", fleet::POOL, Some("r1")),
        host("h2", fleet::POOL, None),
    ]);
    advance_round(&mut fleet);
    fleet.submit(8, job(vec![step(1, 1_000)]));
    fleet.store();
    fleet.advance(10);
    let jobs: Vec<JobId> = fleet.starts().iter().map(|start| start.name.job).collect();
    assert_eq!(jobs, [JobId(8)]);
}

#[test]
fn running_is_adopted() {
    let mut before = TestFleet::new(1, &["r1"]);
    before.answer_first_holds();
    let start = before.submit_work(7, vec![step(1, 1_000)]).remove(0);
    let mut fleet = restored_fleet(vec![submission(7)], &["r1"]);
    fleet.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    for _ in 0..10 {
        fleet.advance(100);
        let mut response = empty_response(fleet.clock());
        response.running.push(listed_run(&start));
        fleet.answer_holds(|_| Some(response.clone()));
    }
    assert!(fleet.starts().is_empty(), "adopted work was started again");
}

#[test]
fn stored_end_stands() {
    let progress = JobProgress {
        phase: JobPhase::Cancelled,
        ..JobProgress::default()
    };
    let records = vec![StoreRecord::Progress(JobId(7), progress), submission(7)];
    let mut fleet = restored_fleet(records, &["r1"]);
    fleet.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    let starts: Vec<StartCommand> = (0..80).flat_map(|_| advance_round(&mut fleet)).collect();
    assert!(
        starts.is_empty(),
        "a cancelled job was started by the next owner"
    );
    let shown = fleet.call(9, JobCall::State(JobId(7)));
    assert_eq!(shown, Some(CallResponse::State(JobPhase::Cancelled)));
}

#[test]
fn failure_counts_once() {
    // The earlier owner stored two failed runs and ended before it acknowledged the second.
    let progress = JobProgress {
        started: true,
        failures: vec![(0, vec![1, 2])],
        ..JobProgress::default()
    };
    let records = vec![StoreRecord::Progress(JobId(7), progress), submission(7)];
    let mut fleet = restored_fleet(records, &["r1"]);
    fleet.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    fleet.advance(100);
    let mut response = empty_response(fleet.clock());
    response.ended.push(EndedRun {
        number: 5,
        name: ItemName::try_from("0000000000000007.0.0.0").expect("a name"),
        run: 2,
        kind: EndKind::Failed,
        checkpoint: String::new(),
    });
    fleet.answer_holds(|_| Some(response.clone()));
    let shown = fleet.call(9, JobCall::State(JobId(7)));
    assert_eq!(
        shown,
        Some(CallResponse::State(JobPhase::Running)),
        "two failed runs were counted as three"
    );
    let starts: Vec<StartCommand> = (0..4).flat_map(|_| advance_round(&mut fleet)).collect();
    assert_eq!(starts.len(), 1);
}

/// Jobs that were late before the change of the owner must not take capacity from jobs that can be in time.
#[test]
fn recovered_job_keeps_its_age() {
    let old = StoreRecord::Submission(
        JobId(7),
        JobSubmission {
            queue: route(),
            job: job(vec![step(1, 8_000)]),
            accepted_ms: WALL_MS - 10_000,
            organisation: None,
        },
    );
    let mut fleet = restored_fleet(vec![old], &["r1"]);
    fleet.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    fleet.submit(8, job(vec![step(1, 8_000)]));
    fleet.store();
    let starts: Vec<StartCommand> = (0..4).flat_map(|_| advance_round(&mut fleet)).collect();
    assert_eq!(starts[0].name.job, JobId(8));
}

/// The jobs may be read before the configuration. Recovered work must not be ignored because no pools are known yet.
#[test]
fn late_configuration() {
    let mut fleet = restored_fleet(vec![submission(7)], &["r1"]);
    fleet.owner = OwnerState::new(TOKEN, Arc::default(), fleet.now);
    fleet.owner.restore(vec![submission(7)], fleet.now, WALL_MS);
    fleet.list_runners();
    fleet.advance(200);
    fleet.owner.set_rules(rules());
    fleet.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    let starts: Vec<StartCommand> = (0..6).flat_map(|_| advance_round(&mut fleet)).collect();
    assert_eq!(starts.len(), 1, "recovered work never starts");
}

/// The earlier owner may have extended the lease of its work immediately before the first response to this owner. The
/// entry of the runner lapses before this owner extends the lease.
#[test]
fn earlier_lease_lasts() {
    let mut before = TestFleet::new(1, &["r1"]);
    before.answer_first_holds();
    let start = before.submit_work(7, vec![step(1, 1_000)]).remove(0);
    let mut fleet = restored_fleet(vec![submission(7)], &["r1", "r2"]);
    fleet.list_hosts(vec![
        host("h1", fleet::POOL, Some("r1")),
        host("h2", fleet::POOL, Some("r2")),
    ]);
    fleet.advance(100);
    let empty = empty_response(fleet.clock());
    let mut response = empty.clone();
    response.running.push(listed_run(&start));
    // An end that has to be stored delays the next hold call, which would extend the lease.
    response.ended.push(EndedRun {
        number: 1,
        name: ItemName::try_from("00000000000000ff.0.0.0").expect("a name"),
        run: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    });
    fleet.answer_holds_by_id(|id| Some(if id == "r1" { &response } else { &empty }.clone()));
    fleet.advance(100);
    fleet.runners.retain(|report| report.id != "r1");
    fleet.list_runners();
    // Less than what counts as a stall of the owner.
    fleet.advance(390);
    assert_eq!(
        fleet.starts(),
        [],
        "work was started again within its lease"
    );
}
