//! Guards against calls that are sent on a silent connection: their outcome would be unknown, and their callers could
//! not try another entry host.

mod fakes;

use {
    fakes::logger,
    goldcreststall_dispatch::owner::JobCall,
    goldcreststall_node::links::{LinkError, OwnerLink, PeerDirectory},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn no_call_on_silent_link() {
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = silent.local_addr().expect("an address");
    let (owner, _owner_updates) = watch::channel(None);
    let local = SocketAddr::from(([127, 0, 0, 1], 1));
    let link = Arc::new(OwnerLink::new(PeerDirectory::new(local, owner), logger()));
    let call = || JobCall::Pending("proofs".to_owned());
    let first = tokio::spawn({
        let link = Arc::clone(&link);
        async move { link.call(address, call()).await }
    });
    // The connection stays open until the first call fails; once it counts as silent, no other call may be sent on it.
    let refused = async {
        loop {
            tokio::time::sleep(Duration::from_millis(500)).await;
            let second =
                tokio::time::timeout(Duration::from_millis(50), link.call(address, call()));
            match second.await {
                Ok(Err(LinkError::NotSent)) if !first.is_finished() => return true,
                Ok(_) => return false,
                Err(_) => {}
            }
        }
    };
    let refused = tokio::time::timeout(TEST_TIMEOUT, refused).await;
    assert_eq!(refused, Ok(true), "a call was sent on a silent connection");
}
