//! Guards against an accepted configuration that does not come into force on all entry hosts, or that reverts.

mod fleet;

use {
    fleet::{
        CONFIG, TEST_TIMEOUT, TestFleet, change_request, idempotent, layout, once, start,
        wait_until,
    },
    goldcreststall_core::config::ConfigVersion,
    goldcreststall_operators::{
        ChangeOutcome, ChangeRequest, ConfigReport, OperatorBackend, OperatorChange, OperatorClient,
    },
    goldcreststall_standins::process::{RelayMode, TcpRelay},
    std::time::{Duration, Instant},
};

/// Maximum time by design from the acceptance of a configuration until it is in force on all entry hosts.
const MAX_PROPAGATION_DURATION: Duration = Duration::from_secs(4);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn document(weight: u32) -> String {
    format!("{CONFIG}weight = {weight}\n")
}

fn publish(base: ConfigVersion, weight: u32) -> ChangeRequest {
    change_request(OperatorChange::PublishConfig {
        base,
        document: document(weight),
    })
}

async fn config(fleet: &TestFleet, entry: usize) -> ConfigReport {
    let operator = fleet.operator(entry).await.unwrap();
    operator.config().await.unwrap()
}

async fn change(fleet: &TestFleet, entry: usize, change_request: &ChangeRequest) -> ChangeOutcome {
    let operator = fleet.operator(entry).await.unwrap();
    operator.change(change_request.clone()).await.unwrap()
}

fn is_accepted(outcome: &ChangeOutcome) -> bool {
    matches!(outcome, ChangeOutcome::Accepted { .. })
}

/// Sets the mode of all relays from and to the second of two entry hosts.
fn set_links(fleet: &TestFleet, mode: RelayMode) {
    let [first, second] = [0, 1].map(|entry| fleet.entries[entry].relays.as_ref().unwrap());
    let links = [
        &second.log,
        &second.hosts,
        &second.peers[0],
        &first.peers[0],
    ];
    for link in links {
        link.set(mode);
    }
}

/// Checks that a version comes into force on all entry hosts in time, and that no entry host goes back to an older one.
async fn assert_propagates(
    fleet: &TestFleet,
    since: Instant,
    version: ConfigVersion,
    expected_document: &str,
) {
    for entry in 0..fleet.entries.len() {
        let operator = fleet.operator(entry).await.unwrap();
        let mut latest = ConfigVersion(0);
        loop {
            let report = operator.config().await.unwrap();
            assert!(report.version >= latest, "the version went backwards");
            latest = report.version;
            if latest >= version {
                assert_eq!(
                    (latest, report.document.as_str()),
                    (version, expected_document)
                );
                break;
            }
            let elapsed = since.elapsed();
            assert!(
                elapsed < MAX_PROPAGATION_DURATION,
                "entry host {entry} has {latest:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Of two publishers with the same base version, exactly one must be accepted and come into force on all entry hosts.
#[tokio::test(flavor = "multi_thread")]
async fn two_publishers() {
    let fleet = start(&layout(3, 1)).await;
    for round in 0..3 {
        let base = config(&fleet, 0).await.version;
        let change_requests = [publish(base, 10 + round), publish(base, 20 + round)];
        let (first, second) = tokio::join!(
            change(&fleet, 1, &change_requests[0]),
            change(&fleet, 2, &change_requests[1]),
        );
        let since = Instant::now();
        assert_ne!(
            is_accepted(&first),
            is_accepted(&second),
            "{first:?} {second:?}"
        );
        let weight = if is_accepted(&first) { 10 } else { 20 } + round;
        let version = ConfigVersion(base.0 + 1);
        assert_propagates(&fleet, since, version, &document(weight)).await;
    }
}

/// A publisher that repeats a change with the same request ID must get the first outcome and create no second version.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_publish() {
    let fleet = start(&layout(2, 1)).await;
    let base = config(&fleet, 0).await.version;
    let change_request = publish(base, 7);
    fleet.set_log_faults("{\"lose_answers\":2}").await.unwrap();
    let mut outcomes = Vec::new();
    wait_until("the change is accepted", async || {
        let outcome = change(&fleet, outcomes.len() % 2, &change_request).await;
        let done = is_accepted(&outcome);
        outcomes.push(outcome);
        done
    })
    .await;
    let since = Instant::now();
    let last = outcomes.last().unwrap();
    let version = ConfigVersion(base.0 + 1);
    assert_propagates(&fleet, since, version, &document(7)).await;
    fleet
        .wait_until_copies_applied(change_request.request_id)
        .await;
    for entry in [0, 1] {
        assert_eq!(&change(&fleet, entry, &change_request).await, last);
    }
    for entry in [0, 1] {
        assert_eq!(config(&fleet, entry).await.version, version);
    }
}

/// A publisher whose connection is lost before the response repeats the change through another entry host.
#[tokio::test(flavor = "multi_thread")]
async fn publisher_cut_off() {
    let fleet = start(&layout(2, 1)).await;
    let base = config(&fleet, 0).await.version;
    let version = ConfigVersion(base.0 + 1);
    let change_request = publish(base, 7);
    let relay = TcpRelay::start(fleet.entries[0].operators).await.unwrap();
    let operator = OperatorClient::connect(relay.address, TEST_TIMEOUT)
        .await
        .unwrap();
    // Makes sure that the connection is open, so that only the response is lost.
    operator.config().await.unwrap();
    relay.set(RelayMode::HoldReplies);
    let repeated = change_request.clone();
    let lost = tokio::spawn(async move { operator.change(repeated).await });
    wait_until("the configuration is in force", async || {
        config(&fleet, 0).await.version == version
    })
    .await;
    relay.set(RelayMode::Cut);
    assert!(lost.await.unwrap().is_err());
    for entry in [1, 0] {
        let outcome = change(&fleet, entry, &change_request).await;
        assert!(is_accepted(&outcome), "{outcome:?}");
        assert_eq!(config(&fleet, entry).await.version, version);
    }
}

/// An entry host that cannot reach the log must follow through its peers, and must keep up once the log is back.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_log() {
    let mut layout = layout(3, 1);
    layout.relays = true;
    let fleet = start(&layout).await;
    let relays = fleet.entries[2].relays.as_ref().unwrap();
    relays.log.set(RelayMode::Cut);
    let mut version = config(&fleet, 0).await.version;
    for weight in 1..4 {
        let outcome = change(&fleet, 0, &publish(version, weight)).await;
        let since = Instant::now();
        assert!(is_accepted(&outcome), "{outcome:?}");
        version = ConfigVersion(version.0 + 1);
        assert_propagates(&fleet, since, version, &document(weight)).await;
    }
    relays.log.set(RelayMode::Open);
    let outcome = change(&fleet, 1, &publish(version, 9)).await;
    let since = Instant::now();
    assert!(is_accepted(&outcome), "{outcome:?}");
    let version = ConfigVersion(version.0 + 1);
    assert_propagates(&fleet, since, version, &document(9)).await;
}

/// An entry host that reaches neither the platform nor a peer must keep its configuration, serve requests and accept no
/// change.
#[tokio::test(flavor = "multi_thread")]
async fn complete_partition() {
    let mut layout = layout(2, 1);
    layout.relays = true;
    let fleet = start(&layout).await;
    let before = config(&fleet, 1).await;
    set_links(&fleet, RelayMode::Cut);
    let change_request = publish(before.version, 5);
    let outcome = change(&fleet, 0, &change_request).await;
    assert!(is_accepted(&outcome), "{outcome:?}");
    let operator = fleet.operator(1).await.unwrap();
    let rejected = operator.change(publish(before.version, 6)).await;
    assert!(!rejected.is_ok_and(|outcome| is_accepted(&outcome)));
    assert_eq!(config(&fleet, 1).await, before);
    let served = fleet.send(1, &idempotent("partition")).await;
    assert_eq!(served.outcome(), "done", "{served:?}");
    set_links(&fleet, RelayMode::Open);
    wait_until("the new version arrives", async || {
        let report = config(&fleet, 1).await;
        assert!(report.version >= before.version);
        report.version > before.version
    })
    .await;
    assert_eq!(config(&fleet, 1).await.document, document(5));
}

/// An entry host that starts without the log must copy the state of a peer and serve requests with it.
#[tokio::test(flavor = "multi_thread")]
async fn start_without_log() {
    let mut layout = layout(2, 1);
    layout.relays = true;
    let mut fleet = start(&layout).await;
    let expected = config(&fleet, 0).await;
    fleet.kill_entry(1);
    let relays = fleet.entries[1].relays.as_ref().unwrap();
    relays.log.set(RelayMode::Cut);
    fleet.start_entry(1).unwrap();
    fleet.wait_until_serving(1).await;
    assert_eq!(config(&fleet, 1).await, expected);
    let request = once("without-log");
    let response = fleet.send(1, &request).await;
    assert_eq!(response.reason(), "store-unavailable", "{response:?}");
    fleet.check_run_count(&request, &response).await;
}

/// An entry host that starts while the whole platform is unreachable, so that it can read neither the log nor the host
/// list, must copy the state of a peer and serve requests with it.
#[tokio::test(flavor = "multi_thread")]
async fn start_without_platform() {
    let mut layout = layout(2, 1);
    layout.relays = true;
    let mut fleet = start(&layout).await;
    let expected = config(&fleet, 0).await;
    fleet.kill_entry(1);
    let relays = fleet.entries[1].relays.as_ref().unwrap();
    relays.log.set(RelayMode::Cut);
    relays.hosts.set(RelayMode::Cut);
    fleet.start_entry(1).unwrap();
    fleet.wait_until_operators_served(1).await.unwrap();
    assert_eq!(config(&fleet, 1).await, expected);
    wait_until("requests are served", async || {
        let response = fleet.send(1, &idempotent("no-platform")).await;
        response.outcome() == "done"
    })
    .await;
}
