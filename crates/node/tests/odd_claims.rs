//! Guards against a record of the ownership topic that keeps every entry host from claiming.

mod fakes;

use {
    bytes::Bytes,
    fakes::{FakeStore, logger},
    goldcreststall_core::ids::Millis,
    goldcreststall_node::{
        election::{ElectionEvent, ElectionTask, OwnerLease, OwnershipRecord},
        links::PeerDirectory,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::{mpsc, watch},
    tokio_util::sync::CancellationToken,
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns whether an entry host claims after these records.
async fn claims(records: Vec<Bytes>) -> bool {
    let store = Arc::new(FakeStore::default());
    store.ownership.lock().extend(records);
    let address = SocketAddr::from(([127, 0, 0, 1], 7_001));
    let (events, mut received) = mpsc::unbounded_channel();
    let (owner, _owner_updates) = watch::channel(None);
    let task = ElectionTask {
        claimant: "entry-1".to_owned(),
        address,
        store,
        events,
        peers: PeerDirectory::new(address, owner.clone()),
        owner,
        lease: OwnerLease::default(),
        claim_delay: Millis(0),
        stop: CancellationToken::new(),
        logger: logger(),
    };
    let running = tokio::spawn(task.run());
    let elected = tokio::time::timeout(TEST_TIMEOUT, received.recv()).await;
    running.abort();
    matches!(elected, Ok(Some(ElectionEvent::Elected(_))))
}

fn record(lease_ms: u64) -> Bytes {
    let record = OwnershipRecord {
        claimant: "entry-2".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 7_002)),
        token: u64::MAX,
        lease_ms,
        released: false,
    };
    Bytes::from(postcard::to_stdvec(&record).expect("a record"))
}

/// Guards against a claim that names a lease without an end.
#[tokio::test]
async fn longest_lease() {
    assert!(claims(vec![record(u64::MAX)]).await);
}

/// Guards against records that cannot be decoded.
#[tokio::test]
async fn odd_records() {
    let whole = record(1_300);
    let odd = [
        Bytes::new(),
        Bytes::from_static(&[0xff; 60]),
        whole.slice(..8),
    ];
    assert!(claims(odd.to_vec()).await);
}
