//! Guards against ended jobs that fill the memory of a small host, and against ended jobs that run again after their
//! work items were removed from memory.

mod fleet;

use {
    fleet::{TestFleet, empty_response, ended_run, job, listed_run, step},
    goldcreststall_dispatch::{
        jobs::{JobId, JobPhase, JobSpec, JobState, WorkItem},
        owner::{CallResponse, JobCall, OwnerCommand},
        records::JobSubmission,
        runners::EndKind,
    },
};

#[test]
fn ended_job_is_small() {
    let submission = JobSubmission {
        queue: fleet::route(),
        job: job(vec![step(500, 1_000)]),
        accepted_ms: 0,
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
