//! Guards against a response that looks complete although it is truncated, late or belongs to another request.

mod fleet;

use {
    bytes::Bytes,
    fleet::{idempotent, layout, once, start, wait_until},
    goldcreststall_standins::{
        client::{ClientRequest, ClientResponse, read_response},
        process::{RelayMode, TcpRelay},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

fn assert_matching(request: &ClientRequest, response: &ClientResponse) {
    let ClientResponse::Complete {
        body,
        outcome,
        work_id,
        ..
    } = response
    else {
        panic!("{} got {response:?}", request.work_id);
    };
    assert_eq!(outcome, "done", "{response:?}");
    assert_eq!((body, work_id), (&request.body, &request.work_id));
}

/// A body truncated by the target must be aborted towards the caller, and must not affect the next request.
#[tokio::test(flavor = "multi_thread")]
async fn body_cut() {
    let fleet = start(&layout(1, 1)).await;
    fleet
        .set_target_faults(0, "{\"truncate\":2}")
        .await
        .unwrap();
    // The delay before each chunk lets the head and half of the body be sent before the target closes the connection.
    for request in [idempotent("cut-1"), once("cut-2")] {
        let request = ClientRequest {
            chunk_delay_ms: 100,
            ..request
        };
        let response = fleet.send(0, &request).await;
        assert!(
            matches!(response, ClientResponse::Incomplete(_)),
            "{response:?}"
        );
    }
    let request = once("whole");
    let response = fleet.send(0, &request).await;
    assert_matching(&request, &response);
}

/// In HTTP/1.0, a response without a content length ends when the connection closes, so a truncated one would look
/// complete.
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
    // On a reset connection the caller can tell that the response is incomplete.
    let closed_cleanly = stream.read_to_end(&mut response).await.is_ok();
    let response = String::from_utf8_lossy(&response).to_lowercase();
    let complete =
        closed_cleanly && response.contains(" 200 ok") && !response.contains("content-length");
    assert!(!complete, "a truncated response looks complete: {response}");
    if response.contains("gcs-outcome: not-run") {
        assert_eq!(fleet.runs_of("old").await, 0);
    }
}

/// No request waits for a response that arrives after the deadline, so its connection must not be reused.
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
        fleet.check_run_count(&late, &response).await;
        let requests: Vec<_> = (0..4)
            .map(|index| {
                let request = ClientRequest {
                    run_ms: 200 * index,
                    ..idempotent(&format!("own-{number}-{index}"))
                };
                (fleet.spawn(0, &request), request)
            })
            .collect();
        for (response, request) in requests {
            assert_matching(&request, &response.await.unwrap());
        }
    }
}

/// Responses of a killed entry host are aborted; the next one on the same address must send complete ones.
#[tokio::test(flavor = "multi_thread")]
async fn same_address() {
    let mut fleet = start(&layout(1, 1)).await;
    let request = ClientRequest {
        chunk_delay_ms: 600,
        ..idempotent("cut")
    };
    let head = fleet.client.open(fleet.callers(0), &request).await.unwrap();
    fleet.kill_entry(0);
    let response = read_response(head).await;
    assert!(
        matches!(response, ClientResponse::Incomplete(_)),
        "{response:?}"
    );
    fleet.start_entry(0).unwrap();
    fleet.wait_until_serving(0).await;
    let request = once("whole");
    let response = fleet.send(0, &request).await;
    assert_matching(&request, &response);
}

/// Responses that a slow link delivers after the deadline must not be returned to later requests.
#[tokio::test(flavor = "multi_thread")]
async fn slow_link() {
    let fleet = start(&layout(1, 1)).await;
    let relay = TcpRelay::start(fleet.targets[0].address).await.unwrap();
    let mut row = fleet.targets[0].clone();
    row.address = relay.address;
    fleet.list_host(&row).await.unwrap();
    // A cut relay forwards nothing, so the entry host has switched to it once requests fail.
    relay.set(RelayMode::Cut);
    wait_until("the relay is used", async || {
        fleet.send(0, &idempotent("cut-off")).await.outcome() != "done"
    })
    .await;
    relay.set(RelayMode::Open);
    fleet.wait_until_serving(0).await;
    for number in 0..3 {
        relay.set(RelayMode::HoldReplies);
        let late = ClientRequest {
            body: Bytes::from("late"),
            deadline_ms: 1_000,
            ..once(&format!("late-{number}"))
        };
        let response = fleet.spawn(0, &late);
        fleet.wait_until_running(&late.work_id).await;
        let response = response.await.unwrap();
        assert_eq!(response.outcome(), "unknown", "{response:?}");
        relay.set(RelayMode::Open);
        for index in 0..4 {
            let request = once(&format!("own-{number}-{index}"));
            let response = fleet.send(0, &request).await;
            assert_matching(&request, &response);
        }
        assert_eq!(fleet.runs_of(&late.work_id).await, 1);
    }
}

/// A request whose connection was lost after it was sent may have run, so it must not be sent again, even if the
/// retry budget allows it.
#[tokio::test(flavor = "multi_thread")]
async fn answer_lost() {
    let fleet = start(&layout(1, 1)).await;
    // The retry budget is a fraction of the requests of the last seconds.
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
