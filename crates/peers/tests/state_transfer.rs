//! Guards against a state that is loaded incompletely or assembled from two transfers.

mod support;

use {
    bytes::Bytes,
    goldcreststall_peers::{
        mesh::PeerError,
        wire::{
            EncodedState, MAX_STATE_BYTES, STATE_CHUNK_BYTES, StateAssembler, StateChunks,
            WireError,
        },
    },
    std::time::Duration,
    support::{LinkFault, Network, at, entry_name, start_hosts},
    tokio::time::{sleep, timeout},
};

fn encoded(next: u64, size: usize) -> EncodedState {
    let bytes: Vec<u8> = (0..size).map(|offset| (offset % 251) as u8).collect();
    EncodedState {
        bytes: Bytes::from(bytes),
        position: at(next),
    }
}

/// A state larger than the maximum frame size must arrive complete.
#[tokio::test(start_paused = true)]
async fn large_state() {
    let network = Network::new(1);
    let hosts = start_hosts(&network, 2);
    let encoded = encoded(9, 20_000_000);
    hosts[1].handler.state.lock().unwrap().encoded = Some(encoded.clone());
    sleep(Duration::from_secs(1)).await;
    let fetched = hosts[0].mesh.fetch_state(&entry_name("e2")).await.unwrap();
    assert!(fetched == encoded, "the state differs");
}

/// An interrupted transfer must return an error and no partial state, and the next attempt the complete state.
#[tokio::test(start_paused = true)]
async fn cut_transfer() {
    let network = Network::new(2);
    network.set_fault("e2", LinkFault::CutResponse(700_000));
    let hosts = start_hosts(&network, 2);
    let encoded = encoded(9, 2_000_000);
    hosts[1].handler.state.lock().unwrap().encoded = Some(encoded.clone());
    sleep(Duration::from_secs(1)).await;
    let cut = hosts[0].mesh.fetch_state(&entry_name("e2")).await;
    assert!(
        matches!(cut, Err(PeerError::Unreachable)),
        "{:?}",
        cut.err()
    );
    network.set_fault("e2", LinkFault::None);
    sleep(Duration::from_secs(2)).await;
    let fetched = hosts[0].mesh.fetch_state(&entry_name("e2")).await.unwrap();
    assert!(fetched == encoded, "the state differs");
}

/// A peer without a state must report that instead of leaving the requester waiting.
#[tokio::test(start_paused = true)]
async fn no_state() {
    let network = Network::new(3);
    let hosts = start_hosts(&network, 2);
    sleep(Duration::from_secs(1)).await;
    let response = hosts[0].mesh.fetch_state(&entry_name("e2")).await;
    assert!(matches!(response, Err(PeerError::NoState)), "{response:?}");
}

/// Chunks of two states of the same size must not be mixed.
#[test]
fn mixed_chunks() {
    let size = 2 * STATE_CHUNK_BYTES;
    let first = StateChunks::new(encoded(9, size)).next().unwrap();
    let second = StateChunks::new(encoded(10, size)).nth(1).unwrap();
    let mut assembler = StateAssembler::default();
    assert_eq!(assembler.add(first), Ok(None));
    let mixed = assembler.add(second);
    assert!(matches!(mixed, Err(WireError::Malformed(_))), "{mixed:?}");
}

/// A missing or repeated chunk must not shift the chunks after it.
#[test]
fn missing_chunk() {
    let chunks: Vec<_> = StateChunks::new(encoded(9, 3 * STATE_CHUNK_BYTES)).collect();
    for wrong in [0, 2] {
        let mut assembler = StateAssembler::default();
        assert_eq!(assembler.add(chunks[0].clone()), Ok(None));
        let result = assembler.add(chunks[wrong].clone());
        assert!(
            matches!(result, Err(WireError::OutOfRange { .. })),
            "{result:?}"
        );
    }
}

/// A peer must not make this host allocate more memory than the maximum state size.
#[test]
fn oversized_state() {
    let mut chunk = StateChunks::new(encoded(9, 10)).next().unwrap();
    chunk.total = MAX_STATE_BYTES + 1;
    let result = StateAssembler::default().add(chunk);
    assert!(
        matches!(result, Err(WireError::OutOfRange { .. })),
        "{result:?}"
    );
}

/// A live peer that never responds must not block a starting host.
#[tokio::test(start_paused = true)]
async fn hanging_peer() {
    let network = Network::new(4);
    let hosts = start_hosts(&network, 2);
    hosts[1].handler.state.lock().unwrap().hangs = true;
    sleep(Duration::from_secs(1)).await;
    let peer = entry_name("e2");
    let response = timeout(Duration::from_secs(6), hosts[0].mesh.fetch_state(&peer)).await;
    assert!(
        matches!(response, Ok(Err(PeerError::Unreachable))),
        "{response:?}"
    );
}
