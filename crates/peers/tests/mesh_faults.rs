//! Guards against a faulty peer or connection that affects the others.

mod support;

use {
    bytes::Bytes,
    goldcreststall_core::ids::Incarnation,
    goldcreststall_peers::{
        mesh::{MeshSettings, PeerAddress, PeerMesh, PeerSettingError, TcpDialer},
        wire::{Frame, Hello, RawDigest, frame_codec},
    },
    std::{sync::Arc, time::Duration},
    support::{
        LinkFault, Network, TestHandler, discard_logger, entry_id, entry_name, host_names,
        start_host, start_hosts, stop_hosts,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, duplex},
        net::TcpListener,
        time::{sleep, timeout},
    },
    tokio_util::{codec::Encoder, sync::CancellationToken},
};

fn framed(frame: Frame) -> Vec<u8> {
    let mut bytes = bytes::BytesMut::new();
    frame_codec().encode(frame.encode(), &mut bytes).unwrap();
    bytes.to_vec()
}

fn hello(from: &str, to: &str) -> Vec<u8> {
    framed(Frame::Hello(Hello {
        first_sequence: 0,
        from: entry_id(from, 1),
        to: entry_name(to),
    }))
}

/// Sends bytes to the only host of a test and returns whether it closes the connection within `limit`.
async fn is_closed_within(limit: Duration, bytes: Vec<u8>) -> bool {
    let network = Network::new(5);
    let names = host_names(2);
    let host = start_host(&network, entry_id("e1", 1), &names);
    host.handler.state.lock().unwrap().hangs = true;
    let (mut near, far) = duplex(1024);
    host.mesh.accept(far);
    near.write_all(&bytes).await.unwrap();
    let mut received = Vec::new();
    let end = timeout(limit, near.read_to_end(&mut received)).await;
    stop_hosts(vec![host]).await;
    end.is_ok()
}

async fn is_closed_after(bytes: Vec<u8>) -> bool {
    is_closed_within(Duration::from_secs(1), bytes).await
}

/// Connections of peers that died without closing them must not accumulate.
#[tokio::test(start_paused = true)]
async fn silent_connection() {
    assert!(is_closed_within(Duration::from_secs(3), Vec::new()).await);
    let hello = hello("e2", "e1");
    assert!(!is_closed_within(Duration::from_secs(9), hello.clone()).await);
    assert!(is_closed_within(Duration::from_secs(11), hello).await);
}

/// A peer that sends requests without reading the responses must not exhaust the memory.
#[tokio::test(start_paused = true)]
async fn many_requests() {
    let requests = |count| {
        [
            vec![hello("e2", "e1")],
            vec![framed(Frame::FetchState); count],
        ]
        .concat()
    };
    assert!(!is_closed_after(requests(2).concat()).await);
    assert!(is_closed_after(requests(5).concat()).await);
}

/// Connections beyond the limit must be closed at once.
#[tokio::test(start_paused = true)]
async fn many_connections() {
    let network = Network::new(13);
    let host = start_host(&network, entry_id("e1", 1), &host_names(2));
    let mut streams = Vec::new();
    for _ in 0..9 {
        let (near, far) = duplex(1024);
        host.mesh.accept(far);
        streams.push(near);
    }
    let mut byte = [0];
    let last = timeout(Duration::from_secs(1), streams[8].read(&mut byte)).await;
    assert_eq!(last.unwrap().unwrap(), 0);
    let first = timeout(Duration::from_secs(1), streams[0].read(&mut byte)).await;
    assert!(first.is_err());
}

/// A connection that violates the protocol must be closed, and one that follows it must stay open.
#[tokio::test(start_paused = true)]
async fn broken_protocol() {
    let digest = |number| {
        framed(Frame::Digest(RawDigest {
            number,
            ..RawDigest::default()
        }))
    };
    let valid = [hello("e2", "e1"), digest(0), digest(1)].concat();
    assert!(!is_closed_after(valid).await);
    let cases = [
        ("garbage", vec![0, 0, 4, 9, 9, 9, 9]),
        (
            "long frame",
            [hello("e2", "e1"), vec![255, 255, 255]].concat(),
        ),
        ("no hello", digest(0)),
        (
            "second hello",
            [hello("e2", "e1"), hello("e2", "e1")].concat(),
        ),
        ("gap", [hello("e2", "e1"), digest(0), digest(2)].concat()),
        ("unknown peer", hello("e9", "e1")),
        ("other receiver", hello("e2", "e3")),
        (
            "response",
            [hello("e2", "e1"), framed(Frame::State(None))].concat(),
        ),
    ];
    for (name, bytes) in cases {
        assert!(is_closed_after(bytes).await, "{name} was accepted");
    }
}

/// A truncated frame must not be taken for a complete one.
#[tokio::test(start_paused = true)]
async fn cut_frame() {
    let network = Network::new(6);
    let host = start_host(&network, entry_id("e1", 1), &host_names(2));
    let (mut near, far) = duplex(1024);
    host.mesh.accept(far);
    let digest = framed(Frame::Digest(RawDigest {
        demand: vec![0, 5],
        services: vec!["proof".to_owned()],
        ..RawDigest::default()
    }));
    let bytes = [hello("e2", "e1"), digest].concat();
    near.write_all(&bytes[..bytes.len() - 1]).await.unwrap();
    near.shutdown().await.unwrap();
    sleep(Duration::from_secs(1)).await;
    assert!(host.handler.state.lock().unwrap().received.is_empty());
}

/// A peer that stops reading must not delay digests to the others.
#[tokio::test(start_paused = true)]
async fn frozen_peer() {
    let network = Network::new(7);
    network.set_fault("e3", LinkFault::Freeze(64));
    let hosts = start_hosts(&network, 3);
    for second in 1..20 {
        sleep(Duration::from_secs(1)).await;
        assert!(hosts[0].handler.has_contact("e2"), "second {second}");
        assert!(hosts[1].handler.has_contact("e1"), "second {second}");
        assert!(!hosts[2].handler.has_contact("e1"), "second {second}");
    }
}

/// A peer that reads again must receive digests again, although its old connection accepts no more bytes.
#[tokio::test(start_paused = true)]
async fn resumed_peer() {
    let network = Network::new(8);
    network.set_fault("e2", LinkFault::Freeze(16));
    let hosts = start_hosts(&network, 2);
    sleep(Duration::from_secs(5)).await;
    network.set_fault("e2", LinkFault::None);
    sleep(Duration::from_secs(3)).await;
    assert!(hosts[1].handler.has_contact("e1"));
}

/// After a network partition, connections may be dead without reporting an error: both sides must open new
/// ones.
#[tokio::test(start_paused = true)]
async fn healed_partition() {
    let network = Network::new(9);
    for name in ["e1", "e2"] {
        network.set_fault(name, LinkFault::Freeze(1024 * 1024));
    }
    let hosts = start_hosts(&network, 2);
    sleep(Duration::from_secs(5)).await;
    for name in ["e1", "e2"] {
        network.set_fault(name, LinkFault::None);
    }
    sleep(Duration::from_secs(3)).await;
    assert!(hosts[0].handler.has_contact("e2"));
    assert!(hosts[1].handler.has_contact("e1"));
}

/// A peer that is restarted under the same name must be received again as a new incarnation.
#[tokio::test(start_paused = true)]
async fn restarted_peer() {
    let network = Network::new(10);
    let hosts = start_hosts(&network, 2);
    sleep(Duration::from_secs(3)).await;
    hosts[1].stop.cancel();
    hosts[1].mesh.wait_stopped().await;
    sleep(Duration::from_secs(3)).await;
    assert!(!hosts[0].handler.has_contact("e2"));
    let restarted = start_host(&network, entry_id("e2", 2), &host_names(2));
    sleep(Duration::from_secs(2)).await;
    assert!(hosts[0].handler.has_contact("e2") && restarted.handler.has_contact("e1"));
    let state = hosts[0].handler.state.lock().unwrap();
    assert_eq!(
        state.received.last().unwrap().from.incarnation,
        Incarnation(2)
    );
}

/// A draining host must notify its peers before it stops.
#[tokio::test(start_paused = true)]
async fn draining_peer() {
    let network = Network::new(11);
    let hosts = start_hosts(&network, 2);
    sleep(Duration::from_secs(1)).await;
    hosts[1].handler.state.lock().unwrap().draining = true;
    sleep(Duration::from_millis(250)).await;
    let now = hosts[0].handler.now();
    let state = hosts[0].handler.state.lock().unwrap();
    assert!(state.table.is_draining(now, &entry_name("e2")));
}

/// A shutdown must end all tasks, even those that send to an unresponsive peer.
#[tokio::test(start_paused = true)]
async fn clean_shutdown() {
    let network = Network::new(12);
    network.set_fault("e3", LinkFault::Freeze(64));
    let hosts = start_hosts(&network, 3);
    sleep(Duration::from_secs(3)).await;
    hosts[0].stop.cancel();
    let stopped = timeout(Duration::from_secs(2), hosts[0].mesh.wait_stopped()).await;
    assert!(stopped.is_ok());
}

/// Two hosts must connect over TCP and transfer a state.
#[tokio::test]
async fn over_tcp() {
    let mut listeners = Vec::new();
    let mut addresses = Vec::new();
    for name in ["e1", "e2"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = format!("{name}={}", listener.local_addr().unwrap());
        addresses.push(PeerAddress::try_from(address.as_str()).unwrap());
        listeners.push(listener);
    }
    let mut hosts = Vec::new();
    for (name, listener) in ["e1", "e2"].into_iter().zip(listeners) {
        let settings = MeshSettings::new(entry_id(name, 1), addresses.clone()).unwrap();
        let handler = TestHandler::new();
        handler.state.lock().unwrap().encoded = Some(goldcreststall_peers::wire::EncodedState {
            bytes: Bytes::from(vec![1; 1_000_000]),
            position: support::at(3),
        });
        let mesh = Arc::new(PeerMesh::start(
            settings,
            Arc::new(TcpDialer),
            handler.clone(),
            Arc::new(|| 0),
            discard_logger(),
            CancellationToken::new(),
        ));
        let listening = Arc::clone(&mesh);
        tokio::spawn(async move { listening.listen(listener).await });
        hosts.push((mesh, handler));
    }
    // The timeout only ends a test that hangs.
    let found = timeout(Duration::from_secs(60), async {
        while !(hosts[0].1.has_contact("e2") && hosts[1].1.has_contact("e1")) {
            sleep(Duration::from_millis(5)).await;
        }
        hosts[0].0.fetch_state(&entry_name("e2")).await
    });
    assert_eq!(found.await.unwrap().unwrap().bytes.len(), 1_000_000);
}

/// A mistake in the settings must be reported and not ignored.
#[test]
fn peer_settings() {
    for text in ["e1", "e1=host:80", "e1=10.0.0.1", "E1=10.0.0.1:80"] {
        assert!(PeerAddress::try_from(text).is_err(), "{text}");
    }
    let peer = |text| PeerAddress::try_from(text).unwrap();
    let duplicates = vec![peer("e2=10.0.0.1:80"), peer("e2=10.0.0.2:80")];
    let result = MeshSettings::new(entry_id("e1", 1), duplicates);
    assert_eq!(result, Err(PeerSettingError::Duplicate(entry_name("e2"))));
    let with_local = vec![peer("e1=10.0.0.1:80"), peer("e2=10.0.0.2:80")];
    let settings = MeshSettings::new(entry_id("e1", 1), with_local).unwrap();
    assert_eq!(settings.peers().len(), 1);
}
