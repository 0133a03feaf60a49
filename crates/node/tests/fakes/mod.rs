//! Fakes of the platform's services: a store in memory, runners that record their start commands, and hosts that do
//! nothing.

#![allow(dead_code, unused_imports, reason = "each test file uses only a part")]

mod candidate;
mod fake_runners;
mod fake_store;

pub use {
    candidate::{Candidate, spawn_candidate},
    fake_runners::FakeRunners,
    fake_store::FakeStore,
};

use {
    async_trait::async_trait,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::{JobId, JobSpec, StepName, StepSpec},
        owner::{HostReport, HostResponse, JobCall, JobMemoryLimit},
        records::JobSubmission,
        routes::{RouteRule, ServiceBounds},
        runners::{Capacity, RunnerReport, RunnerStatus},
    },
    goldcreststall_node::{
        control::{ActorArgs, ControlEvent, OwnerActor},
        election::OwnerLease,
        metrics::NodeMetrics,
        ports::{AdviceService, HostService, StoreError},
    },
    kameo::actor::{ActorRef, Spawn},
    parking_lot::Mutex,
    slog::{Discard, Logger, o},
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    tokio::sync::Notify,
};

/// A platform without an advice service.
pub struct NoAdvice;

#[async_trait]
impl AdviceService for NoAdvice {
    fn is_configured(&self) -> bool {
        false
    }

    async fn advise(&self, _step: StepName, _runners: &[String]) -> Option<Vec<(String, String)>> {
        None
    }
}

/// A host service without hosts that is always busy.
#[derive(Default)]
pub struct FakeHosts {
    /// Hosts for which a command has reached the service.
    pub commanded: Mutex<Vec<String>>,
    /// Commands wait for a connection.
    pub block_connections: AtomicBool,
    /// Number of commands that have waited for a connection.
    pub waiting: AtomicUsize,
    /// Wakes waiting commands; clear `block_connections` first.
    pub unblocked: Notify,
}

impl FakeHosts {
    async fn take_command(&self, host: &str) -> HostResponse {
        while self.block_connections.load(Ordering::SeqCst) {
            self.waiting.fetch_add(1, Ordering::SeqCst);
            self.unblocked.notified().await;
        }
        self.commanded.lock().push(host.to_owned());
        HostResponse::Busy
    }
}

#[async_trait]
impl HostService for FakeHosts {
    async fn list(&self) -> Result<Vec<HostReport>, StoreError> {
        Ok(Vec::new())
    }

    async fn move_host(&self, host: &str, _pool: &str, _token: u64) -> HostResponse {
        self.take_command(host).await
    }

    async fn maintain(&self, host: &str, _wave: u64, _token: u64) -> HostResponse {
        self.take_command(host).await
    }
}

/// A control actor that uses the fakes.
pub struct TestActor {
    pub actor: ActorRef<OwnerActor>,
    pub hosts: Arc<FakeHosts>,
    pub lease: OwnerLease,
    pub runners: Arc<FakeRunners>,
    pub store: Arc<FakeStore>,
}

pub fn spawn_actor() -> TestActor {
    let hosts = Arc::new(FakeHosts::default());
    let lease = OwnerLease::default();
    let runners = Arc::new(FakeRunners::default());
    runners.clock.start();
    let store = Arc::new(FakeStore::default());
    let actor = OwnerActor::spawn(ActorArgs {
        bounds: ServiceBounds::default(),
        job_memory: JobMemoryLimit::default(),
        lease: lease.clone(),
        link_rate: 1_000_000,
        logger: logger(),
        maintenance: Millis(2_000),
        max_lease: Millis(10_000),
        metrics: Arc::new(NodeMetrics::new().expect("metrics")),
        advice: Arc::new(NoAdvice),
        runners: Arc::clone(&runners) as _,
        hosts: Arc::clone(&hosts) as _,
        store: Arc::clone(&store) as _,
    });
    TestActor {
        actor,
        hosts,
        lease,
        runners,
        store,
    }
}

pub async fn send_event(test: &TestActor, event: ControlEvent) {
    test.actor.tell(event).await.expect("the actor runs");
}

/// Returns a call that submits a job with `count` work items that take `cpu` thousandths of a core each.
pub fn submit_call(id: u64, count: u32, cpu: u32) -> JobCall {
    let step = StepSpec {
        count,
        cpu,
        estimate_ms: 1_000,
        ..StepSpec::default()
    };
    let queue = RouteRule {
        service: "press".to_owned(),
        attempts: 3,
        stretch: 1.0,
        ..RouteRule::default()
    };
    let job = JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    };
    let submission = JobSubmission {
        queue,
        job,
        accepted_ms: 0,
        organisation: None,
    };
    JobCall::Submit(JobId(id), Box::new(submission))
}

pub fn logger() -> Logger {
    Logger::root(Discard, o!())
}

pub fn report(id: &str) -> RunnerReport {
    RunnerReport {
        id: id.to_owned(),
        started_ms: 1,
        service: "press".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "a".to_owned(),
        labels: Vec::new(),
        rack: None,
        capacity: Capacity {
            cpu: 8_000,
            mem_mb: 16_000,
            gpu: 0,
        },
        status: RunnerStatus::Ready,
    }
}
