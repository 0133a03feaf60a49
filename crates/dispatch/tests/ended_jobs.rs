//! Guards against ended jobs that fill the memory of a small host, and against ended jobs that run again after their
//! work items were removed from memory.

mod fleet;

use {
    fleet::{TestFleet, empty_response, ended_run, job, listed_run, step},
    goldcreststall_dispatch::{
        jobs::{JobId, JobPhase, JobSpec, JobState, WorkItem},
        owner::{CallResponse, JobCall, JournalBatch, OwnerCommand},
        records::{JobSubmission, StoreRecord},
        runners::EndKind,
    },
};

#[test]
fn ended_job_is_small() {
    let submission = JobSubmission {
        queue: fleet::route(),
        job: job(vec![step(500, 1_000)]),
        accepted_ms: 0,
        organisation: None,
    };
    let mut state = JobState::new(JobId(7), submission, goldcreststall_core::ids::LocalTime(0));
    assert!(!state.has_ended());
    state.phase = JobPhase::Completed;
    state.stored_phase = JobPhase::Completed;
    assert!(state.has_ended());
    state.shrink();
    assert_eq!(state.items.capacity() * size_of::<WorkItem>(), 0);
    assert_eq!(state.spec, JobSpec::default());
    assert_eq!(state.visible_phase(), JobPhase::Completed);
}

#[test]
fn late_run_is_stopped() {
    let (mut fleet, starts) = TestFleet::with_work(&["r1"], vec![step(1, 1_000)]);
    fleet.advance(100);
    let mut response = empty_response(fleet.clock());
    response.ended.push(ended_run(1, &starts[0], EndKind::Done));
    fleet.answer_holds(|_| Some(response.clone()));
    fleet.store();
    for _ in 0..5 {
        fleet.advance(100);
        let clock = fleet.clock();
        fleet.answer_holds(|_| Some(empty_response(clock)));
    }
    // A start command was executed late: the run is listed although its job has ended.
    fleet.submit(8, job(vec![step(1, 1_000)]));
    fleet.store();
    for _ in 0..3 {
        fleet.advance(100);
        let mut response = empty_response(fleet.clock());
        response.running.push(listed_run(&starts[0]));
        fleet.answer_holds(|_| Some(response.clone()));
    }
    fleet.advance(1);
    let late = starts[0].name;
    let stopped = fleet
        .commands
        .iter()
        .any(|command| matches!(command, OwnerCommand::Stop(stop) if stop.name == late));
    assert!(stopped);
    let shown = fleet.call(9, JobCall::State(JobId(1)));
    assert_eq!(shown, Some(CallResponse::State(JobPhase::Completed)));
}

/// Returns the newest value of each key.
fn newest(batches: Vec<JournalBatch>) -> Vec<(String, Vec<u8>)> {
    let mut newest: Vec<(String, Vec<u8>)> = Vec::new();
    for (key, value) in batches.into_iter().flat_map(|batch| batch.records) {
        newest.retain(|(other, _)| *other != key);
        if !value.is_empty() {
            newest.push((key, value));
        }
    }
    newest
}

/// A new owner on a narrow link reads the store for seconds when the texts of all ended jobs are still there. Only ids
/// and phases are kept, and they are enough to answer callers and to recognise a repeated submission.
#[test]
fn stored_without_text() {
    let mut fleet = TestFleet::new(1, &[]);
    fleet.submit(1, job(vec![step(3, 1_000)]));
    let mut batches = fleet.store();
    fleet.call(2, JobCall::Cancel(JobId(1)));
    batches.extend(fleet.store());
    let stored = newest(batches);
    let bytes: usize = stored
        .iter()
        .map(|(key, value)| key.len() + value.len())
        .sum();
    assert!(bytes < 40, "an ended job takes {bytes} bytes in the store");

    let records = stored
        .iter()
        .map(|(key, value)| StoreRecord::decode(key, value).expect("a record"));
    let mut next = TestFleet::new(2, &["r1"]);
    next.owner.restore(records.collect(), next.now, 0);
    next.answer_first_holds();
    let shown = next.call(3, JobCall::State(JobId(1)));
    assert_eq!(shown, Some(CallResponse::State(JobPhase::Cancelled)));
    let starts = next.submit_work(1, vec![step(3, 1_000)]);
    assert_eq!(starts, Vec::new());
    assert_eq!(next.reply(1), Some(CallResponse::Accepted));
}
