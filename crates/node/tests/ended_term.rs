//! Guards against calls that get no response from an entry host whose term as owner has ended: they must return at
//! once, so that the next owner can be called.

mod fakes;

use {
    fakes::{logger, spawn_actor},
    goldcreststall_core::ids::LocalTime,
    goldcreststall_dispatch::{
        jobs::JobId,
        owner::{CallResponse, JobCall},
    },
    goldcreststall_node::{
        control::ControlEvent,
        delegates::DelegateRegistry,
        links::{LinkServer, OwnerLink, PeerDirectory},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{net::TcpListener, sync::watch},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn call_is_returned() {
    let test = spawn_actor();
    let (owner, _owner_updates) = watch::channel(None);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = LinkServer {
        actor: test.actor.clone(),
        delegates: DelegateRegistry::new(test.lease.clone(), logger()),
        peers: PeerDirectory::new(address, owner.clone()),
        logger: logger(),
    };
    tokio::spawn(server.serve(listener));
    test.lease.extend(LocalTime(u64::MAX));
    test.store.block_reads.store(true, Ordering::SeqCst);
    test.actor
        .tell(ControlEvent::Elected(1))
        .await
        .expect("the actor runs");
    let local = SocketAddr::from(([127, 0, 0, 1], 1));
    let link = Arc::new(OwnerLink::new(PeerDirectory::new(local, owner), logger()));
    let pending_call = tokio::spawn({
        let link = Arc::clone(&link);
        async move { link.call(address, JobCall::State(JobId(7))).await }
    });
    while test.store.job_reads.load(Ordering::SeqCst) == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // The term ends while the call waits for the store to be read.
    tokio::time::sleep(Duration::from_millis(50)).await;
    test.actor
        .tell(ControlEvent::TermEnded)
        .await
        .expect("the actor runs");
    let response = tokio::time::timeout(TEST_TIMEOUT, pending_call)
        .await
        .expect("in time")
        .expect("no panic");
    let response = response.expect("the connection stays open");
    assert!(matches!(
        response,
        CallResponse::Unknown | CallResponse::Unavailable
    ));
}
