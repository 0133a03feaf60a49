//! Guards against commands to the host service that are sent after the lease of the owner has ended, or for a request that
//! was replaced. They carry no deadline, and not every installation of the service refuses those of an earlier owner.

mod fakes;

use {
    fakes::{TestActor, send_event, spawn_actor},
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{
        owner::{HostReport, HostStatus, WaveRequest},
        routes::{FleetRules, ServiceRule},
        runners::Capacity,
    },
    goldcreststall_node::control::ControlEvent,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const SPARE: &str = "spare";
const HOST: &str = "h1";

fn spare_rules() -> Arc<FleetRules> {
    let spare = ServiceRule {
        name: SPARE.to_owned(),
        spare: true,
    };
    Arc::new(FleetRules {
        version: 1,
        services: vec![spare],
        ..FleetRules::default()
    })
}

fn wave(hosts: Vec<String>) -> WaveRequest {
    WaveRequest {
        number: 1,
        hosts,
        duration: Millis(60_000),
        cap: 1,
    }
}

/// Returns an owner that is due to maintain a host which is switched off.
async fn spawn_owner_with_wave() -> TestActor {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    send_event(&test, ControlEvent::Rules(spare_rules())).await;
    send_event(&test, ControlEvent::Wave(wave(vec![HOST.to_owned()]))).await;
    send_event(&test, ControlEvent::Elected(1)).await;
    test
}

/// Lists the host and lets the owner decide until `done`.
async fn run_until(test: &TestActor, done: impl Fn() -> bool) {
    let report = HostReport {
        host: HOST.to_owned(),
        pool: SPARE.to_owned(),
        status: HostStatus::Up,
        runner: None,
        capacity: Capacity::default(),
    };
    let decided = async {
        while !done() {
            send_event(test, ControlEvent::HostsListed(vec![report.clone()])).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, decided)
        .await
        .expect("a command");
}

#[tokio::test]
async fn sent_with_the_lease() {
    let test = spawn_owner_with_wave().await;
    run_until(&test, || !test.hosts.commanded.lock().is_empty()).await;
    assert_eq!(test.hosts.commanded.lock()[0], HOST);
}

/// The command waits for a connection while the process is suspended for longer than its lease lasts.
#[tokio::test]
async fn dropped_after_the_lease() {
    let test = spawn_owner_with_wave().await;
    test.hosts.block_connections.store(true, Ordering::SeqCst);
    run_until(&test, || test.hosts.waiting.load(Ordering::SeqCst) > 0).await;
    test.lease.end();
    test.hosts.block_connections.store(false, Ordering::SeqCst);
    test.hosts.unblocked.notify_waiters();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(
        test.hosts.commanded.lock().is_empty(),
        "a command was sent after the lease had ended"
    );
}

/// The operator has replaced a request before this process became the owner. Only the newest one counts, as for a process
/// that has just started.
#[tokio::test]
async fn replaced_wave() {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    send_event(&test, ControlEvent::Rules(spare_rules())).await;
    for hosts in [vec![HOST.to_owned()], Vec::new()] {
        send_event(&test, ControlEvent::Wave(wave(hosts))).await;
    }
    send_event(&test, ControlEvent::Elected(1)).await;
    let is_completed = || {
        let reports = test.store.reports.lock();
        reports.iter().any(|(_, completed, _)| *completed)
    };
    run_until(&test, || {
        is_completed() || !test.hosts.commanded.lock().is_empty()
    })
    .await;
    assert!(
        test.hosts.commanded.lock().is_empty(),
        "a host was maintained for a request that was replaced"
    );
}
