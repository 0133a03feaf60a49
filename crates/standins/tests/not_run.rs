//! Guards against a request that is reported as not run although a target ran it.

mod fleet;

use {
    fleet::{CONFIG, idempotent, layout, once, start, start_with, wait_until},
    goldcreststall_standins::client::ClientRequest,
};

/// When a leaving target reports a request as not run, the caller must get that outcome, and the target no more
/// requests.
#[tokio::test(flavor = "multi_thread")]
async fn target_refuses() {
    let fleet = start(&layout(1, 1)).await;
    fleet
        .set_target_faults(0, "{\"leaving\":true}")
        .await
        .unwrap();
    for (work_id, reason) in [("first", "target-refused"), ("second", "no-target")] {
        let request = once(work_id);
        let response = fleet.send(0, &request).await;
        assert_eq!(response.reason(), reason, "{response:?}");
        assert_eq!(response.outcome(), "not-run", "{response:?}");
        fleet.check_run_count(&request, &response).await;
    }
    assert_eq!(fleet.target_counts(0).await.unwrap().refused, 1);
}

/// A request whose connection could not be opened was not sent, so it can run once the target is back.
#[tokio::test(flavor = "multi_thread")]
async fn nobody_listens() {
    let mut fleet = start(&layout(1, 1)).await;
    fleet.target_processes[0] = None;
    let mut sent = Vec::new();
    // A closed idle connection may only be detected when a request is sent over it, which is no connect failure.
    wait_until("a connect fails", async || {
        let request = once(&format!("refused-{}", sent.len()));
        let response = fleet.send(0, &request).await;
        let failed = response.reason() == "connect-failed";
        sent.push((request, response));
        failed
    })
    .await;
    fleet.start_target(0).await.unwrap();
    fleet.wait_until_serving(0).await;
    for (request, response) in &sent {
        assert_ne!(response.outcome(), "done", "{response:?}");
        assert_eq!(fleet.runs_of(&request.work_id).await, 0);
    }
    let (request, _) = sent.last().unwrap();
    wait_until("the key is free again", async || {
        fleet.send(0, request).await.outcome() == "done"
    })
    .await;
    assert_eq!(fleet.runs_of(&request.work_id).await, 1);
}

/// Requests that are refused for a full queue or an unreachable deadline must never be sent later.
#[tokio::test(flavor = "multi_thread")]
async fn queue_limits() {
    let mut layout = layout(1, 1);
    layout.slots = 1;
    let config = CONFIG.replace("pool = \"orders\"\n", "pool = \"orders\"\nmax_queue = 4\n");
    let fleet = start_with(&layout, &config).await;
    let long = ClientRequest {
        deadline_ms: 30_000,
        run_ms: 4_000,
        ..once("long")
    };
    let first = fleet.spawn(0, &long);
    fleet.wait_until_running("long").await;
    let short = ClientRequest {
        deadline_ms: 300,
        ..once("short")
    };
    let late = fleet.send(0, &short).await;
    assert_eq!(late.outcome(), "not-run", "{late:?}");
    let queued: Vec<_> = (0..12)
        .map(|number| {
            let request = ClientRequest {
                deadline_ms: 30_000,
                ..once(&format!("queued-{number}"))
            };
            (fleet.spawn(0, &request), request)
        })
        .collect();
    let mut queue_full_count = 0;
    for (response, request) in queued {
        let response = response.await.unwrap();
        queue_full_count += u32::from(response.reason() == "queue-full");
        fleet.check_run_count(&request, &response).await;
    }
    assert!(queue_full_count > 0, "the queue was never full");
    assert_eq!(first.await.unwrap().outcome(), "done");
    assert_eq!(fleet.runs_of("short").await, 0);
}

/// Two failures at once: the log is down while the target is killed and restarted.
#[tokio::test(flavor = "multi_thread")]
async fn target_and_log() {
    let mut fleet = start(&layout(1, 1)).await;
    fleet.set_log_faults("{\"down\":true}").await.unwrap();
    fleet.target_processes[0] = None;
    let mut sent = Vec::new();
    for number in 0..3 {
        let issued = ClientRequest {
            key: Some(fleet.issue_key(0).await),
            ..once(&format!("issued-{number}"))
        };
        for request in [
            idempotent(&format!("again-{number}")),
            issued,
            once(&format!("claimed-{number}")),
        ] {
            let response = fleet.send(0, &request).await;
            assert_ne!(response.outcome(), "done", "{response:?}");
            sent.push((request, response));
        }
    }
    fleet.start_target(0).await.unwrap();
    fleet.wait_until_serving(0).await;
    for (request, _) in &sent {
        assert_eq!(
            fleet.runs_of(&request.work_id).await,
            0,
            "{}",
            request.work_id
        );
    }
    let is_claimed = |request: &&ClientRequest| request.work_id.starts_with("claimed");
    let claimed = sent.iter().filter(|(request, _)| is_claimed(&request));
    for (_, response) in claimed {
        assert_eq!(response.reason(), "store-unavailable", "{response:?}");
    }
    // An issued key stays valid on its entry host after its request was refused as not run.
    let (request, response) = &sent[7];
    assert_eq!(response.reason(), "connect-failed", "{response:?}");
    assert_eq!(fleet.send(0, request).await.outcome(), "done");
    assert_eq!(fleet.runs_of(&request.work_id).await, 1);
}

/// An issued key must stay valid after its request was refused as not run, even if other keys were issued meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn issued_key_returned() {
    let fleet = start(&layout(1, 1)).await;
    fleet.set_target_faults(0, "{\"refuse\":1}").await.unwrap();
    let request = ClientRequest {
        key: Some(fleet.issue_key(0).await),
        run_ms: 1_500,
        ..once("returned")
    };
    let first = fleet.spawn(0, &request);
    wait_until("the target has the request", async || {
        fleet.target_counts(0).await.unwrap().refused > 0
    })
    .await;
    fleet.issue_key(0).await;
    let first = first.await.unwrap();
    assert_eq!(first.reason(), "target-refused", "{first:?}");
    let second = fleet.send(0, &request).await;
    assert_eq!(second.outcome(), "done", "{second:?}");
    assert_eq!(fleet.runs_of("returned").await, 1);
}

/// The first attempt ran and its response was lost, and the retry was refused. The outcome must be unknown, not that of
/// the refusal.
#[tokio::test(flavor = "multi_thread")]
async fn lost_then_refused() {
    let fleet = start(&layout(1, 1)).await;
    // The retry budget grows by one retry per ten requests.
    for number in 0..40 {
        let request = idempotent(&format!("before-{number}"));
        assert_eq!(fleet.send(0, &request).await.outcome(), "done");
    }
    let lose_response = "{\"lose_answers\":1}";
    fleet.set_target_faults(0, lose_response).await.unwrap();
    let request = ClientRequest {
        run_ms: 1_500,
        ..idempotent("lost-then-refused")
    };
    let sent = fleet.spawn(0, &request);
    fleet.wait_until_running(&request.work_id).await;
    let lose_and_leave = "{\"lose_answers\":1,\"leaving\":true}";
    fleet.set_target_faults(0, lose_and_leave).await.unwrap();
    let response = sent.await.unwrap();
    assert_eq!(fleet.runs_of(&request.work_id).await, 1);
    assert_eq!(response.outcome(), "unknown", "{response:?}");
}
