//! Guards against starts that a runner rejects for want of an approval, and against steps that never get one.

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

/// An owner with three runners and a job of two work items on a queue with advice.
fn advised_job() -> TestFleet {
    let mut fleet = TestFleet::new(1, &["r1", "r2", "r3"]);
    fleet.greet();
    let queue = RouteRule {
        advice: Some(AdviceRule { valid: VALID }),
        ..route()
    };
    let submission = JobSubmission {
        queue,
        job: job(vec![step(2, 1_000)]),
        accepted_ms: 0,
    };
    let call = JobCall::Submit(JobId(1), Box::new(submission));
    fleet.owner.call(CallId(1), call, fleet.now);
    fleet.store();
    fleet.pass(10);
    fleet
}

fn asked(fleet: &mut TestFleet) -> Vec<AdviceCommand> {
    let mut asked = Vec::new();
    fleet.commands.retain(|command| match command {
        OwnerCommand::Advise(command) => {
            asked.push(command.clone());
            false
        }
        _ => true,
    });
    asked
}

fn approve(fleet: &mut TestFleet, command: &AdviceCommand, id: &str) {
    let rows = vec![(id.to_owned(), format!("ticket-{id}"))];
    fleet.owner.advised(command, Some(rows), fleet.now);
    fleet.pass(10);
}

#[test]
fn only_approved_runners() {
    let mut fleet = advised_job();
    assert!(fleet.starts().is_empty(), "started without an approval");
    let commands = asked(&mut fleet);
    assert_eq!(commands.len(), 1, "one call for the step");
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
fn asked_again_later() {
    let mut fleet = advised_job();
    let commands = asked(&mut fleet);
    fleet.owner.advised(&commands[0], None, fleet.now);
    fleet.pass(100);
    assert!(asked(&mut fleet).is_empty(), "asked again at once");
    for _ in 0..40 {
        fleet.pass(100);
    }
    assert_eq!(asked(&mut fleet).len(), 1);
}

#[test]
fn refused_ticket_is_renewed() {
    let mut fleet = advised_job();
    let commands = asked(&mut fleet);
    approve(&mut fleet, &commands[0], "r2");
    for start in fleet.starts() {
        let response = StartResponse::NoTicket;
        assert!(fleet.owner.start_answered(&start, response, fleet.now));
    }
    fleet.pass(10);
    assert!(fleet.starts().is_empty());
    let again = asked(&mut fleet);
    assert_eq!(again.len(), 1);
    approve(&mut fleet, &again[0], "r2");
    assert_eq!(fleet.starts().len(), 2);
}

#[test]
fn old_ticket_is_not_sent() {
    let mut fleet = advised_job();
    let commands = asked(&mut fleet);
    let rows = vec![("r2".to_owned(), "ticket".to_owned())];
    fleet.owner.advised(&commands[0], Some(rows), fleet.now);
    fleet.now = fleet.now + VALID;
    fleet.pass(10);
    assert!(fleet.starts().is_empty());
}
