//! Guards against a wave that is reported as running for good: a report that is sent again, or carried out late, must not
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
const LIMIT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn last_report_wins() {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    test.store.lose_reports.store(true, Ordering::SeqCst);
    let tell = async |event| test.actor.tell(event).await.expect("the actor runs");
    tell(ControlEvent::Elected(TOKEN)).await;
    tell(ControlEvent::Wave(WaveRequest {
        number: 7,
        hosts: Vec::new(),
        duration: Millis(1_000),
        cap: 1,
    }))
    .await;
    let reported = async {
        while test.store.reports.lock().len() < 2 {
            tell(ControlEvent::HostsListed(Vec::new())).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(LIMIT, reported)
        .await
        .expect("two reports");
    let reports = test.store.reports.lock().clone();
    assert_eq!(reports, [(7, false, (TOKEN, 0)), (7, true, (TOKEN, 1))]);
}
