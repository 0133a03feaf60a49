//! Guards against responses that are sent, and work that is started, before the records they depend on are stored.

mod fleet;

use {
    fleet::{TestFleet, empty_response, ended_run, job, step},
    goldcreststall_dispatch::{
        jobs::{JobId, JobPhase},
        owner::{CallResponse, JobCall, OwnerCommand},
        runners::EndKind,
    },
};

#[test]
fn accepted_when_stored() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    fleet.submit(7, job(vec![step(1, 1_000)]));
    fleet.advance(10);
    assert_eq!(fleet.reply(7), None);
    assert!(
        fleet.starts().is_empty(),
        "work of a job that may be refused has started"
    );
    fleet.store();
    fleet.advance(10);
    assert_eq!(fleet.reply(7), Some(CallResponse::Accepted));
    assert_eq!(fleet.starts().len(), 1);
}

#[test]
fn refused_when_unsent() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    fleet.submit(7, job(vec![step(1, 1_000)]));
    let sent = fleet.owner.take_batch().expect("a batch");
    fleet.submit(8, job(vec![step(1, 1_000)]));
    fleet.owner.refuse_unsent();
    fleet.advance(10);
    assert_eq!(fleet.reply(8), Some(CallResponse::Unavailable));
    assert_eq!(fleet.reply(7), None, "a job that may be stored was refused");
    fleet.owner.batch_stored(sent.id, fleet.now);
    fleet.advance(10);
    let jobs: Vec<JobId> = fleet.starts().iter().map(|start| start.name.job).collect();
    assert_eq!(jobs, [JobId(7)]);
}

#[test]
fn end_stored_first() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    fleet.submit(7, job(vec![step(1, 1_000)]));
    fleet.store();
    fleet.advance(10);
    let starts = fleet.starts();
    fleet.accept_starts(&starts);
    fleet.advance(50);
    let mut response = empty_response(fleet.clock());
    response.ended.push(ended_run(1, &starts[0], EndKind::Done));
    fleet.answer_holds(|_| Some(response.clone()));
    let state = JobCall::State(JobId(7));
    let shown = fleet.call(20, state.clone());
    assert_eq!(
        shown,
        Some(CallResponse::State(JobPhase::Running)),
        "the phase was shown before it was stored"
    );
    fleet.advance(300);
    let last_seen = |fleet: &TestFleet| {
        fleet.commands.iter().find_map(|command| match command {
            OwnerCommand::Hold { last_seen, .. } => Some(*last_seen),
            _ => None,
        })
    };
    assert_eq!(
        last_seen(&fleet),
        Some(0),
        "an end was acknowledged before it was stored"
    );
    let clock = fleet.clock();
    fleet.answer_holds(|_| Some(empty_response(clock)));
    fleet.store();
    fleet.advance(300);
    assert_eq!(last_seen(&fleet), Some(1));
    let shown = fleet.call(21, state);
    assert_eq!(shown, Some(CallResponse::State(JobPhase::Completed)));
}
