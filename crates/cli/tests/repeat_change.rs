//! Guards against a change with two effects, and against an outcome that is reported as settled when it is not.

#[path = "../../operators/tests/fake/mod.rs"]
mod fake;
mod shell;

use {
    fake::{FakeBackend, Fault, id},
    goldcreststall_cli::ExitStatus,
    goldcreststall_operators::{OperatorError, OperatorErrorKind},
    shell::{Ended, FakeEntries, invocation, run_invocation, run_line},
};

/// Runs a change against two entry hosts with the same state behind them.
async fn drain(backend: &FakeBackend) -> Ended {
    let entries = FakeEntries(vec![Some(backend.clone()), Some(backend.clone())]);
    let line = "host drain h1 --operator kim --entry 10.0.0.1:1 --entry 10.0.0.2:1";
    run_invocation(invocation(line), &entries).await
}

fn refusal(kind: OperatorErrorKind) -> Fault {
    Fault::Fails(OperatorError::new(kind, "as told"))
}

/// After a lost answer the change is sent to the next entry host under the same id.
#[tokio::test]
async fn lost_answer() {
    for fault in [
        Fault::AnswerLost,
        Fault::Unconfirmed,
        refusal(OperatorErrorKind::Internal),
    ] {
        let backend = FakeBackend::default();
        backend.next_fault(fault);
        let ended = drain(&backend).await;
        assert_eq!(ended.status, ExitStatus::Done, "{ended:?}");
        let fleet = backend.fleet.lock().unwrap();
        assert_eq!((fleet.arrived.len(), fleet.effects.len()), (2, 1));
        assert_eq!(fleet.arrived[0], fleet.arrived[1]);
    }
}

/// A refusal after a lost answer says nothing about the first attempt.
#[tokio::test(start_paused = true)]
async fn open_outcome() {
    for kind in [
        OperatorErrorKind::StoreUnavailable,
        OperatorErrorKind::NotFound,
    ] {
        let backend = FakeBackend::default();
        for _ in 0..5 {
            backend.next_fault(refusal(kind));
        }
        backend.next_fault(Fault::AnswerLost);
        let ended = drain(&backend).await;
        assert_eq!(ended.status, ExitStatus::NotConfirmed, "{ended:?}");
        let hint = format!("--request-id {}", id(5));
        assert!(ended.output.contains(&hint), "{}", ended.output);
        assert_eq!(backend.effects(), 1);
    }
}

/// A refused change is not repeated, once every entry host has been asked.
#[tokio::test]
async fn refused_once() {
    let backend = FakeBackend::default();
    for _ in 0..3 {
        backend.next_fault(refusal(OperatorErrorKind::StoreUnavailable));
    }
    assert_eq!(drain(&backend).await.status, ExitStatus::NotDone);
    assert_eq!((backend.arrived(), backend.effects()), (2, 0));
}

/// A command that is run again with the printed id has no second effect.
#[tokio::test]
async fn run_again() {
    let backend = FakeBackend::default();
    let line = format!("worker readmit w1 --request-id {}", id(77));
    for _ in 0..2 {
        let ended = run_line(&line, &backend).await;
        assert_eq!(ended.status, ExitStatus::Done);
        assert_eq!(
            ended.output,
            format!("accepted at log offset 0, id {}\n", id(77))
        );
    }
    assert_eq!((backend.arrived(), backend.effects()), (2, 1));
}
