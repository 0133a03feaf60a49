//! Guards against a recovered state that lacks records whose log entries have expired.

mod fleet;

use {
    fleet::{CONFIG, TestFleet, layout, start_with, wait_until},
    goldcreststall_core::{
        config::ConfigVersion,
        ids::{HostName, PoolName, RecordId},
    },
    goldcreststall_operators::{
        AuditQuery, AuditRange, AuditSubject, ConfigReport, HostQuery, OperatorBackend,
        OperatorChange,
    },
    http::{Method, StatusCode},
    std::time::Duration,
    uuid::Uuid,
};

async fn config(fleet: &TestFleet) -> ConfigReport {
    let operator = fleet.operator(0).await.unwrap();
    operator.config().await.unwrap()
}

/// Returns what an operator can query, as text: configuration, hosts, the job and the audit trail.
async fn operator_view(fleet: &TestFleet, host: &HostName, job: RecordId) -> String {
    let operator = fleet.operator(0).await.unwrap();
    let config = operator.config().await.unwrap();
    let hosts = operator.hosts(HostQuery::default()).await.unwrap();
    let job = operator.job(job).await.unwrap();
    let mut text = format!("{config:?}\n{hosts:?}\n{job:?}\n");
    for subject in [AuditSubject::Config(None), AuditSubject::Host(host.clone())] {
        let range = AuditRange::default();
        let page = operator.audit(AuditQuery { range, subject }).await;
        let page = page.unwrap();
        assert!(!page.rows.is_empty());
        text += &format!("{:?}\n", page.rows);
    }
    text
}

/// The entry host restarts after all log entries that built its state have expired; it must recover the same state.
#[tokio::test(flavor = "multi_thread")]
async fn first_entries_expired() {
    let mut layout = layout(1, 2);
    layout.retention_ms = 8_000;
    let config = format!("{CONFIG}[[pools]]\nname = \"second\"\nmin_available = 0\n");
    let mut fleet = start_with(&layout, &config).await;
    let base = ConfigVersion(1);
    let document = format!("{config}[[tenants]]\nname = \"tenant-2\"\n");
    let publish = OperatorChange::PublishConfig { base, document };
    fleet.change(0, publish).await.unwrap();
    let host = fleet.targets[0].name.clone();
    let move_host = OperatorChange::MoveHost {
        host: host.clone(),
        pool: PoolName::try_from("second").unwrap(),
        seen: None,
    };
    fleet.change(0, move_host).await.unwrap();
    let id = Uuid::now_v7();
    let body = format!(
        "{{\"id\":\"{id}\",\"service\":\"orders\",\"tenant\":\"tenant-1\",\"pool\":\"orders\",\
         \"cores_milli\":4000,\"memory_mib\":1024,\"deadline_ms\":3600000}}"
    );
    let address = fleet.callers(0);
    let response = fleet.client.call(Method::POST, address, "/v1/jobs", body);
    let (status, body) = response.await.unwrap();
    assert_eq!(status, StatusCode::OK, "{body:?}");
    let job = RecordId(id.as_u128());
    wait_until("the host is moved", async || {
        let operator = fleet.operator(0).await.unwrap();
        let hosts = operator.hosts(HostQuery::default()).await.unwrap();
        let found = hosts.iter().find(|report| report.name == host);
        found.unwrap().pool.as_str() == "second"
    })
    .await;
    wait_until("the entries have expired", async || {
        fleet.ledger().await.is_empty() && fleet.ledger_first().await.0 > 0
    })
    .await;
    let before = operator_view(&fleet, &host, job).await;
    fleet.kill_entry(0);
    fleet.start_entry(0).unwrap();
    fleet.wait_until_operators_served(0).await.unwrap();
    assert_eq!(operator_view(&fleet, &host, job).await, before);
    fleet.wait_until_serving(0).await;
}

/// Restarts that are more frequent than snapshots must not prevent snapshots from being written.
#[tokio::test(flavor = "multi_thread")]
async fn frequent_restarts() {
    let mut layout = layout(1, 1);
    layout.retention_ms = 12_000;
    let mut fleet = start_with(&layout, CONFIG).await;
    let before = config(&fleet).await;
    wait_until("the entries have expired", async || {
        fleet.kill_entry(0);
        fleet.start_entry(0).unwrap();
        fleet.wait_until_operators_served(0).await.unwrap();
        // Shorter than the snapshot interval, which is a quarter of the retention time.
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet.ledger_first().await.0 > 0
    })
    .await;
    fleet.kill_entry(0);
    fleet.start_entry(0).unwrap();
    fleet.wait_until_operators_served(0).await.unwrap();
    assert_eq!(config(&fleet).await, before);
    fleet.wait_until_serving(0).await;
}
