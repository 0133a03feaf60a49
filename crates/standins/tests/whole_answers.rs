//! Guards against a response that is cut, late or another caller's and looks complete.

mod fleet;

use {
    bytes::Bytes,
    fleet::{idempotent, layout, once, start, until},
    goldcreststall_standins::{
        client::{ClientRequest, ClientResponse, read_response},
        process::{RelayMode, TcpRelay},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

fn assert_own(request: &ClientRequest, response: &ClientResponse) {
    let ClientResponse::Whole {
        body,
        outcome,
        work,
        ..
    } = response
    else {
        panic!("{} got {response:?}", request.work);
    };
    assert_eq!(outcome, "done", "{response:?}");
    assert_eq!((body, work), (&request.body, &request.work));
}

/// A body that the target cut must end as an aborted body, and must not spoil the next exchange.
#[tokio::test(flavor = "multi_thread")]
async fn body_cut() {
    let fleet = start(&layout(1, 1)).await;
    fleet
        .set_target_faults(0, "{\"truncate\":2}")
        .await
        .unwrap();
    // A pause before each piece lets the head and half of the body leave before the cut.
    for request in [idempotent("cut-1"), once("cut-2")] {
        let request = ClientRequest {
            piece_ms: 100,
            ..request
        };
        let response = fleet.send(0, &request).await;
        assert!(
            matches!(response, ClientResponse::Broken(_)),
            "{response:?}"
        );
    }
    let request = once("whole");
    let response = fleet.send(0, &request).await;
    assert_own(&request, &response);
}

/// A response without a length has no end mark in HTTP/1.0, so a cut one would look complete there.
#[tokio::test(flavor = "multi_thread")]
async fn old_protocol() {
    let fleet = start(&layout(1, 1)).await;
    fleet
        .set_target_faults(0, "{\"truncate\":1}")
        .await
        .unwrap();
    let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
    let request = "POST /work HTTP/1.0\r\ngcs-service: orders\r\ngcs-tenant: tenant-1\r\n\
        gcs-idempotent: true\r\nwork-id: old\r\npiece-ms: 100\r\ncontent-length: 8\r\n\r\n12345678";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    // A reset connection is a response that did not end, which the caller notices.
    let ended = stream.read_to_end(&mut response).await.is_ok();
    let response = String::from_utf8_lossy(&response).to_lowercase();
    let complete = ended && response.contains(" 200 ok") && !response.contains("content-length");
    assert!(!complete, "a cut answer looks complete: {response}");
    if response.contains("gcs-outcome: not-run") {
        assert_eq!(fleet.runs_of("old").await, 0);
    }
}

/// A response that comes after the deadline belongs to nobody, so its connection is not used again.
#[tokio::test(flavor = "multi_thread")]
async fn late_answer() {
    let fleet = start(&layout(1, 1)).await;
    for number in 0..4 {
        let late = ClientRequest {
            body: Bytes::from("late"),
            deadline_ms: 300,
            run_ms: 900,
            ..once(&format!("late-{number}"))
        };
        let response = fleet.send(0, &late).await;
        assert_ne!(response.outcome(), "done", "{response:?}");
        fleet.check_agrees(&late, &response).await;
        let sent: Vec<_> = (0..4)
            .map(|index| {
                let request = ClientRequest {
                    run_ms: 200 * index,
                    ..idempotent(&format!("own-{number}-{index}"))
                };
                (fleet.spawn(0, &request), request)
            })
            .collect();
        for (response, request) in sent {
            assert_own(&request, &response.await.unwrap());
        }
    }
}

/// An entry host that dies cuts its answers; the next one at its address serves whole ones.
#[tokio::test(flavor = "multi_thread")]
async fn same_address() {
    let mut fleet = start(&layout(1, 1)).await;
    let request = ClientRequest {
        piece_ms: 600,
        ..idempotent("cut")
    };
    let head = fleet.client.open(fleet.callers(0), &request).await.unwrap();
    fleet.kill_entry(0);
    let response = read_response(head).await;
    assert!(
        matches!(response, ClientResponse::Broken(_)),
        "{response:?}"
    );
    fleet.start_entry(0).unwrap();
    fleet.wait_serves(0).await;
    let request = once("whole");
    let response = fleet.send(0, &request).await;
    assert_own(&request, &response);
}

/// Answers that a slow link delivers after the deadline must not meet the requests that follow.
#[tokio::test(flavor = "multi_thread")]
async fn slow_link() {
    let fleet = start(&layout(1, 1)).await;
    let relay = TcpRelay::start(fleet.targets[0].address).await.unwrap();
    let mut row = fleet.targets[0].clone();
    row.address = relay.address;
    fleet.list_host(&row).await.unwrap();
    // Nothing gets through a relay that is cut, so the entry host uses it once its requests fail.
    relay.set(RelayMode::Cut);
    until("the relay is used", async || {
        fleet.send(0, &idempotent("cut-off")).await.outcome() != "done"
    })
    .await;
    relay.set(RelayMode::Open);
    fleet.wait_serves(0).await;
    for number in 0..3 {
        relay.set(RelayMode::HoldReplies);
        let late = ClientRequest {
            body: Bytes::from("late"),
            deadline_ms: 1_000,
            ..once(&format!("late-{number}"))
        };
        let response = fleet.spawn(0, &late);
        fleet.wait_runs(&late.work).await;
        let response = response.await.unwrap();
        assert_eq!(response.outcome(), "unknown", "{response:?}");
        relay.set(RelayMode::Open);
        for index in 0..4 {
            let request = once(&format!("own-{number}-{index}"));
            let response = fleet.send(0, &request).await;
            assert_own(&request, &response);
        }
        assert_eq!(fleet.runs_of(&late.work).await, 1);
    }
}

/// A request that was lost after it was sent may have run, so it is not sent again, whatever the budget of
/// retries allows.
#[tokio::test(flavor = "multi_thread")]
async fn answer_lost() {
    let fleet = start(&layout(1, 1)).await;
    // Retries are a share of the requests of the last seconds.
    let earlier: Vec<_> = (0..60)
        .map(|number| fleet.spawn(0, &idempotent(&format!("earlier-{number}"))))
        .collect();
    for response in earlier {
        assert_eq!(response.await.unwrap().outcome(), "done");
    }
    let faults = "{\"lose_answers\":1}";
    fleet.set_target_faults(0, faults).await.unwrap();
    let request = once("lost");
    let response = fleet.send(0, &request).await;
    assert_eq!(response.reason(), "connection-lost", "{response:?}");
    assert_eq!(fleet.runs_of("lost").await, 1);
}
