//! Guards against a status that tells operators less than the entry host knows.

mod fleet;

use {
    fleet::{layout, start, wait_until},
    goldcreststall_core::ids::Millis,
    goldcreststall_operators::OperatorBackend,
};

/// An operator who looks for a slow peer needs the time since its last digest; it was always reported as 0.
#[tokio::test(flavor = "multi_thread")]
async fn silence_of_peers() {
    let fleet = start(&layout(2, 1)).await;
    let operator = fleet.operator(0).await.unwrap();
    wait_until("the peer is reported as silent for a while", async || {
        let peers = operator.status().await.unwrap().peers;
        peers.iter().any(|peer| peer.silent > Millis(0))
    })
    .await;
}
