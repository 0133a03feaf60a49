//! Guards against a configuration that is accepted and not in force everywhere, or that reverts.

mod fleet;

use {
    fleet::{CONFIG, LIMIT, TestFleet, change_request, idempotent, layout, once, start, until},
    goldcreststall_core::config::ConfigVersion,
    goldcreststall_operators::{
        ChangeOutcome, ChangeRequest, ConfigReport, OperatorBackend, OperatorChange, OperatorClient,
    },
    goldcreststall_standins::process::{RelayMode, TcpRelay},
    std::time::{Duration, Instant},
};

/// The bound of the design from acceptance to being in force everywhere.
const SPREAD_LIMIT: Duration = Duration::from_secs(4);
const LOOK_STEP: Duration = Duration::from_millis(20);

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

fn accepted(outcome: &ChangeOutcome) -> bool {
    matches!(outcome, ChangeOutcome::Accepted { .. })
}

/// Sets all links of the second of two entry hosts.
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

/// Expects a version in force on all entry hosts within the bound, and no older one on the way.
async fn assert_spreads(fleet: &TestFleet, since: Instant, version: ConfigVersion, text: &str) {
    for entry in 0..fleet.entries.len() {
        let operator = fleet.operator(entry).await.unwrap();
        let mut seen = ConfigVersion(0);
        loop {
            let report = operator.config().await.unwrap();
            assert!(report.version >= seen, "the version went back");
            seen = report.version;
            if seen >= version {
                assert_eq!((seen, report.document.as_str()), (version, text));
                break;
            }
            let spent = since.elapsed();
            assert!(spent < SPREAD_LIMIT, "entry host {entry} has {seen:?}");
            tokio::time::sleep(LOOK_STEP).await;
        }
    }
}

/// Of two publishers that saw the same version one wins, and it wins everywhere.
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
        assert_ne!(accepted(&first), accepted(&second), "{first:?} {second:?}");
        let weight = if accepted(&first) { 10 } else { 20 } + round;
        let version = ConfigVersion(base.0 + 1);
        assert_spreads(&fleet, since, version, &document(weight)).await;
    }
}

/// A publisher that repeats a change with the same id gets the first outcome and no second version.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_publish() {
    let fleet = start(&layout(2, 1)).await;
    let base = config(&fleet, 0).await.version;
    let change_request = publish(base, 7);
    fleet.set_log_faults("{\"lose_answers\":2}").await.unwrap();
    let mut outcomes = Vec::new();
    until("the change is accepted", async || {
        let outcome = change(&fleet, outcomes.len() % 2, &change_request).await;
        let known = accepted(&outcome);
        outcomes.push(outcome);
        known
    })
    .await;
    let since = Instant::now();
    let last = outcomes.last().unwrap();
    let version = ConfigVersion(base.0 + 1);
    assert_spreads(&fleet, since, version, &document(7)).await;
    fleet.wait_copies(change_request.request_id).await;
    for entry in [0, 1] {
        assert_eq!(&change(&fleet, entry, &change_request).await, last);
    }
    for entry in [0, 1] {
        assert_eq!(config(&fleet, entry).await.version, version);
    }
}

/// A publisher whose connection breaks before the response repeats through another entry host.
#[tokio::test(flavor = "multi_thread")]
async fn publisher_cut_off() {
    let fleet = start(&layout(2, 1)).await;
    let base = config(&fleet, 0).await.version;
    let version = ConfigVersion(base.0 + 1);
    let change_request = publish(base, 7);
    let relay = TcpRelay::start(fleet.entries[0].operators).await.unwrap();
    let operator = OperatorClient::connect(relay.address, LIMIT).await.unwrap();
    // The connection is up, so only the response is lost.
    operator.config().await.unwrap();
    relay.set(RelayMode::HoldReplies);
    let repeated = change_request.clone();
    let lost = tokio::spawn(async move { operator.change(repeated).await });
    until("the configuration is in force", async || {
        config(&fleet, 0).await.version == version
    })
    .await;
    relay.set(RelayMode::Cut);
    assert!(lost.await.unwrap().is_err());
    for entry in [1, 0] {
        let outcome = change(&fleet, entry, &change_request).await;
        assert!(accepted(&outcome), "{outcome:?}");
        assert_eq!(config(&fleet, entry).await.version, version);
    }
}

/// An entry host without the log follows through its peers, also when it is back at the log.
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
        assert!(accepted(&outcome), "{outcome:?}");
        version = ConfigVersion(version.0 + 1);
        assert_spreads(&fleet, since, version, &document(weight)).await;
    }
    relays.log.set(RelayMode::Open);
    let outcome = change(&fleet, 1, &publish(version, 9)).await;
    let since = Instant::now();
    assert!(accepted(&outcome), "{outcome:?}");
    let version = ConfigVersion(version.0 + 1);
    assert_spreads(&fleet, since, version, &document(9)).await;
}

/// An entry host that reaches nobody keeps its configuration and its traffic, and accepts no change.
#[tokio::test(flavor = "multi_thread")]
async fn complete_partition() {
    let mut layout = layout(2, 1);
    layout.relays = true;
    let fleet = start(&layout).await;
    let before = config(&fleet, 1).await;
    set_links(&fleet, RelayMode::Cut);
    let change_request = publish(before.version, 5);
    let outcome = change(&fleet, 0, &change_request).await;
    assert!(accepted(&outcome), "{outcome:?}");
    let operator = fleet.operator(1).await.unwrap();
    let refused = operator.change(publish(before.version, 6)).await;
    assert!(!refused.is_ok_and(|outcome| accepted(&outcome)));
    assert_eq!(config(&fleet, 1).await, before);
    let served = fleet.send(1, &idempotent("partition")).await;
    assert_eq!(served.outcome(), "done", "{served:?}");
    set_links(&fleet, RelayMode::Open);
    until("the new version arrives", async || {
        let report = config(&fleet, 1).await;
        assert!(report.version >= before.version);
        report.version > before.version
    })
    .await;
    assert_eq!(config(&fleet, 1).await.document, document(5));
}

/// An entry host that starts without the log takes the state of a peer and serves by it.
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
    fleet.wait_serves(1).await;
    assert_eq!(config(&fleet, 1).await, expected);
    let request = once("without-log");
    let response = fleet.send(1, &request).await;
    assert_eq!(response.reason(), "store-unavailable", "{response:?}");
    fleet.check_agrees(&request, &response).await;
}

/// The same with the whole platform down, so that the list of hosts is not read either.
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
    fleet.wait_operator(1).await.unwrap();
    assert_eq!(config(&fleet, 1).await, expected);
    until("requests are served", async || {
        let response = fleet.send(1, &idempotent("no-platform")).await;
        response.outcome() == "done"
    })
    .await;
}
