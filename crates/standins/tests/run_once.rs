//! Guards against a non-idempotent request that runs twice, for failures at any point between claim and response.

mod fleet;

use {
    fleet::{TestFleet, idempotent, layout, once, start, wait_until},
    goldcreststall_standins::{client::ClientRequest, process::RelayMode},
    std::time::Duration,
};

/// Repeats a request until its key is free and the request is done, and checks that it ran once.
async fn run_when_key_free(fleet: &TestFleet, entry: usize, request: &ClientRequest) {
    wait_until("the key is free again", async || {
        fleet.send(entry, request).await.outcome() == "done"
    })
    .await;
    assert_eq!(fleet.runs_of(&request.work_id).await, 1);
}

/// A claim must outlive the entry host that made it: a load balancer repeats the request when the entry host is killed.
#[tokio::test(flavor = "multi_thread")]
async fn holder_killed() {
    let mut fleet = start(&layout(2, 1)).await;
    let request = ClientRequest {
        run_ms: 1_000,
        ..once("killed")
    };
    let first = fleet.spawn(0, &request);
    fleet.wait_until_running("killed").await;
    fleet.kill_entry(0);
    assert_eq!(first.await.unwrap().outcome(), "unknown");
    let second = fleet.send(1, &request).await;
    assert_eq!(second.reason(), "key-claimed", "{second:?}");
    assert_eq!(fleet.runs_of("killed").await, 1);
}

/// An entry host that was suspended after its claim must not send the request once the deadline has passed.
#[tokio::test(flavor = "multi_thread")]
async fn holder_frozen() {
    let mut layout = layout(2, 1);
    layout.relays = true;
    let fleet = start(&layout).await;
    let relays = fleet.entries[0].relays.as_ref().unwrap();
    let request = ClientRequest {
        deadline_ms: 2_500,
        ..once("frozen")
    };
    // The claim is appended to the log, but the entry host cannot read it back before it is suspended.
    relays.log.set(RelayMode::HoldReplies);
    let first = fleet.spawn(0, &request);
    fleet
        .wait_until_claimed(request.key.as_ref().unwrap())
        .await;
    fleet.suspend(0).await;
    relays.log.set(RelayMode::Open);
    let second = fleet.send(1, &request).await;
    assert_eq!(second.reason(), "key-claimed", "{second:?}");
    tokio::time::sleep(Duration::from_millis(request.deadline_ms)).await;
    fleet.resume(0);
    let first = first.await.unwrap();
    assert_eq!(first.outcome(), "not-run", "{first:?}");
    assert_eq!(fleet.runs_of("frozen").await, 0);
    // The key of a refused request is released.
    run_when_key_free(&fleet, 1, &request).await;
}

/// A claim is appended several times because the responses of the log are lost; it must count once.
#[tokio::test(flavor = "multi_thread")]
async fn append_answers_lost() {
    let fleet = start(&layout(2, 1)).await;
    fleet.set_log_faults("{\"lose_answers\":3}").await.unwrap();
    let request = once("lost");
    let first = fleet.send(0, &request).await;
    fleet.check_run_count(&request, &first).await;
    wait_until("the claim was appended again", async || {
        fleet.claims_of(request.key.as_ref().unwrap()).await.len() > 1
    })
    .await;
    let second = fleet.send(1, &request).await;
    assert_ne!(second.outcome(), "done", "{second:?}");
    assert_eq!(first.outcome(), "done", "{first:?}");
    assert_eq!(fleet.runs_of("lost").await, 1);
}

/// No claim can be made while the log is down; a key issued by the entry host must still work, exactly once.
#[tokio::test(flavor = "multi_thread")]
async fn log_outage() {
    let fleet = start(&layout(2, 1)).await;
    fleet.set_log_faults("{\"down\":true}").await.unwrap();
    let refused = once("refused");
    let response = fleet.send(0, &refused).await;
    assert_eq!(response.reason(), "store-unavailable", "{response:?}");
    assert_eq!(response.outcome(), "not-run", "{response:?}");
    let key = fleet.issue_key(0).await;
    let request = ClientRequest {
        key: Some(key),
        ..once("issued")
    };
    let response = fleet.send(0, &request).await;
    assert_eq!(response.outcome(), "done", "{response:?}");
    let response = fleet.send(0, &request).await;
    assert_eq!(response.outcome(), "unknown", "{response:?}");
    assert_eq!(fleet.runs_of("issued").await, 1);
    assert_eq!(fleet.runs_of("refused").await, 0);
    fleet.set_log_faults("{}").await.unwrap();
    run_when_key_free(&fleet, 1, &refused).await;
}

/// When several entry hosts receive the same key at the same time, the request must run at most once.
#[tokio::test(flavor = "multi_thread")]
async fn three_at_once() {
    let fleet = start(&layout(3, 1)).await;
    let mut total_runs = 0;
    for number in 0..8 {
        let request = once(&format!("three-{number}"));
        let responses = [0, 1, 2].map(|entry| fleet.spawn(entry, &request));
        let mut done = 0;
        for response in responses {
            let response = response.await.unwrap();
            done += u32::from(response.outcome() == "done");
        }
        let runs = fleet.runs_of(&request.work_id).await;
        assert!(runs <= 1, "{} ran {runs} times", request.work_id);
        assert_eq!(runs, done);
        total_runs += runs;
    }
    assert!(total_runs > 0, "no request ran at all");
}

/// Only the process that issued a key knows whether it was used, so another entry host or a restarted one must not
/// accept it.
#[tokio::test(flavor = "multi_thread")]
async fn foreign_key() {
    let mut fleet = start(&layout(2, 1)).await;
    let request = ClientRequest {
        key: Some(fleet.issue_key(0).await),
        ..once("foreign")
    };
    let response = fleet.send(1, &request).await;
    assert_eq!(response.reason(), "key-foreign", "{response:?}");
    assert_eq!(response.outcome(), "unknown", "{response:?}");
    fleet.kill_entry(0);
    fleet.start_entry(0).unwrap();
    fleet.wait_until_serving(0).await;
    let response = fleet.send(0, &request).await;
    assert_eq!(response.reason(), "key-foreign", "{response:?}");
    assert_eq!(response.outcome(), "unknown", "{response:?}");
    assert_eq!(fleet.runs_of("foreign").await, 0);
    let other = idempotent("after-restart");
    assert_eq!(fleet.send(0, &other).await.outcome(), "done");
}

/// A caller disconnects while its request is queued; the request never ran, so its key must be released.
#[tokio::test(flavor = "multi_thread")]
async fn caller_leaves_queue() {
    let mut layout = layout(1, 1);
    layout.slots = 1;
    let fleet = start(&layout).await;
    let busy = ClientRequest {
        run_ms: 3_000,
        ..idempotent("busy")
    };
    let busy = fleet.spawn(0, &busy);
    fleet.wait_until_running("busy").await;
    let request = once("left");
    let key = request.key.clone().unwrap();
    let left = fleet.spawn(0, &request);
    fleet.wait_until_claimed(&key).await;
    left.abort();
    wait_until("the request runs under its key", async || {
        fleet.send(0, &request).await.outcome() == "done"
    })
    .await;
    busy.await.unwrap();
    assert_eq!(fleet.runs_of("left").await, 1);
}
