//! Guards against an exit code that misleads a script, such as one that says a change was not made when it may have
//! been.

#[path = "../../operators/tests/fake/mod.rs"]
mod fake;
mod shell;

use {
    fake::{FakeBackend, Fault, id},
    goldcreststall_cli::ExitStatus,
    goldcreststall_operators::{OperatorError, OperatorErrorKind},
    shell::{FakeEntries, invocation, run_invocation, run_line},
    std::process::Command,
};

/// The exit codes are documented, so their numbers are fixed.
#[test]
fn numbers() {
    let codes = [
        ExitStatus::Done,
        ExitStatus::Rejected,
        ExitStatus::Mistakes,
        ExitStatus::NotFound,
        ExitStatus::NotConfirmed,
        ExitStatus::NotDone,
        ExitStatus::Failed,
    ];
    assert_eq!(codes.map(|code| code as u8), [0, 1, 2, 3, 4, 5, 6]);
}

/// A read ends with the exit code of the kind of error it met.
#[tokio::test]
async fn failed_read() {
    for (kind, status) in [
        (OperatorErrorKind::AnswerLost, ExitStatus::NotDone),
        (OperatorErrorKind::Draining, ExitStatus::NotDone),
        (OperatorErrorKind::Incompatible, ExitStatus::Failed),
        (OperatorErrorKind::Internal, ExitStatus::Failed),
        (OperatorErrorKind::InvalidReply, ExitStatus::Failed),
        (OperatorErrorKind::InvalidRequest, ExitStatus::Mistakes),
        (OperatorErrorKind::NotFound, ExitStatus::NotFound),
        (OperatorErrorKind::NotReady, ExitStatus::NotDone),
        (OperatorErrorKind::StoreUnavailable, ExitStatus::NotDone),
        (OperatorErrorKind::Unreachable, ExitStatus::NotDone),
    ] {
        let backend = FakeBackend::default();
        backend.inject_fault(Fault::Fails(OperatorError::new(kind, "injected error")));
        let result = run_line("pool list", &backend).await;
        assert_eq!(result.status, status, "{kind:?}");
        assert!(result.errors.contains("injected error"));
    }
}

/// An id or name that does not exist has its own exit code.
#[tokio::test]
async fn not_found() {
    let backend = FakeBackend::default();
    for line in [
        format!("job show {}", id(404)),
        "audit host unknown".to_owned(),
    ] {
        assert_eq!(run_line(&line, &backend).await.status, ExitStatus::NotFound);
    }
}

/// A change that each entry host refused or could not be sent to was certainly not made.
#[tokio::test]
async fn refused_change() {
    let backend = FakeBackend::default();
    let kind = OperatorErrorKind::StoreUnavailable;
    backend.inject_fault(Fault::Fails(OperatorError::new(kind, "the log is down")));
    let entries = FakeEntries(vec![Some(backend.clone()), None]);
    let line = "host drain h1 --operator kim --entry 10.0.0.1:1,10.0.0.2:1";
    let result = run_invocation(invocation(line), &entries).await;
    assert_eq!(result.status, ExitStatus::NotDone);
    let expected = "not done: 10.0.0.1:1: the log is down\n10.0.0.2:1: no connection\n";
    assert_eq!((result.errors.as_str(), backend.effects()), (expected, 0));
}

/// The process reads its arguments and environment and exits with the code of the run.
#[test]
fn whole_process() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/examples/qasr.toml");
    let run = |format: &str| {
        Command::new(env!("CARGO_BIN_EXE_goldcreststall"))
            .args(["config", "validate", example])
            .env_clear()
            .env("GOLDCRESTSTALL_OUTPUT", format)
            .output()
            .unwrap()
    };
    let valid = run("json");
    assert_eq!(valid.status.code(), Some(0));
    assert!(valid.stdout.starts_with(b"{"));
    let invalid = run("yaml");
    assert_eq!(invalid.status.code(), Some(2));
    assert!(
        invalid
            .stderr
            .starts_with(b"GOLDCRESTSTALL_OUTPUT: \"yaml\"")
    );
}
