//! Guards against a change that takes effect twice, and against one that takes effect although it is not valid.

mod fake;

use {
    fake::{FakeBackend, Fault, change_request, name, serve},
    goldcreststall_core::{config::ConfigVersion, ledger::LogOffset},
    goldcreststall_operators::{ChangeOutcome, OperatorBackend, OperatorChange, OperatorClient},
    std::time::Duration,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

fn publish(base: u64, document: &str) -> OperatorChange {
    OperatorChange::PublishConfig {
        base: ConfigVersion(base),
        document: document.to_owned(),
    }
}

/// A call that is repeated with the same request id returns the first outcome and changes nothing.
#[tokio::test]
async fn repeated_change() {
    let backend = FakeBackend::default();
    let (address, _server) = serve(&backend).await;
    let client = OperatorClient::connect(address, CALL_TIMEOUT)
        .await
        .unwrap();
    backend.inject_fault(Fault::Unconfirmed);
    let change_request = change_request(1, publish(0, "# first"));
    let first = client.change(change_request.clone()).await.unwrap();
    assert!(matches!(first, ChangeOutcome::NotConfirmed { .. }));
    let accepted = ChangeOutcome::Accepted {
        offset: LogOffset(0),
    };
    for _ in 0..2 {
        assert_eq!(
            client.change(change_request.clone()).await.unwrap(),
            accepted
        );
    }
    assert_eq!((backend.arrived(), backend.effects()), (3, 1));
}

/// When two operators publish a configuration derived from the same version, the second one is rejected.
#[tokio::test]
async fn racing_operators() {
    let backend = FakeBackend::default();
    let (address, _server) = serve(&backend).await;
    let client = OperatorClient::connect(address, CALL_TIMEOUT)
        .await
        .unwrap();
    client
        .change(change_request(1, publish(0, "# first")))
        .await
        .unwrap();
    let second = client
        .change(change_request(2, publish(0, "# second")))
        .await
        .unwrap();
    assert!(
        matches!(second, ChangeOutcome::Rejected { .. }),
        "{second:?}"
    );
    assert_eq!(client.config().await.unwrap().document, "# first");
}

/// A document with mistakes is rejected with all of them and does not reach the backend.
#[tokio::test]
async fn bad_document() {
    let backend = FakeBackend::default();
    let (address, _server) = serve(&backend).await;
    let client = OperatorClient::connect(address, CALL_TIMEOUT)
        .await
        .unwrap();
    let document = "[[pools]]\nname = \"A\"\n[[tenants]]\nname = \"b\"\nweight = 0\n";
    let mistakes = client.validate_config(document.to_owned()).await.unwrap();
    assert_eq!(mistakes.len(), 3, "{mistakes:?}");
    let outcome = client
        .change(change_request(1, publish(0, document)))
        .await
        .unwrap();
    let reason = "the configuration is not valid".to_owned();
    assert_eq!(outcome, ChangeOutcome::Rejected { mistakes, reason });
    assert_eq!(backend.arrived(), 0);
}

/// The mistakes of a response are limited in number, so that a document with very many of them does not make the
/// response too large for clients.
#[tokio::test]
async fn many_mistakes() {
    let backend = FakeBackend::default();
    let (address, _server) = serve(&backend).await;
    let client = OperatorClient::connect(address, CALL_TIMEOUT)
        .await
        .unwrap();
    let document = format!("tenants = [{}]", "{},".repeat(80_000));
    let mistakes = client.validate_config(document).await.unwrap();
    assert_eq!(mistakes.len(), 1_001);
    assert_eq!(mistakes[1_000].value, "a file with 79000 further mistakes");
}

/// A valid document has no mistakes, and readmitting a worker is accepted.
#[tokio::test]
async fn valid_requests() {
    let backend = FakeBackend::default();
    let (address, _server) = serve(&backend).await;
    let client = OperatorClient::connect(address, CALL_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(
        client.validate_config("# empty".to_owned()).await.unwrap(),
        []
    );
    let change = OperatorChange::ReadmitWorker { worker: name("w1") };
    let outcome = client.change(change_request(1, change)).await.unwrap();
    assert!(matches!(outcome, ChangeOutcome::Accepted { .. }));
}
