//! Guards against callers that the load balancer sends to an entry host which cannot reach the owner, and against calls
//! that are refused during a change of the owner.

mod fakes;

use {
    fakes::{TestActor, logger, spawn_actor},
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{
        jobs::JobId,
        owner::{CallResponse, JobCall},
        routes::{FleetRules, RouteRule},
    },
    goldcreststall_node::{
        api::{ApiAction, ApiHead, ApiRequest, ApiResponse, JobApi, OwnerClient},
        control::ControlEvent,
        election::OwnerLocation,
        links::{OwnerLink, PeerDirectory},
        metrics::NodeMetrics,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn remote_owner(address: SocketAddr) -> Option<OwnerLocation> {
    Some(OwnerLocation {
        address,
        token: 1,
        own: false,
    })
}

fn rules() -> FleetRules {
    let route = RouteRule {
        name: "proofs".to_owned(),
        host: "press".to_owned(),
        prefix: "/".to_owned(),
        ..RouteRule::default()
    };
    FleetRules {
        version: 1,
        routes: vec![route],
        ..FleetRules::default()
    }
}

async fn wait_for_readiness(api: &JobApi, ready: bool) {
    let changed = async {
        while api.is_ready() != ready {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(TEST_TIMEOUT, changed).await;
    assert!(
        waited.is_ok(),
        "the readiness of the entry host did not become {ready}"
    );
}

fn owner_client(test: &TestActor, owner: &watch::Sender<Option<OwnerLocation>>) -> OwnerClient {
    let link = OwnerLink::new(PeerDirectory::new(local_address(), owner.clone()), logger());
    OwnerClient::new(test.actor.clone(), link, owner.subscribe())
}

fn local_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Location of the owner when this process is it.
fn local_owner() -> Option<OwnerLocation> {
    Some(OwnerLocation {
        address: local_address(),
        token: 2,
        own: true,
    })
}

#[tokio::test]
async fn cut_off_is_not_ready() {
    let test = spawn_actor();
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = silent.local_addr().expect("an address");
    let (owner, _owner_updates) = watch::channel(remote_owner(address));
    let (_rules, rules_updates) = watch::channel(Some(Arc::new(rules())));
    let owner_client = owner_client(&test, &owner);
    let metrics = Arc::new(NodeMetrics::new().expect("metrics"));
    let api = Arc::new(JobApi::new(
        owner_client,
        rules_updates,
        false,
        metrics,
        logger(),
    ));
    let probing_api = Arc::clone(&api);
    tokio::spawn(async move { probing_api.probe_owner_loop().await });
    assert!(api.is_ready());
    let request = ApiRequest {
        head: ApiHead {
            host: "press".to_owned(),
            path: "/0000000000000007".to_owned(),
            key: None,
        },
        action: ApiAction::Query,
        timeout: None,
    };
    let response = api.respond(request).await;
    assert!(matches!(response, ApiResponse::Unavailable(_)));
    wait_for_readiness(&api, false).await;
    // This process becomes the owner, which can be reached.
    owner.send_replace(local_owner());
    wait_for_readiness(&api, true).await;
}

/// A call that reaches no owner must wait for the next one, which is elected sooner than a refused caller would retry.
#[tokio::test]
async fn waits_for_next_owner() {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    let send = async |event| test.actor.tell(event).await.expect("the actor runs");
    send(ControlEvent::Elected(2)).await;
    // The former owner no longer listens on its address.
    let former = SocketAddr::from(([127, 0, 0, 1], 1));
    let (owner, _owner_updates) = watch::channel(remote_owner(former));
    let owner_client = Arc::new(owner_client(&test, &owner));
    let pending_call = tokio::spawn({
        let owner_client = Arc::clone(&owner_client);
        let call = JobCall::State(JobId(7));
        async move { owner_client.call(call, Millis(10_000)).await }
    });
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert!(
        !pending_call.is_finished(),
        "refused before the next owner was known"
    );
    owner.send_replace(local_owner());
    let response = tokio::time::timeout(TEST_TIMEOUT, pending_call).await;
    assert_eq!(
        response.expect("in time").expect("no panic"),
        CallResponse::Gone
    );
}
