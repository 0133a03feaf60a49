//! Guards against a relay that lets bytes pass that its mode keeps back.

use {
    goldcreststall_standins::process::{RelayMode, TcpRelay},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// The order of the two wake-ups of a connection differs from round to round.
const ROUNDS: usize = 50;
/// Enough for bytes on loopback to be read by the relay.
const RELAY_PAUSE: Duration = Duration::from_millis(5);

/// A reply that is held when its connection is cut never reaches the client.
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
        tokio::time::sleep(RELAY_PAUSE).await;
        relay.set(RelayMode::Cut);
        let mut received = Vec::new();
        // A reset of the connection is as good an end as a close.
        let _ = client.read_to_end(&mut received).await;
        assert!(received.is_empty(), "round {round} received {received:?}");
    }
}
