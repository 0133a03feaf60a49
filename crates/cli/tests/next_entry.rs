//! Guards against a read that fails although another entry host could answer.

#[path = "../../operators/tests/fake/mod.rs"]
mod fake;
mod shell;

use {
    fake::{FakeBackend, Fault, serve, unused_address},
    goldcreststall_cli::{ExitStatus, GrpcConnector},
    goldcreststall_operators::{OperatorError, OperatorErrorKind},
    shell::{FakeEntries, invocation, run_invocation},
};

/// A read tries the next entry host when one is unreachable or not ready.
#[tokio::test]
async fn next_one() {
    let second = FakeBackend::default();
    second.inject_fault(Fault::Fails(OperatorError::new(
        OperatorErrorKind::NotReady,
        "no state",
    )));
    let entries = FakeEntries(vec![None, Some(second), Some(FakeBackend::default())]);
    let line = "host list --entry 10.0.0.1:1,10.0.0.2:1,10.0.0.3:1";
    let result = run_invocation(invocation(line), &entries).await;
    assert_eq!(result.status, ExitStatus::Done, "{result:?}");
}

/// Over gRPC, a read and a change also try the next entry host when one is unreachable.
#[tokio::test]
async fn over_grpc() {
    let backend = FakeBackend::default();
    let (address, _server) = serve(&backend).await;
    let unreachable = unused_address().await;
    let settings = format!("--entry {unreachable},{address} --operator kim");
    for line in ["status", "host undrain h1 --seen 3.17"] {
        let result =
            run_invocation(invocation(&format!("{line} {settings}")), &GrpcConnector).await;
        assert_eq!(result.status, ExitStatus::Done, "{result:?}");
    }
    assert_eq!(backend.effects(), 1);
}
