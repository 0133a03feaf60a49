//! Guards against ended jobs that fill the memory of a small host, or that run again once their work items are forgotten.

mod fleet;

use {
    fleet::{TestFleet, empty, ended, job, listed, step},
    goldcreststall_dispatch::{
        jobs::{JobId, JobPhase, JobSpec, JobState, WorkItem},
        owner::{CallResponse, JobCall, OwnerCommand},
        records::JobSubmission,
        runners::EndKind,
    },
};

#[test]
fn over_job_is_small() {
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
    fleet.pass(100);
    let mut response = empty(fleet.clock());
    response.ended.push(ended(1, &starts[0], EndKind::Done));
    fleet.answer_holds(|_| Some(response.clone()));
    fleet.store();
    for _ in 0..5 {
        fleet.pass(100);
        let clock = fleet.clock();
        fleet.answer_holds(|_| Some(empty(clock)));
    }
    // A command that was carried out late: the run is listed although its job is over.
    fleet.submit(8, job(vec![step(1, 1_000)]));
    fleet.store();
    for _ in 0..3 {
        fleet.pass(100);
        let mut response = empty(fleet.clock());
        response.running.push(listed(&starts[0]));
        fleet.answer_holds(|_| Some(response.clone()));
    }
    fleet.pass(1);
    let late = starts[0].name;
    let stopped = fleet
        .commands
        .iter()
        .any(|command| matches!(command, OwnerCommand::Stop(stop) if stop.name == late));
    assert!(stopped);
    let shown = fleet.call(9, JobCall::State(JobId(1)));
    assert_eq!(shown, Some(CallResponse::State(JobPhase::Completed)));
}
