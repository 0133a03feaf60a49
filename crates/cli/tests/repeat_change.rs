//! Guards against a change that takes effect twice, and against an unknown outcome that is reported as known.

#[path = "../../operators/tests/fake/mod.rs"]
mod fake;
mod shell;

use {
    fake::{FakeBackend, Fault, id},
    goldcreststall_cli::ExitStatus,
    goldcreststall_operators::{OperatorError, OperatorErrorKind},
    shell::{FakeEntries, FinishedRun, invocation, run_invocation, run_line},
};

/// Drains a host through two entry hosts that share their state.
async fn drain(backend: &FakeBackend) -> FinishedRun {
    let entries = FakeEntries(vec![Some(backend.clone()), Some(backend.clone())]);
    let line = "host drain h1 --operator kim --entry 10.0.0.1:1 --entry 10.0.0.2:1";
    run_invocation(invocation(line), &entries).await
}

fn failed_call(kind: OperatorErrorKind) -> Fault {
    Fault::Fails(OperatorError::new(kind, "injected error"))
}

/// After a lost response the change is sent to the next entry host under the same id.
#[tokio::test]
async fn lost_answer() {
    for fault in [
        Fault::AnswerLost,
        Fault::Unconfirmed,
        failed_call(OperatorErrorKind::Internal),
    ] {
        let backend = FakeBackend::default();
        backend.inject_fault(fault);
        let result = drain(&backend).await;
        assert_eq!(result.status, ExitStatus::Done, "{result:?}");
        let fleet = backend.fleet.lock().unwrap();
        assert_eq!((fleet.arrived.len(), fleet.effects.len()), (2, 1));
        assert_eq!(fleet.arrived[0], fleet.arrived[1]);
    }
}

/// A refusal after a lost response does not tell whether the first attempt made the change.
#[tokio::test(start_paused = true)]
async fn open_outcome() {
    for kind in [
        OperatorErrorKind::StoreUnavailable,
        OperatorErrorKind::NotFound,
    ] {
        let backend = FakeBackend::default();
        for _ in 0..5 {
            backend.inject_fault(failed_call(kind));
        }
        backend.inject_fault(Fault::AnswerLost);
        let result = drain(&backend).await;
        assert_eq!(result.status, ExitStatus::NotConfirmed, "{result:?}");
        let hint = format!("--request-id {}", id(5));
        assert!(result.output.contains(&hint), "{}", result.output);
        assert_eq!(backend.effects(), 1);
    }
}

/// A change that every entry host refused is not sent again.
#[tokio::test]
async fn refused_once() {
    let backend = FakeBackend::default();
    for _ in 0..3 {
        backend.inject_fault(failed_call(OperatorErrorKind::StoreUnavailable));
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
        let result = run_line(&line, &backend).await;
        assert_eq!(result.status, ExitStatus::Done);
        assert_eq!(
            result.output,
            format!("accepted at log offset 0, id {}\n", id(77))
        );
    }
    assert_eq!((backend.arrived(), backend.effects()), (2, 1));
}
