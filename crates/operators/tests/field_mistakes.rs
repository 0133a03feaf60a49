//! Guards against a request that is partly accepted, or whose mistakes are reported one at a time.

mod fake;

use {
    fake::{FakeBackend, serve},
    goldcreststall_operators::{
        OperatorError, OperatorErrorKind,
        generated::v1::{self as raw, operators_client::OperatorsClient},
    },
    std::net::SocketAddr,
    tonic::{
        Code, Status,
        transport::{Channel, Endpoint},
    },
};

async fn connect(address: SocketAddr) -> OperatorsClient<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).unwrap();
    OperatorsClient::new(endpoint.connect().await.unwrap())
}

fn mistake_lines(status: Status) -> Vec<String> {
    assert_eq!(status.code(), Code::InvalidArgument);
    let error = OperatorError::from(status);
    assert_eq!(error.kind, OperatorErrorKind::InvalidRequest);
    error.mistakes.iter().map(ToString::to_string).collect()
}

const ALLOWED_NAME: &str =
    "allowed: 1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit";
const ALLOWED_ID: &str = "allowed: a UUID of version 7";

/// A change request with no field set is rejected with a mistake for each field, and does not reach the backend.
#[tokio::test]
async fn empty_change() {
    let backend = FakeBackend::default();
    let (address, _server) = serve(&backend).await;
    let mut client = connect(address).await;
    let status = client
        .add_host(raw::AddHostRequest::default())
        .await
        .unwrap_err();
    let expected = [
        "head.operator: a value is missing; allowed: 1 to 64 of a-z, A-Z, 0-9, '-', '.', '_' and '@', starting with a letter or digit".to_owned(),
        format!("head.request_id: a value is missing; {ALLOWED_ID}"),
        format!("host: a value is missing; {ALLOWED_NAME}"),
        format!("pool: a value is missing; {ALLOWED_NAME}"),
        format!("data_centre: a value is missing; {ALLOWED_NAME}"),
        format!("rack: a value is missing; {ALLOWED_NAME}"),
    ];
    assert_eq!(mistake_lines(status), expected);
    assert_eq!(backend.arrived(), 0);
}

/// Mistakes in a nested message are reported with the path of the field.
#[tokio::test]
async fn bad_job() {
    let backend = FakeBackend::default();
    let (address, _server) = serve(&backend).await;
    let mut client = connect(address).await;
    let spec = raw::JobSpec {
        accelerators: 5_000,
        memory_mib: 1,
        pool: "Press".to_owned(),
        service: "proofs".to_owned(),
        tenant: "shop".to_owned(),
        urgency: 9,
        ..raw::JobSpec::default()
    };
    let head = raw::ChangeHead {
        operator: "kim".to_owned(),
        request_id: "4c1c0a37-4c69-4f3f-a5a2-9a3a65a2a6b5".to_owned(),
    };
    let request = raw::SubmitJobRequest {
        head: Some(head),
        spec: Some(spec),
    };
    let status = client.submit_job(request).await.unwrap_err();
    let expected = [
        format!(
            "head.request_id: \"4c1c0a37-4c69-4f3f-a5a2-9a3a65a2a6b5\" is not accepted; {ALLOWED_ID}"
        ),
        format!("spec.pool: \"Press\" is not accepted; {ALLOWED_NAME}"),
        "spec.urgency: \"9\" is not accepted; allowed: urgent, normal, overnight".to_owned(),
        "spec.cores: \"0\" is not accepted; allowed: 1 to 4096".to_owned(),
        "spec.accelerators: \"5000\" is not accepted; allowed: 0 to 1024".to_owned(),
        "spec.deadline_ms: \"0\" is not accepted; allowed: milliseconds since the Unix epoch"
            .to_owned(),
    ];
    assert_eq!(mistake_lines(status), expected);
    assert_eq!(backend.arrived(), 0);
}

/// Queries are checked like changes.
#[tokio::test]
async fn bad_query() {
    let backend = FakeBackend::default();
    let (address, _server) = serve(&backend).await;
    let mut client = connect(address).await;
    let request = raw::ListJobsRequest {
        after: Some("x".to_owned()),
        limit: 1_001,
        pool: Some(String::new()),
        state: 77,
        tenant: Some("A".to_owned()),
    };
    let status = client.list_jobs(request).await.unwrap_err();
    let expected = [
        format!("pool: a value is missing; {ALLOWED_NAME}"),
        format!("tenant: \"A\" is not accepted; {ALLOWED_NAME}"),
        "state: \"77\" is not accepted; allowed: queued, leased, done, quarantined, unknown, cancelled".to_owned(),
        format!("after: \"x\" is not accepted; {ALLOWED_ID}"),
        "limit: \"1001\" is not accepted; allowed: 0 to 1000".to_owned(),
    ];
    assert_eq!(mistake_lines(status), expected);
}

/// Long values in every field must not make the status larger than the header size that clients accept.
#[tokio::test]
async fn long_values() {
    let backend = FakeBackend::default();
    let (address, _server) = serve(&backend).await;
    let mut client = connect(address).await;
    let long = "é\n".repeat(20_000);
    let head = raw::ChangeHead {
        operator: long.clone(),
        request_id: long.clone(),
    };
    let request = raw::AddHostRequest {
        data_centre: long.clone(),
        head: Some(head),
        host: long.clone(),
        pool: long.clone(),
        rack: long,
    };
    let lines = mistake_lines(client.add_host(request).await.unwrap_err());
    assert_eq!(lines.len(), 6);
    assert!(
        lines
            .iter()
            .all(|line| !line.contains('\n') && line.len() < 400)
    );
}
