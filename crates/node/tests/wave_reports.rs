//! Guards against a wave that stays reported as running for good: a report that is repeated, or stored late, must not
//! replace a newer one.

mod fakes;

use {
    fakes::spawn_actor,
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::owner::WaveRequest,
    goldcreststall_node::control::ControlEvent,
    std::{sync::atomic::Ordering, time::Duration},
};

const TOKEN: u64 = 1;
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn last_report_wins() {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    test.store.lose_next_report.store(true, Ordering::SeqCst);
    let send = async |event| test.actor.tell(event).await.expect("the actor runs");
    send(ControlEvent::Elected(TOKEN)).await;
    send(ControlEvent::Wave(WaveRequest {
        number: 7,
        hosts: Vec::new(),
        duration: Millis(1_000),
        cap: 1,
    }))
    .await;
    let reported = async {
        while test.store.reports.lock().len() < 2 {
            send(ControlEvent::HostsListed(Vec::new())).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, reported)
        .await
        .expect("two reports");
    let reports = test.store.reports.lock().clone();
    assert_eq!(reports, [(7, false, (TOKEN, 0)), (7, true, (TOKEN, 1))]);
}
