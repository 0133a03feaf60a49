//! Guards against an owner that recovers more work than its memory holds: nothing is lost, and what does not fit waits.

mod fleet;

use {
    fleet::{TestFleet, empty_response, job, listed_run, step, stored_records},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::{JobId, JobPhase, JobSpec, StepSpec},
        owner::{CallResponse, JobCall, JobMemoryLimit, OwnerCommand, StartCommand},
        runners::HoldResponse,
    },
};

/// Holds one of the jobs of the tests, and ordinary ones beside it.
const SMALL_LIMIT: JobMemoryLimit = JobMemoryLimit { bytes: 1_000_000 };
const JOBS: u64 = 8;
/// Longer than any lease of an earlier owner.
const LEASE_LAPSE: Millis = Millis(20_000);

fn large_job() -> JobSpec {
    job(vec![StepSpec {
        estimate_ms: 1,
        ..step(1_400, 8_000)
    }])
}

/// The next owner, with little memory, of eight large jobs of which the first one has started. Its runner has not responded
/// to it yet.
fn next_owner() -> (TestFleet, StartCommand) {
    let mut first = TestFleet::new(1, &["r1"]);
    first.answer_first_holds();
    let mut batches = Vec::new();
    for id in 1..=JOBS {
        first.submit(id, large_job());
        batches.extend(first.store());
    }
    first.advance(10);
    let start = first.starts().remove(0);
    let records = stored_records(&batches);
    let mut next = TestFleet::restored_within(SMALL_LIMIT, 2, records, 0, &["r1"]);
    next.owner.texts_restored(Vec::new(), true);
    (next, start)
}

/// Lets some rounds of decisions pass; the runner lists `running`.
fn settle(fleet: &mut TestFleet, running: &[StartCommand]) {
    for _ in 0..10 {
        let response = HoldResponse {
            running: running.iter().map(listed_run).collect(),
            ..empty_response(fleet.clock())
        };
        fleet.answer_holds(|_| Some(response.clone()));
        fleet.advance(110);
        fleet.store();
    }
}

fn phase(fleet: &mut TestFleet, id: u64) -> Option<CallResponse> {
    fleet.commands.clear();
    fleet.call(100 + id, JobCall::State(JobId(id)))
}

/// Guards against recovered jobs that exceed the limit, that are lost, or that leave no memory for ordinary jobs.
#[test]
fn recovered_backlog() {
    let (mut fleet, _) = next_owner();
    settle(&mut fleet, &[]);
    assert!(fleet.owner.job_bytes() <= SMALL_LIMIT.bytes as u64);
    for id in 1..=JOBS {
        let shown = phase(&mut fleet, id);
        assert!(matches!(shown, Some(CallResponse::State(_))), "{shown:?}");
    }
    fleet.submit(50, job(vec![step(2, 100)]));
    fleet.store();
    assert_eq!(fleet.reply(50), Some(CallResponse::Accepted));
    // A repeated submission of a dormant job is that of a known one.
    fleet.submit(JOBS, large_job());
    assert_eq!(
        fleet.call(60, JobCall::Cancel(JobId(60))),
        Some(CallResponse::Gone)
    );
    assert_eq!(fleet.reply(JOBS), Some(CallResponse::Accepted));
}

/// Guards against jobs that wait for ever: when others have ended, they start.
#[test]
fn next_in_turn() {
    let (mut fleet, _) = next_owner();
    settle(&mut fleet, &[]);
    for id in 1..JOBS {
        fleet.call(200 + id, JobCall::Cancel(JobId(id)));
        fleet.store();
    }
    settle(&mut fleet, &[]);
    fleet.now = fleet.now + LEASE_LAPSE;
    settle(&mut fleet, &[]);
    let starts = fleet.starts();
    assert!(starts.iter().any(|start| start.name.job == JobId(JOBS)));
}

/// Guards against a run of a dormant job that is stopped as unknown, or started again elsewhere.
#[test]
fn listed_run_of_dormant_job() {
    let (mut fleet, start) = next_owner();
    // The runner has a run of the last job, of which no record tells.
    let mut last = start;
    last.name.job = JobId(JOBS);
    settle(&mut fleet, &[last.clone()]);
    let is_stop = |command: &OwnerCommand| matches!(command, OwnerCommand::Stop(stop) if stop.name == last.name);
    assert!(!fleet.commands.iter().any(is_stop));
    assert!(!fleet.starts().iter().any(|start| start.name == last.name));
    let shown = phase(&mut fleet, JOBS);
    assert_eq!(shown, Some(CallResponse::State(JobPhase::Running)));
}

/// Guards against a job that never gets memory because it alone is larger than the limit.
#[test]
fn job_above_limit() {
    let mut first = TestFleet::new(1, &["r1"]);
    first.submit(1, large_job());
    let records = stored_records(&first.store());
    let limit = JobMemoryLimit { bytes: 10_000 };
    let mut next = TestFleet::restored_within(limit, 2, records, 0, &["r1"]);
    next.owner.texts_restored(Vec::new(), true);
    settle(&mut next, &[]);
    next.now = next.now + LEASE_LAPSE;
    settle(&mut next, &[]);
    assert!(!next.starts().is_empty());
}

/// The next owner of jobs of an owner without work, with a limit.
fn successor(limit: JobMemoryLimit, jobs: &[JobSpec]) -> TestFleet {
    let mut first = TestFleet::new(1, &["r1"]);
    for (id, spec) in (1..).zip(jobs) {
        first.submit(id, spec.clone());
    }
    let records = stored_records(&first.store());
    let mut next = TestFleet::restored_within(limit, 2, records, 0, &["r1"]);
    next.owner.texts_restored(Vec::new(), true);
    next
}

/// Bytes that the owner's jobs hold once none is dormant.
fn bytes_of(jobs: &[JobSpec]) -> u64 {
    successor(JobMemoryLimit::default(), jobs).owner.job_bytes()
}

/// Guards against jobs that wait at an owner with as much memory as the one that has accepted them.
#[test]
fn equal_successor() {
    let jobs = [
        long_running(200),
        large_job(),
        long_running(400),
        large_job(),
    ];
    let bytes = bytes_of(&jobs);
    let limit = JobMemoryLimit {
        bytes: bytes as usize,
    };
    assert_eq!(successor(limit, &jobs).owner.job_bytes(), bytes);
}

/// Guards against jobs that end and wait for ever behind long-running ones: for these there may never be memory.
#[test]
fn behind_long_running() {
    let jobs = [
        long_running(400),
        long_running(400),
        large_job(),
        large_job(),
    ];
    let limit = JobMemoryLimit { bytes: 100_000 };
    let mut fleet = successor(limit, &jobs);
    assert!(fleet.owner.job_bytes() < bytes_of(&jobs) / 2);
    settle(&mut fleet, &[]);
    fleet.now = fleet.now + LEASE_LAPSE;
    settle(&mut fleet, &[]);
    let starts = fleet.starts();
    assert!(starts.iter().all(|start| start.name.job == JobId(3)));
    assert!(!starts.is_empty());
}

fn long_running(count: u32) -> JobSpec {
    job(vec![StepSpec {
        long_running: true,
        ..step(count, 8_000)
    }])
}
