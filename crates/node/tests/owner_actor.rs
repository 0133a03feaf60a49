//! Guards against an owner that loses events which arrive before it has read the store, that answers calls without a
//! lease, or that stores a batch twice when the response to the append was lost.

mod fakes;

use {
    fakes::{TestActor, report, send_event, spawn_actor, submit_call},
    goldcreststall_core::ids::LocalTime,
    goldcreststall_dispatch::{
        jobs::JobId,
        owner::{CallResponse, JobCall},
    },
    goldcreststall_node::control::ControlEvent,
    std::{sync::atomic::Ordering, time::Duration},
    tokio::sync::oneshot,
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

async fn call(test: &TestActor, call: JobCall) -> CallResponse {
    let (reply, response) = oneshot::channel();
    send_event(test, ControlEvent::Call { call, reply }).await;
    let mut response = response;
    let answered = async {
        loop {
            tokio::select! {
                response = &mut response => return response.unwrap_or(CallResponse::Unknown),
                () = tokio::time::sleep(Duration::from_millis(5)) => {
                    send_event(test, ControlEvent::Tick).await;
                }
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, answered)
        .await
        .expect("a response")
}

async fn wait_for_start(test: &TestActor) {
    let started = async {
        while test.runners.starts.lock().is_empty() {
            send_event(test, ControlEvent::Tick).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, started)
        .await
        .expect("a start");
}

#[tokio::test]
async fn early_runners() {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    test.store.block_reads.store(true, Ordering::SeqCst);
    send_event(&test, ControlEvent::Elected(1)).await;
    // The list arrives before the store was read, and does not arrive again.
    send_event(&test, ControlEvent::RunnersListed(vec![report("r1")])).await;
    test.store.block_reads.store(false, Ordering::SeqCst);
    test.store.unblocked.notify_waiters();
    test.store.unblocked.notify_one();
    assert_eq!(
        call(&test, submit_call(7, 1, 1_000)).await,
        CallResponse::Accepted
    );
    wait_for_start(&test).await;
}

#[tokio::test]
async fn no_lease() {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    send_event(&test, ControlEvent::Elected(1)).await;
    assert_eq!(
        call(&test, submit_call(7, 1, 1_000)).await,
        CallResponse::Accepted
    );
    test.lease.end();
    // A newer owner may have accepted this job, which the actor does not know.
    let cancelled = call(&test, JobCall::Cancel(JobId(8))).await;
    assert_eq!(cancelled, CallResponse::Unavailable);
    let queried = call(&test, JobCall::State(JobId(7))).await;
    assert_eq!(queried, CallResponse::Unavailable);
}

#[tokio::test]
async fn not_owner() {
    let test = spawn_actor();
    assert_eq!(
        call(&test, submit_call(7, 1, 1_000)).await,
        CallResponse::Unavailable
    );
    assert!(test.store.jobs.lock().is_empty());
}

#[tokio::test]
async fn lost_answer() {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    send_event(&test, ControlEvent::Elected(1)).await;
    assert_eq!(
        call(&test, submit_call(7, 1, 1_000)).await,
        CallResponse::Accepted
    );
    test.store.lose_next_response.store(true, Ordering::SeqCst);
    assert_eq!(
        call(&test, submit_call(8, 1, 1_000)).await,
        CallResponse::Accepted
    );
    let jobs = test.store.jobs.lock();
    let copies = jobs.iter().filter(|(key, _)| key.starts_with("j/")).count();
    assert_eq!(
        copies, 2,
        "an append whose response was lost was stored twice or not at all"
    );
}

/// While the store fails, new submissions are refused. One that is repeated because its answer was lost must not be: its
/// caller would believe that the job never runs.
#[tokio::test]
async fn repeated_submission_in_outage() {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    send_event(&test, ControlEvent::Elected(1)).await;
    let accepted = call(&test, submit_call(7, 1, 1_000)).await;
    assert_eq!(accepted, CallResponse::Accepted);
    test.store.refuse_jobs.store(true, Ordering::SeqCst);
    // The first one is in an append that may be stored, the second one is refused.
    let (reply, _response) = oneshot::channel();
    let in_flight = submit_call(8, 1, 1_000);
    send_event(
        &test,
        ControlEvent::Call {
            call: in_flight,
            reply,
        },
    )
    .await;
    let refused = call(&test, submit_call(9, 1, 1_000)).await;
    assert_eq!(refused, CallResponse::Unavailable);
    let repeated = call(&test, submit_call(7, 1, 1_000)).await;
    assert_eq!(repeated, CallResponse::Accepted);
    let unknown = tokio::time::timeout(
        Duration::from_millis(500),
        call(&test, submit_call(8, 1, 1_000)),
    );
    assert!(
        unknown.await.is_err(),
        "a job that may be stored was refused"
    );
}
