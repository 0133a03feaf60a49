//! Guards against an entry host without organisations in its configuration that sends other bytes to the owner than before
//! there were organisations, or refuses calls with a key.

mod fakes;

use {
    fakes::{logger, spawn_actor},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::{JobSpec, StepSpec},
        routes::{FleetRules, RouteRule},
    },
    goldcreststall_node::{
        api::{ApiAction, ApiHead, ApiRequest, JobApi, OwnerClient, PresentedKey},
        election::OwnerLocation,
        links::{OwnerLink, PeerDirectory},
        metrics::NodeMetrics,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{io::AsyncReadExt, net::TcpListener, sync::watch},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Frames of version 921d115, which knew no organisations; of the submission those before the time of day.
const FRAMES: [&str; 4] = [
    "08011208010670726f6f6673",
    "080112020207",
    "080112020007",
    "0801124603070670726f6f6673057072657373012f0570726573739003000003000000000000f83f0004746578740101d00f000000000000000000000000000000000000",
];
/// Hexadecimal digits of a time of day at the end of a submission.
const TIME_DIGITS: usize = 12;

async fn read_frame(listener: &TcpListener) -> Vec<u8> {
    let read = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let length = stream.read_u32().await.expect("a length");
        let mut frame = vec![0; length as usize];
        stream.read_exact(&mut frame).await.expect("a frame");
        frame
    };
    tokio::time::timeout(TEST_TIMEOUT, read)
        .await
        .expect("a call in time")
}

#[tokio::test]
async fn same_frames() {
    let route = RouteRule {
        name: "proofs".to_owned(),
        host: "press".to_owned(),
        prefix: "/".to_owned(),
        service: "press".to_owned(),
        timeout: Millis(400),
        attempts: 3,
        stretch: 1.5,
        ..RouteRule::default()
    };
    let rules = FleetRules {
        version: 1,
        routes: vec![route],
        ..FleetRules::default()
    };
    let step = StepSpec {
        count: 1,
        cpu: 2_000,
        ..StepSpec::default()
    };
    let job = JobSpec {
        spec: "text".to_owned(),
        steps: vec![step],
        ..JobSpec::default()
    };
    let requests = [
        ("/", ApiAction::Query),
        ("/0000000000000007", ApiAction::Query),
        ("/0000000000000007", ApiAction::Cancel),
        ("/0000000000000007", ApiAction::Submit(Ok(job))),
    ];
    for ((path, action), wanted) in requests.into_iter().zip(FRAMES) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
        let address = listener.local_addr().expect("an address");
        let location = OwnerLocation {
            address,
            token: 1,
            own: false,
        };
        let (owner, updates) = watch::channel(Some(location));
        let peers = PeerDirectory::new(SocketAddr::from(([127, 0, 0, 1], 1)), owner);
        let link = OwnerLink::new(peers, logger());
        let client = OwnerClient::new(spawn_actor().actor, link, updates);
        let (_, rules) = watch::channel(Some(Arc::new(rules.clone())));
        let metrics = Arc::new(NodeMetrics::new().expect("metrics"));
        let api = JobApi::new(client, rules, false, metrics, logger());
        let head = ApiHead {
            host: "press".to_owned(),
            path: path.to_owned(),
            key: Some(PresentedKey::new("secret-1")),
        };
        assert_eq!(api.refuse_early(&head), None);
        let request = ApiRequest {
            head,
            action,
            timeout: None,
        };
        tokio::spawn(async move { api.respond(request).await });
        let frame = read_frame(&listener).await;
        let frame: String = frame.iter().map(|byte| format!("{byte:02x}")).collect();
        let is_submission = frame.len() > FRAMES[0].len();
        let time_digits = if is_submission { TIME_DIGITS } else { 0 };
        assert_eq!(&frame[..frame.len() - time_digits], wanted, "{path}");
    }
}
