//! Guards against a state that lacks what the log no longer keeps.

mod fleet;

use {
    fleet::{CONFIG, TestFleet, layout, start_with, until},
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

/// Returns all that an operator sees: configuration, hosts, the job and the audit trail.
async fn view(fleet: &TestFleet, host: &HostName, job: RecordId) -> String {
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

/// The entry host restarts when the log has dropped the entries that made the state.
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
    let moved = OperatorChange::MoveHost {
        host: host.clone(),
        pool: PoolName::try_from("second").unwrap(),
        seen: None,
    };
    fleet.change(0, moved).await.unwrap();
    let id = Uuid::now_v7();
    let body = format!(
        "{{\"id\":\"{id}\",\"service\":\"orders\",\"tenant\":\"tenant-1\",\"pool\":\"orders\",\
         \"cores_milli\":4000,\"memory_mib\":1024,\"deadline_ms\":3600000}}"
    );
    let address = fleet.callers(0);
    let reply = fleet.client.call(Method::POST, address, "/v1/jobs", body);
    let (status, body) = reply.await.unwrap();
    assert_eq!(status, StatusCode::OK, "{body:?}");
    let job = RecordId(id.as_u128());
    until("the host is moved", async || {
        let operator = fleet.operator(0).await.unwrap();
        let hosts = operator.hosts(HostQuery::default()).await.unwrap();
        let found = hosts.iter().find(|report| report.name == host);
        found.unwrap().pool.as_str() == "second"
    })
    .await;
    until("the entries have expired", async || {
        fleet.ledger().await.is_empty() && fleet.ledger_first().await.0 > 0
    })
    .await;
    let before = view(&fleet, &host, job).await;
    fleet.kill_entry(0);
    fleet.start_entry(0).unwrap();
    fleet.wait_operator(0).await.unwrap();
    assert_eq!(view(&fleet, &host, job).await, before);
    fleet.wait_serves(0).await;
}

/// Restarts that come more often than snapshots are due must not keep the snapshots from being written.
#[tokio::test(flavor = "multi_thread")]
async fn frequent_restarts() {
    let mut layout = layout(1, 1);
    layout.retention_ms = 12_000;
    let mut fleet = start_with(&layout, CONFIG).await;
    let before = config(&fleet).await;
    until("the entries have expired", async || {
        fleet.kill_entry(0);
        fleet.start_entry(0).unwrap();
        fleet.wait_operator(0).await.unwrap();
        // Shorter than the quarter of the retention time after which a snapshot is due.
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet.ledger_first().await.0 > 0
    })
    .await;
    fleet.kill_entry(0);
    fleet.start_entry(0).unwrap();
    fleet.wait_operator(0).await.unwrap();
    assert_eq!(config(&fleet).await, before);
    fleet.wait_serves(0).await;
}
