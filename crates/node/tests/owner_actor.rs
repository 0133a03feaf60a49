//! Guards against an owner that forgets what it heard before it had read the store, and one that answers without a
//! lease.

mod fakes;

use {
    fakes::{TestActor, runner, spawn_actor, submit, tell},
    goldcreststall_core::ids::LocalTime,
    goldcreststall_dispatch::{
        jobs::JobId,
        owner::{CallResponse, JobCall},
    },
    goldcreststall_node::control::ControlEvent,
    std::{sync::atomic::Ordering, time::Duration},
    tokio::sync::oneshot,
};

const LIMIT: Duration = Duration::from_secs(20);

async fn call(test: &TestActor, call: JobCall) -> CallResponse {
    let (reply, response) = oneshot::channel();
    tell(test, ControlEvent::Call { call, reply }).await;
    let mut response = response;
    let asked = async {
        loop {
            tokio::select! {
                response = &mut response => return response.unwrap_or(CallResponse::Unknown),
                () = tokio::time::sleep(Duration::from_millis(5)) => {
                    tell(test, ControlEvent::Tick).await;
                }
            }
        }
    };
    tokio::time::timeout(LIMIT, asked).await.expect("an answer")
}

async fn wait_for_start(test: &TestActor) {
    let started = async {
        while test.runners.starts.lock().is_empty() {
            tell(test, ControlEvent::Tick).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(LIMIT, started).await.expect("a start");
}

#[tokio::test]
async fn early_runners() {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    test.store.hold_reads.store(true, Ordering::SeqCst);
    tell(&test, ControlEvent::Elected(1)).await;
    // The list comes before the store was read, and does not come again.
    tell(&test, ControlEvent::RunnersListed(vec![runner("r1")])).await;
    test.store.hold_reads.store(false, Ordering::SeqCst);
    test.store.released.notify_waiters();
    test.store.released.notify_one();
    assert_eq!(
        call(&test, submit(7, 1, 1_000)).await,
        CallResponse::Accepted
    );
    wait_for_start(&test).await;
}

#[tokio::test]
async fn no_lease() {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    tell(&test, ControlEvent::Elected(1)).await;
    assert_eq!(
        call(&test, submit(7, 1, 1_000)).await,
        CallResponse::Accepted
    );
    test.lease.end();
    // A newer owner may have accepted the job that this one does not know.
    let cancelled = call(&test, JobCall::Cancel(JobId(8))).await;
    assert_eq!(cancelled, CallResponse::Unavailable);
    let looked = call(&test, JobCall::State(JobId(7))).await;
    assert_eq!(looked, CallResponse::Unavailable);
}

#[tokio::test]
async fn not_owner() {
    let test = spawn_actor();
    assert_eq!(
        call(&test, submit(7, 1, 1_000)).await,
        CallResponse::Unavailable
    );
    assert!(test.store.jobs.lock().is_empty());
}

#[tokio::test]
async fn lost_answer() {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    tell(&test, ControlEvent::Elected(1)).await;
    assert_eq!(
        call(&test, submit(7, 1, 1_000)).await,
        CallResponse::Accepted
    );
    test.store.lose_answer.store(true, Ordering::SeqCst);
    assert_eq!(
        call(&test, submit(8, 1, 1_000)).await,
        CallResponse::Accepted
    );
    let jobs = test.store.jobs.lock();
    let copies = jobs.iter().filter(|(key, _)| key.starts_with("j/")).count();
    assert_eq!(
        copies, 2,
        "an append whose answer was lost was stored twice or not at all"
    );
}
