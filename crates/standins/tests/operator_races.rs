//! Guards against races of operators and waves with each other and with requests in flight.

mod fleet;

use {
    fleet::{CONFIG, TestFleet, change_request, layout, once, start, start_with, wait_until},
    goldcreststall_core::{
        duties::Duty,
        ids::{HostName, PoolName, RecordId},
    },
    goldcreststall_operators::{
        ChangeOutcome, HostQuery, HostReport, OperatorBackend, OperatorChange, WaveQuery,
        WaveReport, WaveState,
    },
    goldcreststall_platform::hosts::HostListing,
    goldcreststall_standins::client::ClientRequest,
    http::Method,
    std::time::{Duration, Instant},
};

/// Longer than the silence after which an entry host is excluded from duties and from the division of slots.
const SILENCE_DURATION: Duration = Duration::from_secs(4);

async fn host_report(fleet: &TestFleet, entry: usize, name: &HostName) -> HostReport {
    let operator = fleet.operator(entry).await.unwrap();
    let hosts = operator.hosts(HostQuery::default()).await.unwrap();
    let found = hosts.into_iter().find(|host| host.name == *name);
    found.unwrap()
}

async fn wave_report(fleet: &TestFleet, entry: usize, id: RecordId) -> WaveReport {
    let operator = fleet.operator(entry).await.unwrap();
    let waves = operator.waves(WaveQuery::default()).await.unwrap();
    waves.into_iter().find(|wave| wave.id == id).unwrap()
}

async fn start_wave(fleet: &TestFleet, entry: usize) -> RecordId {
    let change = OperatorChange::StartWave {
        max_stopping: None,
        pool: PoolName::try_from("orders").unwrap(),
    };
    fleet.change(entry, change).await.unwrap()
}

/// Returns the name and incarnation of each host in the host list; a rebooting host is missing from it.
async fn listed_incarnations(fleet: &TestFleet) -> Vec<(HostName, u64)> {
    let response = fleet.client.call(Method::GET, fleet.hosts, "/hosts", "");
    let (_, body) = response.await.unwrap();
    let listing: HostListing = serde_json::from_slice(&body).unwrap();
    let hosts = listing.hosts.into_iter();
    hosts.map(|row| (row.name, row.incarnation.0)).collect()
}

/// Of two moves that expect the same version, exactly one must be accepted, and every entry host must show its pool.
#[tokio::test(flavor = "multi_thread")]
async fn two_moves() {
    let pools = ["second", "third"];
    let mut config = CONFIG.to_owned();
    for pool in pools {
        config += &format!("[[pools]]\nname = \"{pool}\"\nmin_available = 0\n");
    }
    let fleet = start_with(&layout(2, 2), &config).await;
    let name = fleet.targets[0].name.clone();
    let seen = Some(host_report(&fleet, 0, &name).await.version);
    let [first, second] = pools.map(|pool| {
        change_request(OperatorChange::MoveHost {
            host: name.clone(),
            pool: PoolName::try_from(pool).unwrap(),
            seen,
        })
    });
    let operators = (
        fleet.operator(0).await.unwrap(),
        fleet.operator(1).await.unwrap(),
    );
    let (first, second) = tokio::join!(operators.0.change(first), operators.1.change(second));
    let accepted = [first.unwrap(), second.unwrap()]
        .map(|outcome| matches!(outcome, ChangeOutcome::Accepted { .. }));
    assert_ne!(accepted[0], accepted[1]);
    let winner = if accepted[0] { pools[0] } else { pools[1] };
    for entry in [0, 1] {
        wait_until("the host is in its new pool", async || {
            let report = host_report(&fleet, entry, &name).await;
            let pool = report.pool.as_str();
            assert!(pool == "orders" || pool == winner, "{report:?}");
            pool == winner
        })
        .await;
    }
    // The expected version of the rejected move stays stale, even when the host can be moved again.
    let late = change_request(OperatorChange::MoveHost {
        host: name.clone(),
        pool: PoolName::try_from("orders").unwrap(),
        seen,
    });
    let outcome = operators.1.change(late).await.unwrap();
    assert!(
        matches!(outcome, ChangeOutcome::Rejected { .. }),
        "{outcome:?}"
    );
}

/// A host must not be rebooted while the entry host that decides on the reboot has a request in flight there.
#[tokio::test(flavor = "multi_thread")]
async fn wave_and_own_request() {
    let fleet = start(&layout(2, 1)).await;
    let observer = fleet.holder(&Duty::HostObservation).await;
    check_wave_waits(&fleet, observer).await;
}

/// A host must not be rebooted while a request is in flight there that only another entry host knows.
#[tokio::test(flavor = "multi_thread")]
async fn wave_and_other_request() {
    let fleet = start(&layout(2, 1)).await;
    let observer = fleet.holder(&Duty::HostObservation).await;
    check_wave_waits(&fleet, 1 - observer).await;
}

/// Starts a wave while `entry` has a request in flight and checks that the reboot waits for its end.
async fn check_wave_waits(fleet: &TestFleet, entry: usize) {
    let request = ClientRequest {
        deadline_ms: 30_000,
        run_ms: 6_000,
        ..once("in-flight")
    };
    let response = fleet.spawn(entry, &request);
    fleet.wait_until_running("in-flight").await;
    let before = listed_incarnations(fleet).await;
    let id = start_wave(fleet, 0).await;
    wait_until("the host is being stopped", async || {
        wave_report(fleet, 0, id).await.stopping > 0
    })
    .await;
    loop {
        let now = listed_incarnations(fleet).await;
        // Checked after the list was read: a request that still runs now was running when the list was made.
        if response.is_finished() {
            break;
        }
        assert_eq!(now, before, "the host was rebooted while it ran a request");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(response.await.unwrap().outcome(), "done");
    wait_until("the wave is done", async || {
        wave_report(fleet, 0, id).await.state == WaveState::Done
    })
    .await;
    assert_ne!(listed_incarnations(fleet).await, before);
}

/// A silent entry host may have requests in flight, so no host may be rebooted until it is in contact again.
#[tokio::test(flavor = "multi_thread")]
async fn wave_and_silence() {
    let fleet = start(&layout(2, 1)).await;
    let before = listed_incarnations(&fleet).await;
    fleet.suspend(1).await;
    let id = start_wave(&fleet, 0).await;
    wait_until("the host is being stopped", async || {
        wave_report(&fleet, 0, id).await.stopping > 0
    })
    .await;
    let end = Instant::now() + SILENCE_DURATION;
    while Instant::now() < end {
        assert_eq!(
            listed_incarnations(&fleet).await,
            before,
            "a host was rebooted"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.resume(1);
    wait_until("the wave is done", async || {
        wave_report(&fleet, 0, id).await.state == WaveState::Done
    })
    .await;
}
