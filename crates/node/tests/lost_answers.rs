//! Guards against callers that are told that their job was not accepted although it may be: a call whose answer was lost
//! may still be on its way to the owner.

mod fakes;

use {
    fakes::{logger, spawn_actor, submit_call},
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{
        jobs::JobId,
        owner::{CallResponse, JobCall},
    },
    goldcreststall_node::{
        api::OwnerClient,
        delegates::DelegateRegistry,
        election::OwnerLocation,
        links::{LinkServer, OwnerLink, PeerDirectory},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const CALL_TIMEOUT: Millis = Millis(3_000);
const RETRY_AFTER: Millis = Millis(700);
/// Keys of the fields of a call and of its response: number and content.
const NUMBER_KEY: u8 = 8;
const CONTENT_KEY: u8 = 18;

fn local_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

async fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let length = stream.read_u32().await.expect("a frame");
    let mut frame = vec![0; length as usize];
    stream.read_exact(&mut frame).await.expect("a whole frame");
    frame
}

async fn write_frame(stream: &mut TcpStream, frame: &[u8]) {
    stream.write_u32(frame.len() as u32).await.expect("written");
    stream.write_all(frame).await.expect("written");
}

/// Starts an owner that loses its first `lost` connections after a call, and answers the calls on the next with
/// `response`.
async fn spawn_owner(lost: usize, response: CallResponse) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for _ in 0..lost {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            read_frame(&mut stream).await;
        }
        let (mut stream, _) = listener.accept().await.expect("a connection");
        loop {
            let call = read_frame(&mut stream).await;
            let content = postcard::to_stdvec(&response).expect("a response");
            let mut frame = vec![NUMBER_KEY, call[1], CONTENT_KEY, content.len() as u8];
            frame.extend(content);
            write_frame(&mut stream, &frame).await;
        }
    });
    address
}

async fn call_owner(address: SocketAddr, call: JobCall) -> CallResponse {
    let location = OwnerLocation {
        address,
        token: 1,
        own: false,
    };
    let (owner, updates) = watch::channel(Some(location));
    let link = OwnerLink::new(PeerDirectory::new(local_address(), owner), logger());
    let client = OwnerClient::new(spawn_actor().actor, link, updates);
    let called = client.call(call, CALL_TIMEOUT);
    tokio::time::timeout(TEST_TIMEOUT, called)
        .await
        .expect("a response")
}

#[tokio::test]
async fn busy_at_once() {
    let address = spawn_owner(0, CallResponse::Busy(RETRY_AFTER)).await;
    let response = call_owner(address, submit_call(7, 1, 1_000)).await;
    assert_eq!(response, CallResponse::Busy(RETRY_AFTER));
}

/// The first attempt may still reach the owner and be accepted once it is less busy.
#[tokio::test]
async fn busy_after_a_lost_answer() {
    let address = spawn_owner(1, CallResponse::Busy(RETRY_AFTER)).await;
    let response = call_owner(address, submit_call(7, 1, 1_000)).await;
    assert_eq!(response, CallResponse::Unknown);
}

#[tokio::test]
async fn refused_after_a_lost_answer() {
    let address = spawn_owner(1, CallResponse::Unavailable).await;
    let response = call_owner(address, submit_call(7, 1, 1_000)).await;
    assert_eq!(response, CallResponse::Unknown);
}

#[tokio::test]
async fn accepted_after_a_lost_answer() {
    let address = spawn_owner(1, CallResponse::Accepted).await;
    let response = call_owner(address, submit_call(7, 1, 1_000)).await;
    assert_eq!(response, CallResponse::Accepted);
}

/// A query has no effect, so that its caller may simply ask again.
#[tokio::test]
async fn query_after_a_lost_answer() {
    let address = spawn_owner(1, CallResponse::Unavailable).await;
    let response = call_owner(address, JobCall::State(JobId(7))).await;
    assert_eq!(response, CallResponse::Unavailable);
}

/// A call that the owner cannot decode is refused at once: nothing was done, and its caller must not wait.
#[tokio::test]
async fn undecodable_call() {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (owner, _) = watch::channel(None);
    let server = LinkServer {
        actor: test.actor.clone(),
        delegates: DelegateRegistry::new(test.lease.clone(), logger()),
        peers: PeerDirectory::new(address, owner),
        logger: logger(),
    };
    tokio::spawn(server.serve(listener));
    let mut stream = TcpStream::connect(address).await.expect("connected");
    write_frame(&mut stream, &[NUMBER_KEY, 5, CONTENT_KEY, 2, 255, 255]).await;
    let answered = tokio::time::timeout(TEST_TIMEOUT, read_frame(&mut stream));
    let frame = answered.await.expect("a response");
    let content = postcard::to_stdvec(&CallResponse::Unavailable).expect("a response");
    let mut expected = vec![NUMBER_KEY, 5, CONTENT_KEY, content.len() as u8];
    expected.extend(content);
    assert_eq!(frame, expected);
}
