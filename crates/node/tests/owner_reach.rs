//! Guards against callers that are sent to an entry host which is cut off from the owner.

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
        api::{ApiAction, ApiRequest, ApiResponse, JobApi, OwnerClient},
        control::ControlEvent,
        election::OwnerLocation,
        links::{OwnerLink, PeerDirectory},
        metrics::NodeMetrics,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch},
};

const LIMIT: Duration = Duration::from_secs(20);

fn location(address: SocketAddr) -> Option<OwnerLocation> {
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

async fn wait_until(api: &JobApi, ready: bool) {
    let changed = async {
        while api.is_ready() != ready {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(LIMIT, changed).await;
    assert!(
        waited.is_ok(),
        "the entry host does not become ready={ready}"
    );
}

fn owner_client(actor: &TestActor, owner: &watch::Sender<Option<OwnerLocation>>) -> OwnerClient {
    let link = OwnerLink::new(PeerDirectory::new(local(), owner.clone()), logger());
    OwnerClient::new(actor.actor.clone(), link, owner.subscribe())
}

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// This process as the owner.
fn own_place() -> Option<OwnerLocation> {
    Some(OwnerLocation {
        address: local(),
        token: 2,
        own: true,
    })
}

#[tokio::test]
async fn cut_off_is_not_ready() {
    let actor = spawn_actor();
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = silent.local_addr().expect("an address");
    let (owner, _owners) = watch::channel(location(address));
    let (_rules, all_rules) = watch::channel(Some(Arc::new(rules())));
    let owner_client = owner_client(&actor, &owner);
    let metrics = Arc::new(NodeMetrics::new().expect("metrics"));
    let api = Arc::new(JobApi::new(
        owner_client,
        all_rules,
        false,
        metrics,
        logger(),
    ));
    let reach = Arc::clone(&api);
    tokio::spawn(async move { reach.keep_reach().await });
    assert!(api.is_ready());
    let call = ApiRequest {
        host: "press".to_owned(),
        path: "/0000000000000007".to_owned(),
        action: ApiAction::Look,
        timeout: None,
    };
    let response = api.respond(call).await;
    assert!(matches!(response, ApiResponse::Unavailable(_)));
    wait_until(&api, false).await;
    // A new owner that can be reached.
    owner.send_replace(own_place());
    wait_until(&api, true).await;
}

/// A call that reaches no owner must wait for the next one, which is there sooner than a refused caller comes back.
#[tokio::test]
async fn waits_for_next_owner() {
    let actor = spawn_actor();
    actor.lease.extend(LocalTime(u64::MAX));
    let tell = async |event| actor.actor.tell(event).await.expect("the actor runs");
    tell(ControlEvent::Elected(2)).await;
    // Nobody listens there any more.
    let former = SocketAddr::from(([127, 0, 0, 1], 1));
    let (owner, _owners) = watch::channel(location(former));
    let owner_client = Arc::new(owner_client(&actor, &owner));
    let asked = tokio::spawn({
        let owner_client = Arc::clone(&owner_client);
        let call = JobCall::State(JobId(7));
        async move { owner_client.ask(call, Millis(10_000)).await }
    });
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert!(!asked.is_finished(), "refused before the next owner came");
    owner.send_replace(own_place());
    let response = tokio::time::timeout(LIMIT, asked).await;
    assert_eq!(
        response.expect("in time").expect("an answer"),
        CallResponse::Gone
    );
}
