//! Guards against a relay that forwards bytes which its mode must hold, or passes on the end of a client that lost power.

use {
    goldcreststall_standins::process::{RelayMode, TcpRelay},
    std::{io::ErrorKind, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

/// The mode change and the held bytes wake the tasks of a connection in an order that differs between rounds.
const ROUNDS: usize = 50;
/// Time for the relay to read bytes sent over loopback.
const RELAY_READ_DELAY: Duration = Duration::from_millis(5);
/// Time in which the end of a connection would reach the server.
const SILENCE_DURATION: Duration = Duration::from_millis(100);
/// Limit on a wait for what happens within milliseconds.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes that are held for the client must not reach it when the connection is then cut.
#[tokio::test(flavor = "multi_thread")]
async fn held_reply_cut() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = TcpRelay::start(listener.local_addr().unwrap())
        .await
        .unwrap();
    for round in 0..ROUNDS {
        relay.set(RelayMode::HoldReplies);
        let mut client = TcpStream::connect(relay.address).await.unwrap();
        let (mut server, _) = listener.accept().await.unwrap();
        server.write_all(b"reply").await.unwrap();
        tokio::time::sleep(RELAY_READ_DELAY).await;
        relay.set(RelayMode::Cut);
        let mut received = Vec::new();
        // The connection may end with a reset instead of a close.
        let _ = client.read_to_end(&mut received).await;
        assert!(received.is_empty(), "round {round} received {received:?}");
    }
}

/// A server must not learn that a client without power has ended, whichever way the client's kernel closes the connection;
/// the other clients of the relay are not affected.
#[tokio::test(flavor = "multi_thread")]
async fn silent_end_of_client() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = TcpRelay::start(listener.local_addr().unwrap())
        .await
        .unwrap();
    let mut pairs = Vec::new();
    for _ in 0..3 {
        let client = TcpStream::connect(relay.address).await.unwrap();
        let (server, _) = listener.accept().await.unwrap();
        pairs.push((client, server));
    }
    let lost: Vec<_> = pairs[..2]
        .iter()
        .map(|(client, _)| client.local_addr().unwrap())
        .collect();
    relay.silence_clients(&lost);
    pairs[0].0.set_zero_linger().unwrap();
    let mut servers = Vec::new();
    for (client, server) in pairs {
        drop(client);
        servers.push(server);
    }
    let end = timeout(WAIT_TIMEOUT, servers[2].read(&mut [0; 1])).await;
    assert_eq!(end.expect("an end").unwrap(), 0);
    for server in &mut servers[..2] {
        let end = timeout(SILENCE_DURATION, server.read(&mut [0; 1])).await;
        assert!(end.is_err(), "the server read {end:?}");
    }
}

/// A reset tells a client that its request was not taken, so the relay must not turn it into an orderly end.
#[tokio::test(flavor = "multi_thread")]
async fn reset_by_server() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = TcpRelay::start(listener.local_addr().unwrap())
        .await
        .unwrap();
    for round in 0..ROUNDS {
        let mut client = TcpStream::connect(relay.address).await.unwrap();
        let (server, _) = listener.accept().await.unwrap();
        server.set_zero_linger().unwrap();
        drop(server);
        let end = timeout(WAIT_TIMEOUT, client.read(&mut [0; 1])).await;
        let error = end.expect("an end").unwrap_err();
        assert_eq!(error.kind(), ErrorKind::ConnectionReset, "round {round}");
    }
}
