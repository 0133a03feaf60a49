//! Guards against floods that open a connection for each work item, and against commands that are sent after the lease.

mod fakes;

use {
    fakes::{TestActor, runner, spawn_actor, submit, tell},
    goldcreststall_core::ids::LocalTime,
    goldcreststall_node::control::ControlEvent,
    std::{sync::atomic::Ordering, time::Duration},
    tokio::sync::oneshot,
};

const ITEMS: u32 = 8;
const LIMIT: Duration = Duration::from_secs(20);

/// Ticks until `count` commands to start have reached the runner.
async fn wait_for_starts(test: &TestActor, count: usize) {
    let waited = async {
        while test.runners.starts.lock().len() < count {
            tell(test, ControlEvent::Tick).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(LIMIT, waited)
        .await
        .expect("orders to start");
}

/// Hands in a job of [`ITEMS`] work items that one runner leaves unanswered, and waits for the first commands.
async fn unanswered_flood() -> TestActor {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    test.runners.hold_starts.store(true, Ordering::SeqCst);
    tell(&test, ControlEvent::Elected(1)).await;
    tell(&test, ControlEvent::RunnersListed(vec![runner("r1")])).await;
    let call = submit(7, ITEMS, 100);
    let (reply, _answer) = oneshot::channel();
    tell(&test, ControlEvent::Call { call, reply }).await;
    wait_for_starts(&test, 4).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    test
}

fn release(test: &TestActor) {
    test.runners.hold_starts.store(false, Ordering::SeqCst);
    test.runners.released.notify_waiters();
}

#[tokio::test]
async fn few_at_a_time() {
    let test = unanswered_flood().await;
    assert_eq!(test.runners.starts.lock().len(), 4);
    release(&test);
    wait_for_starts(&test, ITEMS as usize).await;
}

#[tokio::test]
async fn none_after_the_lease() {
    let test = unanswered_flood().await;
    test.lease.end();
    release(&test);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(
        test.runners.starts.lock().len(),
        4,
        "an order was sent after the lease"
    );
}
