//! Guards against a state that is taken in part or put together from two transfers.

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
    support::{LinkFault, Network, at, entry, start_hosts},
    tokio::time::{sleep, timeout},
};

fn encoded(next: u64, size: usize) -> EncodedState {
    let bytes: Vec<u8> = (0..size).map(|offset| (offset % 251) as u8).collect();
    EncodedState {
        bytes: Bytes::from(bytes),
        position: at(next),
    }
}

/// A state larger than any frame must arrive whole.
#[tokio::test(start_paused = true)]
async fn large_state() {
    let network = Network::new(1);
    let hosts = start_hosts(&network, 2);
    let encoded = encoded(9, 20_000_000);
    hosts[1].handler.memory.lock().unwrap().encoded = Some(encoded.clone());
    sleep(Duration::from_secs(1)).await;
    let fetched = hosts[0].mesh.fetch_state(&entry("e2")).await.unwrap();
    assert!(fetched == encoded, "the state differs");
}

/// A transfer that is cut must yield an error, not a part, and the next attempt must yield the whole.
#[tokio::test(start_paused = true)]
async fn cut_transfer() {
    let network = Network::new(2);
    network.set_fault("e2", LinkFault::CutAnswer(700_000));
    let hosts = start_hosts(&network, 2);
    let encoded = encoded(9, 2_000_000);
    hosts[1].handler.memory.lock().unwrap().encoded = Some(encoded.clone());
    sleep(Duration::from_secs(1)).await;
    let cut = hosts[0].mesh.fetch_state(&entry("e2")).await;
    assert!(
        matches!(cut, Err(PeerError::Unreachable)),
        "{:?}",
        cut.err()
    );
    network.set_fault("e2", LinkFault::None);
    sleep(Duration::from_secs(2)).await;
    let fetched = hosts[0].mesh.fetch_state(&entry("e2")).await.unwrap();
    assert!(fetched == encoded, "the state differs");
}

/// A peer without a state must say so instead of leaving the asker waiting.
#[tokio::test(start_paused = true)]
async fn no_state() {
    let network = Network::new(3);
    let hosts = start_hosts(&network, 2);
    sleep(Duration::from_secs(1)).await;
    let response = hosts[0].mesh.fetch_state(&entry("e2")).await;
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

/// A chunk that is missing or repeated must not shift the rest.
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

/// A peer must not make this host reserve more memory than a state may take.
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

/// A peer that lives but never answers must not block a starting host.
#[tokio::test(start_paused = true)]
async fn hanging_peer() {
    let network = Network::new(4);
    let hosts = start_hosts(&network, 2);
    hosts[1].handler.memory.lock().unwrap().hangs = true;
    sleep(Duration::from_secs(1)).await;
    let peer = entry("e2");
    let response = timeout(Duration::from_secs(6), hosts[0].mesh.fetch_state(&peer)).await;
    assert!(
        matches!(response, Ok(Err(PeerError::Unreachable))),
        "{response:?}"
    );
}
