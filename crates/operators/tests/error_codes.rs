//! Guards against an error kind that is lost between backend and client, and against one from which the client
//! concludes that no change was made although it may have been.

mod fake;

use {
    fake::{FakeBackend, Fault, change_request, id, name, serve, unused_address},
    goldcreststall_operators::{
        FieldMistake, HostQuery, OperatorBackend, OperatorChange, OperatorClient, OperatorError,
        OperatorErrorKind,
    },
    std::time::Duration,
    tokio::runtime,
    tonic::{Code, Status},
};

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Every kind is converted to a status and back without a loss of its code or its mistakes.
#[test]
fn every_kind() {
    for kind in OperatorErrorKind::ALL {
        let error = OperatorError {
            kind,
            message: "what happened".to_owned(),
            mistakes: vec![FieldMistake::new("pool", "P", "a name")],
        };
        let status = Status::from(error.clone());
        assert_eq!(status.code(), kind.mapping().code);
        assert_eq!(OperatorError::from(status), error);
    }
}

/// A status that did not come from an entry host must not count as "no change was made".
#[test]
fn foreign_status() {
    for code in (0..=16).map(Code::from_i32) {
        let kind = OperatorError::from(Status::new(code, "proxy")).kind;
        assert_eq!(
            kind.mapping().not_done,
            code == Code::Unimplemented,
            "{code:?}"
        );
    }
}

/// The kind that a backend reports arrives at the client.
#[tokio::test]
async fn over_wire() {
    let backend = FakeBackend::default();
    let (address, _server) = serve(&backend).await;
    let client = OperatorClient::connect(address, CALL_TIMEOUT)
        .await
        .unwrap();
    for kind in OperatorErrorKind::ALL {
        let error = OperatorError::new(kind, "reported by the backend");
        backend.inject_fault(Fault::Fails(error.clone()));
        assert_eq!(client.hosts(HostQuery::default()).await, Err(error));
    }
    let error = client.job(id(404)).await.unwrap_err();
    assert_eq!(error.kind, OperatorErrorKind::NotFound);
}

/// When nothing listens at the address, nothing was sent, so the change was certainly not made.
#[tokio::test]
async fn no_listener() {
    let error = OperatorClient::connect(unused_address().await, CALL_TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!(error.kind, OperatorErrorKind::Unreachable);
    assert!(error.kind.mapping().not_done);
}

/// When the server ends after a change was sent, it is unknown whether the change was made.
#[tokio::test]
async fn lost_server() {
    let backend = FakeBackend::default();
    // Shutting down a separate runtime closes the connections of the server, as the end of its process would.
    let server = runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let served_backend = backend.clone();
    let (address, _) = server
        .spawn(async move { serve(&served_backend).await })
        .await
        .unwrap();
    let client = OperatorClient::connect(address, CALL_TIMEOUT)
        .await
        .unwrap();
    backend.inject_fault(Fault::Hangs);
    let change = OperatorChange::ReadmitWorker { worker: name("w1") };
    let call = tokio::spawn(async move { client.change(change_request(1, change)).await });
    while backend.arrived() == 0 {
        tokio::task::yield_now().await;
    }
    server.shutdown_background();
    let error = call.await.unwrap().unwrap_err();
    assert_eq!(error.kind, OperatorErrorKind::AnswerLost);
    assert!(!error.kind.mapping().not_done);
}
