//! Guards against a relay that forwards bytes which its mode must hold.

use {
    goldcreststall_standins::process::{RelayMode, TcpRelay},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// The mode change and the held bytes wake the tasks of a connection in an order that differs between rounds.
const ROUNDS: usize = 50;
/// Time for the relay to read bytes sent over loopback.
const RELAY_READ_DELAY: Duration = Duration::from_millis(5);

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
