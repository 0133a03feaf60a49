//! Guards against new requests to a leaving target when only one entry host has seen that it leaves.

mod fleet;

use {
    fleet::{idempotent, layout, start, wait_until},
    std::time::Duration,
};

/// Time within which, by design, all entry hosts know that a target leaves.
const MAX_NOTICE_DELAY: Duration = Duration::from_secs(3);

/// The log is down and the host list shows the target as live, so the notice can only come from peers.
#[tokio::test(flavor = "multi_thread")]
async fn known_to_one() {
    let fleet = start(&layout(3, 2)).await;
    fleet.set_log_faults("{\"down\":true}").await.unwrap();
    fleet
        .set_target_faults(0, "{\"leaving\":true}")
        .await
        .unwrap();
    let mut number = 0;
    wait_until("an entry host gets a refusal", async || {
        number += 1;
        fleet.send(0, &idempotent(&format!("probe-{number}"))).await;
        fleet.target_counts(0).await.unwrap().refused > 0
    })
    .await;
    tokio::time::sleep(MAX_NOTICE_DELAY).await;
    let before = fleet.target_counts(0).await.unwrap();
    // From here on the target would run any request it receives.
    fleet.set_target_faults(0, "{}").await.unwrap();
    for entry in 0..3 {
        for number in 0..15 {
            let request = idempotent(&format!("new-{entry}-{number}"));
            let response = fleet.send(entry, &request).await;
            assert_eq!(response.outcome(), "done", "{response:?}");
        }
    }
    let after = fleet.target_counts(0).await.unwrap();
    assert_eq!(before, after, "the leaving target received new requests");
}
