//! Guards against work that runs twice after a change of the owner: what an earlier owner started may still run
//! where the new one cannot look.

mod fleet;

use {
    fleet::{TestFleet, empty, host, job, listed, route, rules, runner, step},
    goldcreststall_core::ids::LocalTime,
    goldcreststall_dispatch::{
        jobs::{ItemName, JobId, JobPhase},
        owner::{CallResponse, JobCall, OwnerState, StartCommand},
        records::{JobProgress, JobSubmission, StoreRecord},
        runners::{EndKind, EndedRun, longest_lapse},
    },
    std::sync::Arc,
};

const TOKEN: u64 = 50;
const WALL_MS: u64 = 1_800_000_000_000;

fn restored(records: Vec<StoreRecord>, ids: &[&str]) -> TestFleet {
    let now = LocalTime(100_000);
    let mut fleet = TestFleet {
        owner: OwnerState::new(TOKEN, rules(), now),
        now,
        commands: Vec::new(),
        runners: ids.iter().map(|id| runner(id)).collect(),
    };
    fleet.owner.restore(records, now, WALL_MS);
    fleet.list_runners();
    fleet
}

fn submission(id: u64) -> StoreRecord {
    let job = job(vec![step(1, 1_000)]);
    StoreRecord::Submission(
        JobId(id),
        JobSubmission {
            queue: route(),
            job,
            accepted_ms: 0,
        },
    )
}

fn pass_round(fleet: &mut TestFleet) -> Vec<StartCommand> {
    fleet.pass(100);
    let clock = fleet.clock();
    fleet.answer_holds(|_| Some(empty(clock)));
    fleet.pass(10);
    fleet.starts()
}

#[test]
fn unregistered_host() {
    // The runner of h2 is cut off and its entry has lapsed: the work may run there.
    let mut fleet = restored(vec![submission(7)], &["r1"]);
    fleet.list_hosts(vec![
        host("h1", fleet::POOL, Some("r1")),
        host("h2", fleet::POOL, None),
    ]);
    let end = fleet.now + longest_lapse();
    while fleet.now.0 + 200 < end.0 {
        let starts = pass_round(&mut fleet);
        assert!(
            starts.is_empty(),
            "work was started again while it may run on h2"
        );
    }
    let starts: Vec<StartCommand> = (0..10).flat_map(|_| pass_round(&mut fleet)).collect();
    assert_eq!(starts.len(), 1);
}

#[test]
fn all_answered() {
    let mut fleet = restored(vec![submission(7)], &["r1"]);
    fleet.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    let starts: Vec<StartCommand> = (0..4).flat_map(|_| pass_round(&mut fleet)).collect();
    assert_eq!(
        starts.len(),
        1,
        "recovered work waits although every runner has answered"
    );
    assert!(
        starts[0].run > 1,
        "the number may have been used by an earlier owner"
    );
}

/// Answers the hold calls of one runner only.
fn pass_with_silent(fleet: &mut TestFleet, silent: &str) -> Vec<StartCommand> {
    fleet.pass(100);
    let clock = fleet.clock();
    fleet.answer_holds_of(|id| (id != silent).then(|| empty(clock)));
    fleet.pass(10);
    fleet.starts()
}

#[test]
fn lingering_entry() {
    // r0 was the runner of h1 before the host moved; its entry is removed seconds later.
    let mut fleet = restored(vec![submission(7)], &["r0", "r1"]);
    fleet.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    let starts: Vec<StartCommand> = (0..4)
        .flat_map(|_| pass_with_silent(&mut fleet, "r0"))
        .collect();
    assert_eq!(
        starts.len(),
        1,
        "a runner that has ended holds recovered work back"
    );
}

#[test]
fn other_pool_is_cut() {
    let mut fleet = restored(vec![submission(7)], &["r1", "r2"]);
    fleet.runners[1].service = "bindery".to_owned();
    fleet.list_runners();
    fleet.list_hosts(vec![
        host("h1", fleet::POOL, Some("r1")),
        host("h2", "bindery", Some("r2")),
    ]);
    let starts: Vec<StartCommand> = (0..4)
        .flat_map(|_| pass_with_silent(&mut fleet, "r2"))
        .collect();
    assert_eq!(
        starts.len(),
        1,
        "a cut host holds the work of another pool back"
    );
}

#[test]
fn fresh_job_at_once() {
    let mut fleet = restored(vec![submission(7)], &["r1"]);
    fleet.list_hosts(vec![
        host("h1", fleet::POOL, Some("r1")),
        host("h2", fleet::POOL, None),
    ]);
    pass_round(&mut fleet);
    fleet.submit(8, job(vec![step(1, 1_000)]));
    fleet.store();
    fleet.pass(10);
    let jobs: Vec<JobId> = fleet.starts().iter().map(|start| start.name.job).collect();
    assert_eq!(jobs, [JobId(8)]);
}

#[test]
fn running_is_adopted() {
    let mut before = TestFleet::new(1, &["r1"]);
    before.greet();
    let start = before.submit_work(7, vec![step(1, 1_000)]).remove(0);
    let mut fleet = restored(vec![submission(7)], &["r1"]);
    fleet.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    for _ in 0..10 {
        fleet.pass(100);
        let mut response = empty(fleet.clock());
        response.running.push(listed(&start));
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
    let mut fleet = restored(records, &["r1"]);
    fleet.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    let starts: Vec<StartCommand> = (0..80).flat_map(|_| pass_round(&mut fleet)).collect();
    assert!(
        starts.is_empty(),
        "a cancelled job was started by the next owner"
    );
    let shown = fleet.call(9, JobCall::State(JobId(7)));
    assert_eq!(shown, Some(CallResponse::State(JobPhase::Cancelled)));
}

#[test]
fn failure_counts_once() {
    // The earlier owner stored two failed runs and ended before it acknowledged the second one.
    let progress = JobProgress {
        begun: true,
        fails: vec![(0, vec![1, 2])],
        ..JobProgress::default()
    };
    let records = vec![StoreRecord::Progress(JobId(7), progress), submission(7)];
    let mut fleet = restored(records, &["r1"]);
    fleet.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    fleet.pass(100);
    let mut response = empty(fleet.clock());
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
        "two failed runs of three were taken for three"
    );
    let starts: Vec<StartCommand> = (0..4).flat_map(|_| pass_round(&mut fleet)).collect();
    assert_eq!(starts.len(), 1);
}

/// Jobs that were late before the change of the owner must not take room from jobs that can be in time.
#[test]
fn recovered_job_keeps_its_age() {
    let old = StoreRecord::Submission(
        JobId(7),
        JobSubmission {
            queue: route(),
            job: job(vec![step(1, 8_000)]),
            accepted_ms: WALL_MS - 10_000,
        },
    );
    let mut fleet = restored(vec![old], &["r1"]);
    fleet.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    fleet.submit(8, job(vec![step(1, 8_000)]));
    fleet.store();
    let starts: Vec<StartCommand> = (0..4).flat_map(|_| pass_round(&mut fleet)).collect();
    assert_eq!(starts[0].name.job, JobId(8));
}

/// The store may give the jobs before the configuration: recovered work must not be forgotten for want of known pools.
#[test]
fn late_configuration() {
    let mut fleet = restored(vec![submission(7)], &["r1"]);
    fleet.owner = OwnerState::new(TOKEN, Arc::default(), fleet.now);
    fleet.owner.restore(vec![submission(7)], fleet.now, WALL_MS);
    fleet.list_runners();
    fleet.pass(200);
    fleet.owner.set_rules(rules());
    fleet.list_hosts(vec![host("h1", fleet::POOL, Some("r1"))]);
    let starts: Vec<StartCommand> = (0..6).flat_map(|_| pass_round(&mut fleet)).collect();
    assert_eq!(starts.len(), 1, "recovered work never starts");
}
