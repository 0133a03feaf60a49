//! Guards against runs that go on under a lease that no successor of the owner counts on, when the owner itself can no longer
//! stop them.

mod fakes;

use {
    fakes::{FakeRunners, logger},
    goldcreststall_dispatch::{
        jobs::{ItemName, JobId},
        owner::{RunStart, StartResponse},
        runners::RUNNER_LEASE,
    },
    goldcreststall_node::{
        delegates::{CommandLimiter, MAX_COMMANDS_PER_RUNNER},
        ports::{RunnerEndpoint, RunnerService},
        runners::GuardedRunners,
    },
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time on the clock of the instance that a start was meant for, far ahead of the clock that answers.
const EARLIER_CLOCK: u64 = 5_000_000;

fn endpoint() -> RunnerEndpoint {
    RunnerEndpoint {
        address: "127.0.0.1:1".parse().expect("an address"),
        id: "r1".to_owned(),
        token: 4,
        data_centre: String::new(),
    }
}

async fn start(runners: &Arc<FakeRunners>, deadline_ms: u64) -> StartResponse {
    let start = RunStart {
        name: ItemName {
            job: JobId(7),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 3,
        spec: Arc::from("text"),
        deadline_ms,
        checkpoint: String::new(),
        ticket: String::new(),
    };
    let limiter = CommandLimiter::new(MAX_COMMANDS_PER_RUNNER);
    let guarded = GuardedRunners::new(Arc::clone(runners) as _, limiter, logger());
    guarded.start(&endpoint(), &start).await
}

/// Guards against a run of the next instance that its sender leaves to the owner, whose own lease may have ended.
#[tokio::test]
async fn stopped_by_sender() {
    let runners = Arc::new(FakeRunners::default());
    let response = start(&runners, EARLIER_CLOCK + RUNNER_LEASE.0).await;
    assert!(matches!(response, StartResponse::Begun(_)));
    assert_eq!(runners.stops.load(Ordering::SeqCst), 1);
}

/// Guards against a stop that is lost and not repeated.
#[tokio::test]
async fn lost_stop_repeated() {
    let runners = Arc::new(FakeRunners::default());
    runners.lose_stops.store(2, Ordering::SeqCst);
    start(&runners, EARLIER_CLOCK + RUNNER_LEASE.0).await;
    assert_eq!(runners.stops.load(Ordering::SeqCst), 3);
}

/// Guards against a run whose start got no answer and that its sender leaves to the owner.
#[tokio::test]
async fn unanswered_start_stopped() {
    let runners = Arc::new(FakeRunners::default());
    runners.lose_starts.store(true, Ordering::SeqCst);
    assert_eq!(
        start(&runners, RUNNER_LEASE.0).await,
        StartResponse::Unknown
    );
    let stopped = async {
        while runners.stops.load(Ordering::SeqCst) == 0 {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, stopped)
        .await
        .expect("a stop");
}

/// Guards against stops of runs whose lease is as long as intended.
#[tokio::test]
async fn usual_lease_kept() {
    let runners = Arc::new(FakeRunners::default());
    start(&runners, RUNNER_LEASE.0).await;
    assert_eq!(runners.stops.load(Ordering::SeqCst), 0);
}
