//! Guards against new work for a target that is leaving and is known as such to one entry host only.

mod fleet;

use {
    fleet::{idempotent, layout, start, until},
    std::time::Duration,
};

/// The bound of the design.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// The log is out and the list shows the target as live, so only the peers can tell.
#[tokio::test(flavor = "multi_thread")]
async fn known_to_one() {
    let fleet = start(&layout(3, 2)).await;
    fleet.set_log_faults("{\"down\":true}").await.unwrap();
    fleet
        .set_target_faults(0, "{\"leaving\":true}")
        .await
        .unwrap();
    let mut number = 0;
    until("one entry host learns it", async || {
        number += 1;
        fleet.send(0, &idempotent(&format!("probe-{number}"))).await;
        fleet.target_counts(0).await.unwrap().refused > 0
    })
    .await;
    tokio::time::sleep(LEAVING_LIMIT).await;
    let before = fleet.target_counts(0).await.unwrap();
    // The target would run now whatever it got.
    fleet.set_target_faults(0, "{}").await.unwrap();
    for entry in 0..3 {
        for number in 0..15 {
            let request = idempotent(&format!("new-{entry}-{number}"));
            let response = fleet.send(entry, &request).await;
            assert_eq!(response.outcome(), "done", "{response:?}");
        }
    }
    let after = fleet.target_counts(0).await.unwrap();
    assert_eq!(before, after, "the leaving target got new work");
}
