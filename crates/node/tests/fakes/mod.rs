//! The platform as small fakes: a store in memory, and runners and hosts that note what is asked of them.

#![allow(dead_code, reason = "each test file uses a part")]

use {
    async_trait::async_trait,
    bytes::Bytes,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::{JobId, JobSpec, StepName, StepSpec},
        owner::{HostReport, HostResponse, JobCall, RunCommand, StartCommand, StartResponse},
        records::JobSubmission,
        routes::RouteRule,
        runners::{Capacity, HoldResponse, RunnerReport, RunnerStatus},
    },
    goldcreststall_node::{
        control::{ActorParts, ControlEvent, OwnerActor},
        election::OwnerLease,
        metrics::NodeMetrics,
        ports::{
            AdviceService, AppendCondition, AppendPosition, HoldCall, HostService, NewestPage,
            PlatformStore, ReadBatch, RunnerEndpoint, RunnerService, StoreError, StoreTopic,
        },
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

/// A wave, whether it is reported as completed, and epoch and sequence number of the report.
pub type WaveReport = (u64, bool, (u64, u64));

/// A store in memory. Appends follow the platform's conditions.
#[derive(Default)]
pub struct FakeStore {
    pub ownership: Mutex<Vec<Bytes>>,
    pub jobs: Mutex<Vec<(String, Vec<u8>)>>,
    epoch: Mutex<(u64, u64)>,
    /// Loses the response of the next append after it was carried out.
    pub lose_answer: AtomicBool,
    /// Loses the answers of all records of the ownership after they were stored.
    pub lose_renewals: AtomicBool,
    pub reports: Mutex<Vec<WaveReport>>,
    /// Loses the next report of a wave.
    pub lose_reports: AtomicBool,
    /// Refuses everything that concerns the ownership.
    pub refuses: AtomicBool,
    /// Keeps readers of jobs waiting.
    pub hold_reads: AtomicBool,
    /// Readers of jobs that have come.
    pub held: AtomicUsize,
    pub released: Notify,
}

impl FakeStore {
    fn check_fence(&self, condition: AppendCondition, records: usize) -> Result<bool, StoreError> {
        let Some((epoch, sequence)) = condition.fence else {
            return Ok(true);
        };
        let mut last = self.epoch.lock();
        if epoch < last.0 {
            return Err(StoreError::Fenced);
        }
        if epoch > last.0 {
            *last = (epoch, sequence);
        }
        if records == 0 {
            return Ok(false);
        }
        if sequence + 1 == last.1 {
            return Ok(false);
        }
        if sequence != last.1 {
            return Err(StoreError::Sequence { expected: last.1 });
        }
        last.1 += 1;
        Ok(true)
    }

    fn respond(&self, end: usize) -> Result<AppendPosition, StoreError> {
        if self.lose_answer.swap(false, Ordering::SeqCst) {
            return Err(StoreError::Unknown);
        }
        Ok(AppendPosition {
            offset: end.saturating_sub(1) as u64,
            end: end as u64,
        })
    }
}

#[async_trait]
impl PlatformStore for FakeStore {
    async fn append(
        &self,
        _topic: StoreTopic,
        records: &[Bytes],
        condition: AppendCondition,
        _timeout: Millis,
    ) -> Result<AppendPosition, StoreError> {
        if self.refuses.load(Ordering::SeqCst) {
            return Err(StoreError::Refused);
        }
        let mut ownership = self.ownership.lock();
        let end = ownership.len() as u64;
        if condition.at.is_some_and(|at| at != end) {
            return Err(StoreError::NotAtEnd { end });
        }
        ownership.extend_from_slice(records);
        if self.lose_renewals.load(Ordering::SeqCst) {
            return Err(StoreError::Unknown);
        }
        self.respond(ownership.len())
    }

    async fn append_keyed(
        &self,
        _topic: StoreTopic,
        records: &[(String, Vec<u8>)],
        condition: AppendCondition,
        _timeout: Millis,
    ) -> Result<AppendPosition, StoreError> {
        let fresh = self.check_fence(condition, records.len())?;
        let mut jobs = self.jobs.lock();
        if fresh {
            jobs.extend_from_slice(records);
        }
        self.respond(jobs.len())
    }

    async fn read(
        &self,
        _topic: StoreTopic,
        from: u64,
        _wait: Millis,
    ) -> Result<ReadBatch, StoreError> {
        tokio::task::yield_now().await;
        if self.refuses.load(Ordering::SeqCst) {
            return Err(StoreError::Refused);
        }
        let ownership = self.ownership.lock();
        Ok(ReadBatch {
            end: ownership.len() as u64,
            records: ownership.iter().skip(from as usize).cloned().collect(),
        })
    }

    async fn newest(
        &self,
        _topic: StoreTopic,
        _after: Option<&str>,
    ) -> Result<NewestPage, StoreError> {
        self.held.fetch_add(1, Ordering::SeqCst);
        while self.hold_reads.load(Ordering::SeqCst) {
            self.released.notified().await;
        }
        let mut items: Vec<(String, Bytes)> = Vec::new();
        for (key, value) in &*self.jobs.lock() {
            items.retain(|(other, _)| other != key);
            items.push((key.clone(), Bytes::from(value.clone())));
        }
        Ok(NewestPage {
            items,
            more: false,
            end: 0,
        })
    }

    async fn report_wave(
        &self,
        wave: u64,
        completed: bool,
        fence: (u64, u64),
    ) -> Result<(), StoreError> {
        if self.lose_reports.swap(false, Ordering::SeqCst) {
            return Err(StoreError::Unknown);
        }
        self.reports.lock().push((wave, completed, fence));
        Ok(())
    }
}

/// Runners that accept everything.
#[derive(Default)]
pub struct FakeRunners {
    pub starts: Mutex<Vec<StartCommand>>,
    pub started: Notify,
    /// Leaves commands to start unanswered until it is released.
    pub hold_starts: AtomicBool,
    pub released: Notify,
}

#[async_trait]
impl RunnerService for FakeRunners {
    async fn hold(&self, _runner: &RunnerEndpoint, _call: HoldCall) -> Option<HoldResponse> {
        Some(HoldResponse {
            clock_ms: 1,
            ..HoldResponse::default()
        })
    }

    async fn start(&self, _runner: &RunnerEndpoint, command: &StartCommand) -> StartResponse {
        self.starts.lock().push(command.clone());
        self.started.notify_one();
        while self.hold_starts.load(Ordering::SeqCst) {
            self.released.notified().await;
        }
        StartResponse::Begun(1)
    }

    async fn stop(&self, _runner: &RunnerEndpoint, _command: &RunCommand) -> Option<u64> {
        Some(1)
    }

    async fn pace(&self, _runner: &RunnerEndpoint, _command: &RunCommand, _percent: u32) -> bool {
        true
    }
}

/// An advice service that is not there.
pub struct NoAdvice;

#[async_trait]
impl AdviceService for NoAdvice {
    fn is_known(&self) -> bool {
        false
    }

    async fn advise(&self, _step: StepName, _runners: &[String]) -> Option<Vec<(String, String)>> {
        None
    }
}

/// Hosts that do nothing.
pub struct FakeHosts;

#[async_trait]
impl HostService for FakeHosts {
    async fn list(&self) -> Result<Vec<HostReport>, StoreError> {
        Ok(Vec::new())
    }

    async fn move_host(&self, _host: &str, _pool: &str, _token: u64) -> HostResponse {
        HostResponse::Busy
    }

    async fn maintain(&self, _host: &str, _wave: u64, _token: u64) -> HostResponse {
        HostResponse::Busy
    }
}

/// An actor on fakes.
pub struct TestActor {
    pub actor: ActorRef<OwnerActor>,
    pub lease: OwnerLease,
    pub runners: Arc<FakeRunners>,
    pub store: Arc<FakeStore>,
}

pub fn spawn_actor() -> TestActor {
    let lease = OwnerLease::default();
    let runners = Arc::new(FakeRunners::default());
    let store = Arc::new(FakeStore::default());
    let actor = OwnerActor::spawn(ActorParts {
        lease: lease.clone(),
        logger: logger(),
        maintenance: Millis(2_000),
        metrics: Arc::new(NodeMetrics::new().expect("metrics")),
        advice: Arc::new(NoAdvice),
        runners: Arc::clone(&runners) as _,
        hosts: Arc::new(FakeHosts),
        store: Arc::clone(&store) as _,
    });
    TestActor {
        actor,
        lease,
        runners,
        store,
    }
}

pub async fn tell(test: &TestActor, event: ControlEvent) {
    test.actor.tell(event).await.expect("the actor runs");
}

/// Submits a job with `count` work items that take `cpu` thousandths of a core each.
pub fn submit(id: u64, count: u32, cpu: u32) -> JobCall {
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
    };
    JobCall::Submit(JobId(id), Box::new(submission))
}

pub fn logger() -> Logger {
    Logger::root(Discard, o!())
}

pub fn runner(id: &str) -> RunnerReport {
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
