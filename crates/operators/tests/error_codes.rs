//! Guards against an error kind that is lost on the way, or that lets a caller conclude too much.

mod fake;

use {
    fake::{FakeBackend, Fault, change_request, dead_address, id, name, serve},
    goldcreststall_operators::{
        FieldMistake, HostQuery, OperatorBackend, OperatorChange, OperatorClient, OperatorError,
        OperatorErrorKind,
    },
    std::time::Duration,
    tokio::runtime,
    tonic::{Code, Status},
};

const LIMIT: Duration = Duration::from_secs(30);

/// Every kind passes through a status unchanged, with its code and its mistakes.
#[test]
fn every_kind() {
    for kind in OperatorErrorKind::ALL {
        let error = OperatorError {
            kind,
            message: "what happened".to_owned(),
            mistakes: vec![FieldMistake::new("pool", "P", "a name")],
        };
        let status = Status::from(error.clone());
        assert_eq!(status.code(), kind.row().code);
        assert_eq!(OperatorError::from(status), error);
    }
}

/// A status that no entry host made must not count as "no change was made".
#[test]
fn foreign_status() {
    for code in (0..=16).map(Code::from_i32) {
        let kind = OperatorError::from(Status::new(code, "proxy")).kind;
        assert_eq!(kind.row().not_done, code == Code::Unimplemented, "{code:?}");
    }
}

/// The kind that a backend reports arrives at the client.
#[tokio::test]
async fn over_wire() {
    let backend = FakeBackend::default();
    let (address, _server) = serve(&backend).await;
    let client = OperatorClient::connect(address, LIMIT).await.unwrap();
    for kind in OperatorErrorKind::ALL {
        let error = OperatorError::new(kind, "as told");
        backend.next_fault(Fault::Fails(error.clone()));
        assert_eq!(client.hosts(HostQuery::default()).await, Err(error));
    }
    let error = client.job(id(404)).await.unwrap_err();
    assert_eq!(error.kind, OperatorErrorKind::NotFound);
}

/// Without a listener nothing was sent, so the change was certainly not made.
#[tokio::test]
async fn no_listener() {
    let error = OperatorClient::connect(dead_address().await, LIMIT)
        .await
        .unwrap_err();
    assert_eq!(error.kind, OperatorErrorKind::Unreachable);
    assert!(error.kind.row().not_done);
}

/// A server that goes away after a change was sent leaves open whether it was made.
#[tokio::test]
async fn lost_server() {
    let backend = FakeBackend::default();
    // The connections end with the runtime of the server, as they do with its process.
    let server = runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let served = backend.clone();
    let (address, _) = server
        .spawn(async move { serve(&served).await })
        .await
        .unwrap();
    let client = OperatorClient::connect(address, LIMIT).await.unwrap();
    backend.next_fault(Fault::Hangs);
    let change = OperatorChange::ReadmitWorker { worker: name("w1") };
    let call = tokio::spawn(async move { client.change(change_request(1, change)).await });
    while backend.arrived() == 0 {
        tokio::task::yield_now().await;
    }
    server.shutdown_background();
    let error = call.await.unwrap().unwrap_err();
    assert_eq!(error.kind, OperatorErrorKind::AnswerLost);
    assert!(!error.kind.row().not_done);
}
