//! Guards against accepted jobs that hold more memory than their owner has, and against refusals that are not true.

mod fleet;

use {
    fleet::{TestFleet, empty_response, job, step},
    goldcreststall_dispatch::{
        jobs::{JobId, JobSpec, StepSpec},
        owner::{CallResponse, JobCall, JobMemoryLimit, RefusalReason},
    },
};

const LIMIT: JobMemoryLimit = JobMemoryLimit { bytes: 1_000_000 };
/// Work items of a job that takes more than half of the limit.
const TOO_MANY_ITEMS: u32 = 3_000;
/// Work items of a job that takes about an eighth of the limit.
const MANY_ITEMS: u32 = 500;
const JOBS: u64 = 40;

fn limited_fleet() -> TestFleet {
    let mut fleet = TestFleet::new(1, &["r1", "r2"]);
    fleet.owner.limit_job_memory(LIMIT);
    fleet.answer_first_holds();
    fleet
}

/// Work that the backlog of its pool does not limit.
fn short_step(count: u32) -> StepSpec {
    StepSpec {
        estimate_ms: 1,
        ..step(count, 100)
    }
}

fn long_running(count: u32) -> JobSpec {
    job(vec![StepSpec {
        long_running: true,
        ..step(count, 100)
    }])
}

/// Submits a job; returns the response once it is stored, if it is accepted.
fn submit(fleet: &mut TestFleet, id: u64, spec: JobSpec) -> CallResponse {
    fleet.submit(id, spec);
    fleet.store();
    fleet.reply(id).expect("a response")
}

fn is_refused(response: CallResponse) -> bool {
    matches!(response, CallResponse::Busy(after) if after.0 >= 1_000)
}

/// Guards against a job that takes the memory of all others, and against a refused one that is stored or runs.
#[test]
fn large_job() {
    let mut fleet = limited_fleet();
    fleet.submit(1, job(vec![short_step(TOO_MANY_ITEMS)]));
    assert!(fleet.store().is_empty(), "a refused job is stored");
    assert!(is_refused(fleet.reply(1).expect("a response")));
    assert!(!fleet.owner.knows_job(JobId(1)));
    let counts = fleet.owner.refusal_counts();
    assert_eq!(counts[RefusalReason::MemoryFull as usize], 1);
    let ordinary = submit(&mut fleet, 2, job(vec![short_step(2)]));
    assert_eq!(ordinary, CallResponse::Accepted);
}

/// Guards against jobs that exceed the limit together, and against ordinary ones that are refused with them.
#[test]
fn many_jobs() {
    let mut fleet = limited_fleet();
    let responses: Vec<CallResponse> = (1..=JOBS)
        .map(|id| submit(&mut fleet, id, job(vec![short_step(MANY_ITEMS)])))
        .collect();
    assert!(responses.iter().any(|response| is_refused(*response)));
    assert!(responses.contains(&CallResponse::Accepted));
    assert!(fleet.owner.job_bytes() <= LIMIT.bytes as u64);
    let ordinary = submit(&mut fleet, JOBS + 1, job(vec![short_step(2)]));
    assert_eq!(ordinary, CallResponse::Accepted);
}

/// Guards against long-running and recurring jobs that leave no memory for jobs that end.
#[test]
fn lasting_jobs() {
    let mut fleet = limited_fleet();
    for id in 1..=JOBS {
        submit(&mut fleet, id, long_running(MANY_ITEMS / 4));
    }
    let occurrences = JobSpec {
        start_at_ms: u64::MAX,
        times: MANY_ITEMS,
        ..job(vec![short_step(1)])
    };
    assert!(is_refused(submit(&mut fleet, JOBS + 1, occurrences)));
    assert!(fleet.owner.job_bytes() <= LIMIT.bytes as u64 / 2);
    let ending = submit(&mut fleet, JOBS + 2, job(vec![short_step(MANY_ITEMS)]));
    assert_eq!(ending, CallResponse::Accepted);
}

/// Guards against a refusal of a job that was accepted before: its repeated submission is still accepted.
#[test]
fn repeated_submission() {
    let mut fleet = limited_fleet();
    let spec = job(vec![short_step(MANY_ITEMS)]);
    for id in 1..=JOBS {
        submit(&mut fleet, id, spec.clone());
    }
    fleet.commands.clear();
    assert_eq!(submit(&mut fleet, 1, spec), CallResponse::Accepted);
}

/// Guards against a limit that the largest job meets at an idle owner, with the least memory that entry hosts have.
#[test]
fn largest_jobs() {
    let limit = JobMemoryLimit::derive(Some(160));
    for spec in [job(vec![short_step(20_000)]), long_running(20_000)] {
        let mut fleet = limited_fleet();
        fleet.owner.limit_job_memory(limit);
        assert_eq!(submit(&mut fleet, 1, spec), CallResponse::Accepted);
    }
}

/// Guards against memory that stays counted when a job has ended, and against ended jobs that are not counted at all.
#[test]
fn ended_jobs() {
    let mut fleet = limited_fleet();
    let before = fleet.owner.job_bytes();
    submit(&mut fleet, 1, long_running(MANY_ITEMS));
    let unfinished = fleet.owner.job_bytes();
    fleet.call(JOBS, JobCall::Cancel(JobId(1)));
    fleet.store();
    for _ in 0..50 {
        let clock = fleet.clock();
        fleet.answer_holds(|_| Some(empty_response(clock)));
        fleet.advance(100);
    }
    let ended = fleet.owner.job_bytes();
    assert!(before < ended && ended < unfinished / 10);
}

/// Guards against ended jobs that leave no memory for new ones: with the least memory that entry hosts have, those of two
/// minutes at 800 a second fit.
#[test]
fn rate_of_ended_jobs() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    for id in 1..=JOBS {
        submit(&mut fleet, id, job(vec![short_step(1)]));
        fleet.call(JOBS + id, JobCall::Cancel(JobId(id)));
        fleet.store();
    }
    for _ in 0..20 {
        fleet.advance(100);
    }
    let job_bytes = fleet.owner.job_bytes() / JOBS;
    let limit = JobMemoryLimit::derive(Some(160));
    assert!(800 * 125 * job_bytes <= limit.bytes as u64, "{job_bytes}");
}

/// Guards against an owner that counts no recovered job.
#[test]
fn recovered_jobs() {
    let mut fleet = limited_fleet();
    submit(&mut fleet, 1, long_running(MANY_ITEMS));
    let held = fleet.owner.job_bytes();
    let mut first = limited_fleet();
    first.submit(1, long_running(MANY_ITEMS));
    let records = fleet::stored_records(&first.store());
    let next = TestFleet::restored(2, records, 0, &["r1", "r2"]);
    // The text is read after the other records.
    let text_bytes = "text".len() as u64;
    assert_eq!(next.owner.job_bytes() + 2 * text_bytes, held);
}
