//! Guards against starts that a runner rejects because the approval is missing, and against steps that never get one.

mod fleet;

use {
    fleet::{TestFleet, job, route, step},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::JobId,
        owner::{AdviceCommand, CallId, JobCall, OwnerCommand, StartResponse},
        records::JobSubmission,
        routes::{AdviceRule, RouteRule},
    },
};

const VALID: Millis = Millis(2_000);

/// Returns an owner with three runners and a job of two work items on a queue that needs approvals.
fn fleet_with_advice() -> TestFleet {
    let mut fleet = TestFleet::new(1, &["r1", "r2", "r3"]);
    fleet.answer_first_holds();
    let queue = RouteRule {
        advice: Some(AdviceRule { valid: VALID }),
        ..route()
    };
    let submission = JobSubmission {
        queue,
        job: job(vec![step(2, 1_000)]),
        accepted_ms: 0,
        organisation: None,
    };
    let call = JobCall::Submit(JobId(1), Box::new(submission));
    fleet.owner.call(CallId(1), call, fleet.now);
    fleet.store();
    fleet.advance(10);
    fleet
}

fn advice_commands(fleet: &mut TestFleet) -> Vec<AdviceCommand> {
    let mut advice_commands = Vec::new();
    fleet.commands.retain(|command| match command {
        OwnerCommand::Advise(command) => {
            advice_commands.push(command.clone());
            false
        }
        _ => true,
    });
    advice_commands
}

fn approve(fleet: &mut TestFleet, command: &AdviceCommand, id: &str) {
    let rows = vec![(id.to_owned(), format!("ticket-{id}"))];
    fleet.owner.advice_received(command, Some(rows), fleet.now);
    fleet.advance(10);
}

#[test]
fn only_approved_runners() {
    let mut fleet = fleet_with_advice();
    assert!(
        fleet.starts().is_empty(),
        "a work item started without an approval"
    );
    let commands = advice_commands(&mut fleet);
    assert_eq!(commands.len(), 1, "expected one request for the step");
    assert_eq!(commands[0].runners.len(), 3);
    assert_eq!(commands[0].name.to_string(), "0000000000000001.0.0");
    approve(&mut fleet, &commands[0], "r2");
    let starts = fleet.starts();
    assert_eq!(starts.len(), 2);
    for start in &starts {
        let (id, _) = fleet.owner.runner_address(start.runner).expect("a runner");
        assert_eq!((id, start.ticket.as_str()), ("r2", "ticket-r2"));
    }
}

#[test]
fn requested_again_later() {
    let mut fleet = fleet_with_advice();
    let commands = advice_commands(&mut fleet);
    fleet.owner.advice_received(&commands[0], None, fleet.now);
    fleet.advance(100);
    assert!(
        advice_commands(&mut fleet).is_empty(),
        "requested again immediately"
    );
    for _ in 0..40 {
        fleet.advance(100);
    }
    assert_eq!(advice_commands(&mut fleet).len(), 1);
}

#[test]
fn refused_ticket_is_renewed() {
    let mut fleet = fleet_with_advice();
    let commands = advice_commands(&mut fleet);
    approve(&mut fleet, &commands[0], "r2");
    for start in fleet.starts() {
        let response = StartResponse::NoTicket;
        assert!(fleet.owner.start_answered(&start, response, fleet.now));
    }
    fleet.advance(10);
    assert!(fleet.starts().is_empty());
    let again = advice_commands(&mut fleet);
    assert_eq!(again.len(), 1);
    approve(&mut fleet, &again[0], "r2");
    assert_eq!(fleet.starts().len(), 2);
}

#[test]
fn old_ticket_is_not_sent() {
    let mut fleet = fleet_with_advice();
    let commands = advice_commands(&mut fleet);
    let rows = vec![("r2".to_owned(), "ticket".to_owned())];
    fleet
        .owner
        .advice_received(&commands[0], Some(rows), fleet.now);
    fleet.now = fleet.now + VALID;
    fleet.advance(10);
    assert!(fleet.starts().is_empty());
}

/// Guards against results that are kept for a job which ended while the service decided.
#[test]
fn answer_for_ended_job() {
    let mut fleet = fleet_with_advice();
    let command = advice_commands(&mut fleet).remove(0);
    fleet.call(2, JobCall::Cancel(JobId(1)));
    fleet.store();
    fleet.advance(100);
    fleet.owner.take_events();
    approve(&mut fleet, &command, "r1");
    let events = fleet.owner.take_events();
    let taken = events.iter().find(|event| event.event == "advice taken");
    assert_eq!(taken, None);
}
