//! Guards against callers that are sent to an entry host which is cut off from the owner.

mod fakes;

use {
    fakes::{logger, spawn_actor},
    goldcreststall_dispatch::routes::{FleetRules, RouteRule},
    goldcreststall_node::{
        election::OwnerPlace,
        front::{FrontAction, FrontAnswer, FrontCall, FrontDesk, OwnerCourier},
        links::{OwnerLink, PeerBook},
        metrics::NodeMetrics,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch},
};

const LIMIT: Duration = Duration::from_secs(20);

fn place(address: SocketAddr) -> Option<OwnerPlace> {
    Some(OwnerPlace {
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

async fn wait_until(desk: &FrontDesk, ready: bool) {
    let changed = async {
        while desk.is_ready() != ready {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(LIMIT, changed).await;
    assert!(
        waited.is_ok(),
        "the entry host does not become ready={ready}"
    );
}

#[tokio::test]
async fn cut_off_is_not_ready() {
    let actor = spawn_actor();
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = silent.local_addr().expect("an address");
    let (owner, owners) = watch::channel(place(address));
    let (_rules, all_rules) = watch::channel(Some(Arc::new(rules())));
    let local = SocketAddr::from(([127, 0, 0, 1], 1));
    let link = OwnerLink::new(PeerBook::new(local, owner.clone()), logger());
    let courier = OwnerCourier::new(actor.actor.clone(), link, owners);
    let metrics = Arc::new(NodeMetrics::new().expect("metrics"));
    let desk = Arc::new(FrontDesk::new(courier, all_rules, false, metrics, logger()));
    let reach = Arc::clone(&desk);
    tokio::spawn(async move { reach.keep_reach().await });
    assert!(desk.is_ready());
    let call = FrontCall {
        host: "press".to_owned(),
        path: "/0000000000000007".to_owned(),
        action: FrontAction::Look,
        patience: None,
    };
    let answer = desk.answer(call).await;
    assert!(matches!(answer, FrontAnswer::Unavailable(_)));
    wait_until(&desk, false).await;
    // A new owner that can be reached: this process.
    let own = OwnerPlace {
        address: local,
        token: 2,
        own: true,
    };
    owner.send_replace(Some(own));
    wait_until(&desk, true).await;
}
