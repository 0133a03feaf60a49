//! Guards against a flood of jobs that opens a connection for each work item, and against start commands that are sent
//! after the lease has ended or the job was cancelled.

mod fakes;

use {
    fakes::{TestActor, report, send_event, spawn_actor, submit_call},
    goldcreststall_core::ids::LocalTime,
    goldcreststall_dispatch::{
        jobs::JobId,
        owner::{CallResponse, JobCall, RunStart},
        runners::RunnerReport,
    },
    goldcreststall_node::control::ControlEvent,
    std::{sync::atomic::Ordering, time::Duration},
    tokio::sync::oneshot,
};

const ITEMS: u32 = 8;
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends ticks until `count` start commands have reached the runner.
async fn wait_for_starts(test: &TestActor, count: usize) {
    let started = async {
        while test.runners.starts.lock().len() < count {
            send_event(test, ControlEvent::Tick).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, started)
        .await
        .expect("start commands");
}

/// Submits a job of [`ITEMS`] work items whose start commands get no response, and waits for the first ones.
async fn unanswered_flood() -> TestActor {
    let test = spawn_actor();
    test.lease.extend(LocalTime(u64::MAX));
    test.runners.block_starts.store(true, Ordering::SeqCst);
    send_event(&test, ControlEvent::Elected(1)).await;
    send_event(&test, ControlEvent::RunnersListed(vec![report("r1")])).await;
    let call = submit_call(7, ITEMS, 100);
    let (reply, _response) = oneshot::channel();
    send_event(&test, ControlEvent::Call { call, reply }).await;
    wait_for_starts(&test, 4).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    test
}

fn unblock_starts(test: &TestActor) {
    test.runners.block_starts.store(false, Ordering::SeqCst);
    test.runners.unblocked.notify_waiters();
}

#[tokio::test]
async fn few_at_a_time() {
    let test = unanswered_flood().await;
    assert_eq!(test.runners.starts.lock().len(), 4);
    unblock_starts(&test);
    wait_for_starts(&test, ITEMS as usize).await;
}

#[tokio::test]
async fn none_after_the_lease() {
    let test = unanswered_flood().await;
    test.lease.end();
    unblock_starts(&test);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(
        test.runners.starts.lock().len(),
        4,
        "a start command was sent after the lease had ended"
    );
}

/// Start commands that still wait while their runner restarts must not be sent: the next instance under its id would execute
/// them, with deadlines on the clock of the ended one.
#[tokio::test]
async fn none_after_the_restart() {
    let test = unanswered_flood().await;
    let next = RunnerReport {
        started_ms: 2,
        ..report("r1")
    };
    send_event(&test, ControlEvent::RunnersListed(vec![next])).await;
    unblock_starts(&test);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let starts = test.runners.starts.lock();
    let is_first = |start: &&RunStart| start.run == 1;
    assert_eq!(
        starts.iter().filter(is_first).count(),
        4,
        "a start command was sent after its runner had restarted"
    );
}

/// Start commands of a cancelled job that still wait must not be sent: their stops may get lost.
#[tokio::test]
async fn none_after_the_cancellation() {
    let test = unanswered_flood().await;
    let (reply, response) = oneshot::channel();
    let call = JobCall::Cancel(JobId(7));
    send_event(&test, ControlEvent::Call { call, reply }).await;
    assert_eq!(response.await, Ok(CallResponse::Accepted));
    unblock_starts(&test);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(
        test.runners.starts.lock().len(),
        4,
        "a start command was sent after its job was cancelled"
    );
}
