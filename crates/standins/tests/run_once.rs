//! Guards against a non-idempotent request that runs twice, whatever fails between its claim and its response.

mod fleet;

use {
    fleet::{TestFleet, idempotent, layout, once, start, until},
    goldcreststall_standins::{client::ClientRequest, process::RelayMode},
    rustix::process::Signal,
    std::time::Duration,
};

/// Sends a request again until its key is free, and expects it to run then.
async fn run_when_free(fleet: &TestFleet, entry: usize, request: &ClientRequest) {
    until("the key is free again", async || {
        fleet.send(entry, request).await.outcome() == "done"
    })
    .await;
    assert_eq!(fleet.runs_of(&request.work).await, 1);
}

/// The claim must outlive its holder: a balancer repeats the request when an entry host dies.
#[tokio::test(flavor = "multi_thread")]
async fn holder_killed() {
    let mut fleet = start(&layout(2, 1)).await;
    let request = ClientRequest {
        run_ms: 1_000,
        ..once("killed")
    };
    let first = fleet.spawn(0, &request);
    fleet.wait_runs("killed").await;
    fleet.kill_entry(0);
    assert_eq!(first.await.unwrap().outcome(), "unknown");
    let second = fleet.send(1, &request).await;
    assert_eq!(second.reason(), "key-claimed", "{second:?}");
    assert_eq!(fleet.runs_of("killed").await, 1);
}

/// A holder that was frozen after its claim must not send when the deadline passed meanwhile.
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
    // The claim reaches the log, and its holder cannot read it back before it is frozen.
    relays.log.set(RelayMode::HoldReplies);
    let first = fleet.spawn(0, &request);
    fleet.wait_claim(request.key.as_ref().unwrap()).await;
    fleet.signal(0, Signal::STOP);
    relays.log.set(RelayMode::Open);
    let second = fleet.send(1, &request).await;
    assert_eq!(second.reason(), "key-claimed", "{second:?}");
    tokio::time::sleep(Duration::from_millis(request.deadline_ms)).await;
    fleet.signal(0, Signal::CONT);
    let first = first.await.unwrap();
    assert_eq!(first.outcome(), "not-run", "{first:?}");
    assert_eq!(fleet.runs_of("frozen").await, 0);
    // The key of a request that was refused is given back.
    run_when_free(&fleet, 1, &request).await;
}

/// A claim whose append was answered too late is in the log several times and counts once.
#[tokio::test(flavor = "multi_thread")]
async fn append_answers_lost() {
    let fleet = start(&layout(2, 1)).await;
    fleet.set_log_faults("{\"lose_answers\":3}").await.unwrap();
    let request = once("lost");
    let first = fleet.send(0, &request).await;
    fleet.check_agrees(&request, &first).await;
    until("the claim was appended again", async || {
        fleet.claims_of(request.key.as_ref().unwrap()).await.len() > 1
    })
    .await;
    let second = fleet.send(1, &request).await;
    assert_ne!(second.outcome(), "done", "{second:?}");
    assert_eq!(first.outcome(), "done", "{first:?}");
    assert_eq!(fleet.runs_of("lost").await, 1);
}

/// Without the log no claim can be made; a key of the entry host must do, and only once.
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
    run_when_free(&fleet, 1, &refused).await;
}

/// Several entry hosts that get the same key at once must not all send the request.
#[tokio::test(flavor = "multi_thread")]
async fn three_at_once() {
    let fleet = start(&layout(3, 1)).await;
    let mut total = 0;
    for number in 0..8 {
        let request = once(&format!("three-{number}"));
        let sent = [0, 1, 2].map(|entry| fleet.spawn(entry, &request));
        let mut done = 0;
        for response in sent {
            let response = response.await.unwrap();
            done += u32::from(response.outcome() == "done");
        }
        let runs = fleet.runs_of(&request.work).await;
        assert!(runs <= 1, "{} ran {runs} times", request.work);
        assert_eq!(runs, done);
        total += runs;
    }
    assert!(total > 0, "no request ran at all");
}

/// Only the run of an entry host that issued a key knows whether it was used.
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
    fleet.wait_serves(0).await;
    let response = fleet.send(0, &request).await;
    assert_eq!(response.reason(), "key-foreign", "{response:?}");
    assert_eq!(response.outcome(), "unknown", "{response:?}");
    assert_eq!(fleet.runs_of("foreign").await, 0);
    let other = idempotent("after-restart");
    assert_eq!(fleet.send(0, &other).await.outcome(), "done");
}

/// A caller that leaves while its request is queued leaves its key free: the request never ran.
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
    fleet.wait_runs("busy").await;
    let request = once("left");
    let key = request.key.clone().unwrap();
    let left = fleet.spawn(0, &request);
    fleet.wait_claim(&key).await;
    left.abort();
    until("the request runs under its key", async || {
        fleet.send(0, &request).await.outcome() == "done"
    })
    .await;
    busy.await.unwrap();
    assert_eq!(fleet.runs_of("left").await, 1);
}
