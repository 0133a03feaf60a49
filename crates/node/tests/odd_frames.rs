//! Guards against odd frames between entry hosts that end a process, a listener or the calls of other connections.

mod fakes;

use {
    fakes::{TestActor, logger, spawn_actor},
    futures_util::{SinkExt, StreamExt},
    goldcreststall_core::ids::LocalTime,
    goldcreststall_dispatch::owner::{CallResponse, JobCall},
    goldcreststall_node::{
        control::ControlEvent,
        delegates::DelegateRegistry,
        election::OwnerLease,
        links::{LinkError, LinkServer, OwnerLink, PeerDirectory},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const VARINT: u8 = 0;
const BYTES: u8 = 2;
const GROUP: u8 = 3;

fn directory() -> PeerDirectory {
    let (owner, _) = watch::channel(None);
    PeerDirectory::new(SocketAddr::from(([127, 0, 0, 1], 1)), owner)
}

fn frame(body: &[u8]) -> Vec<u8> {
    let mut frame = (body.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(body);
    frame
}

fn varint(field: u8, value: u64) -> Vec<u8> {
    let mut bytes = vec![field << 3 | VARINT];
    let mut left = value;
    while left >= 0x80 {
        bytes.push(left as u8 | 0x80);
        left >>= 7;
    }
    bytes.push(left as u8);
    bytes
}

fn bytes_field(field: u8, value: &[u8]) -> Vec<u8> {
    let mut bytes = varint(field, value.len() as u64);
    bytes[0] = field << 3 | BYTES;
    bytes.extend_from_slice(value);
    bytes
}

/// Returns bytes that are no message of the protocol, or one with the largest numbers.
fn odd_bodies() -> Vec<Vec<u8>> {
    let groups = vec![4 << 3 | GROUP; 200_000];
    // A submission whose length of a list is larger than any memory.
    let huge_length = [
        3, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1,
    ];
    vec![
        vec![0xff; 40],
        groups,
        bytes_field(2, &[0xff; 40]),
        bytes_field(2, &[9]),
        bytes_field(2, &huge_length),
        bytes_field(2, &huge_length[..5]),
        [varint(1, u64::MAX), bytes_field(2, &[0x80])].concat(),
        vec![2 << 3 | BYTES, 0xff, 0xff, 0xff, 0xff, 0x0f],
    ]
}

async fn start_server(test: &TestActor) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = listener.local_addr().expect("an address");
    let server = LinkServer {
        actor: test.actor.clone(),
        delegates: DelegateRegistry::new(OwnerLease::default(), logger()),
        peers: directory(),
        logger: logger(),
    };
    tokio::spawn(server.serve(listener));
    address
}

/// Writes bytes to a new connection, and closes it once the other end has had time to read them.
async fn write(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // Fails when the other end has closed the connection already.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let _ = tokio::time::timeout(Duration::from_millis(20), read).await;
}

/// Guards against an odd call or registration that ends the server, or the connection of another entry host.
#[tokio::test]
async fn odd_calls() {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    fakes::send_event(&test, ControlEvent::Elected(1)).await;
    let address = start_server(&test).await;
    let link = OwnerLink::new(directory(), logger());
    let mut streams = vec![
        u32::MAX.to_be_bytes().to_vec(),
        (1024_u32 * 1024 + 1).to_be_bytes().to_vec(),
        vec![0],
        frame(&[1, 2, 3])[..5].to_vec(),
    ];
    let largest = u64::from(u32::MAX);
    let profile = [
        bytes_field(1, b"n2"),
        varint(3, largest),
        varint(4, u64::MAX),
    ]
    .concat();
    for body in odd_bodies() {
        streams.push(frame(&body));
        streams.push([frame(&bytes_field(3, &profile)), frame(&body)].concat());
        streams.push([frame(&bytes_field(3, &body)), frame(&varint(1, u64::MAX))].concat());
    }
    for stream in streams {
        write(address, &stream).await;
        let ticking = async {
            loop {
                fakes::send_event(&test, ControlEvent::Tick).await;
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let call = link.call(address, JobCall::Pending("proofs".to_owned()));
        let call = tokio::time::timeout(TEST_TIMEOUT, call);
        let response = tokio::select! {
            response = call => response,
            () = ticking => continue,
        };
        assert_eq!(response.expect("a response"), Ok(CallResponse::Pending(0)));
    }
}

/// Guards against an odd response that ends the calling process, or leaves the call without an end.
#[tokio::test]
async fn odd_responses() {
    let mut bodies = odd_bodies();
    bodies.push([varint(1, 1), bytes_field(2, &[0xff; 9])].concat());
    bodies.push([varint(3, u64::MAX), bytes_field(4, b"127.0.0.1:70000")].concat());
    bodies.push([varint(3, u64::MAX), bytes_field(4, &[0xff, 0xfe])].concat());
    for body in bodies {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
            if frames.next().await.is_some() {
                // Fails when the other end has closed the connection.
                let _ = frames.send(bytes::Bytes::from(body)).await;
            }
        });
        let link = OwnerLink::new(directory(), logger());
        let call = link.call(address, JobCall::Pending(String::new()));
        let response = tokio::time::timeout(TEST_TIMEOUT, call).await;
        assert_eq!(response.expect("an end"), Err(LinkError::Lost));
    }
}
