//! Fakes of the platform's services: a store in memory, runners that record their start commands, and hosts that do
//! nothing.

#![allow(dead_code, reason = "each test file uses only a part")]

use {
    async_trait::async_trait,
    bytes::Bytes,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::{JobId, JobSpec, StepName, StepSpec},
        owner::{HostReport, HostResponse, JobCall, RunName, RunStart, StartResponse},
        records::JobSubmission,
        routes::RouteRule,
        runners::{Capacity, HoldResponse, RunnerReport, RunnerStatus},
    },
    goldcreststall_node::{
        control::{ActorArgs, ControlEvent, OwnerActor},
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
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Number of the wave, whether it is reported as completed, and the epoch and sequence number of the report.
pub type WaveReport = (u64, bool, (u64, u64));

/// A store in memory that checks the conditions of appends like the platform's store.
#[derive(Default)]
pub struct FakeStore {
    pub ownership: Mutex<Vec<Bytes>>,
    pub jobs: Mutex<Vec<(String, Vec<u8>)>>,
    /// Newest epoch, and the sequence number that its next append must have.
    fence: Mutex<(u64, u64)>,
    /// Loses the response to the next append after its records were stored.
    pub lose_next_response: AtomicBool,
    /// Loses the responses to all appends to the ownership topic after their records were stored.
    pub lose_ownership_responses: AtomicBool,
    /// Delays the responses to appends to the ownership topic after their records were stored.
    pub delay_ownership_responses: AtomicBool,
    /// Refuses all reads of the ownership topic.
    pub refuse_ownership_reads: AtomicBool,
    /// Number of appends to the ownership topic, including refused ones.
    pub ownership_appends: AtomicUsize,
    pub reports: Mutex<Vec<WaveReport>>,
    /// Loses the next wave report before it is stored.
    pub lose_next_report: AtomicBool,
    /// Refuses all reads and appends of the ownership topic.
    pub refuse_ownership: AtomicBool,
    /// Refuses all appends of job records.
    pub refuse_jobs: AtomicBool,
    /// Blocks reads of job records.
    pub block_reads: AtomicBool,
    /// Number of reads of job records, including blocked ones.
    pub job_reads: AtomicUsize,
    /// Wakes blocked reads; clear `block_reads` first.
    pub unblocked: Notify,
}

impl FakeStore {
    /// Returns whether the records are to be stored; an empty or repeated append stores none.
    fn check_fence(&self, condition: AppendCondition, records: usize) -> Result<bool, StoreError> {
        let Some((epoch, sequence)) = condition.fence else {
            return Ok(true);
        };
        let mut last = self.fence.lock();
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
        if self.lose_next_response.swap(false, Ordering::SeqCst) {
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
        self.ownership_appends.fetch_add(1, Ordering::SeqCst);
        if self.refuse_ownership.load(Ordering::SeqCst) {
            return Err(StoreError::Refused);
        }
        let end = {
            let mut ownership = self.ownership.lock();
            let end = ownership.len() as u64;
            if condition.at.is_some_and(|at| at != end) {
                return Err(StoreError::NotAtEnd { end });
            }
            ownership.extend_from_slice(records);
            ownership.len()
        };
        while self.delay_ownership_responses.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if self.lose_ownership_responses.load(Ordering::SeqCst) {
            return Err(StoreError::Unknown);
        }
        self.respond(end)
    }

    async fn append_keyed(
        &self,
        _topic: StoreTopic,
        records: &[(String, Vec<u8>)],
        condition: AppendCondition,
        _timeout: Millis,
    ) -> Result<AppendPosition, StoreError> {
        if self.refuse_jobs.load(Ordering::SeqCst) {
            return Err(StoreError::Refused);
        }
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
        let refused = |flag: &AtomicBool| flag.load(Ordering::SeqCst);
        if refused(&self.refuse_ownership) || refused(&self.refuse_ownership_reads) {
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
        after: Option<&str>,
    ) -> Result<NewestPage, StoreError> {
        self.job_reads.fetch_add(1, Ordering::SeqCst);
        while self.block_reads.load(Ordering::SeqCst) {
            self.unblocked.notified().await;
        }
        let mut items: Vec<(String, Bytes)> = Vec::new();
        for (key, value) in &*self.jobs.lock() {
            items.retain(|(other, _)| other != key);
            if !value.is_empty() && after.is_none_or(|after| key.as_str() > after) {
                items.push((key.clone(), Bytes::from(value.clone())));
            }
        }
        items.sort_unstable();
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
        if self.lose_next_report.swap(false, Ordering::SeqCst) {
            return Err(StoreError::Unknown);
        }
        self.reports.lock().push((wave, completed, fence));
        Ok(())
    }
}

/// How long a fake runner takes to answer a stop.
const STOP_DURATION: Duration = Duration::from_millis(5);

/// Runners that accept all commands.
#[derive(Default)]
pub struct FakeRunners {
    /// Number of hold calls.
    pub holds: AtomicUsize,
    /// Number of stops.
    pub stops: AtomicUsize,
    /// Stops in progress, and the most at one time.
    pub open_stops: AtomicUsize,
    pub most_stops: AtomicUsize,
    /// No command reaches a runner.
    pub unreachable: AtomicBool,
    /// Never ends hold calls.
    pub block_holds: AtomicBool,
    /// Gives no response to start commands.
    pub lose_starts: AtomicBool,
    /// Ids of the runners that never end stops.
    pub hanging: Mutex<Vec<String>>,
    /// Refuses all start commands for lack of free capacity.
    pub refuse_starts: AtomicBool,
    pub starts: Mutex<Vec<RunStart>>,
    /// Ids of the runners of the start commands.
    pub started_on: Mutex<Vec<String>>,
    pub started: Notify,
    /// Number of stops and of commands to change the pace.
    pub other_commands: AtomicUsize,
    /// Blocks the responses to start commands.
    pub block_starts: AtomicBool,
    /// Wakes blocked responses; clear `block_starts` first.
    pub unblocked: Notify,
}

#[async_trait]
impl RunnerService for FakeRunners {
    async fn hold(&self, _runner: &RunnerEndpoint, _call: HoldCall) -> Option<HoldResponse> {
        self.holds.fetch_add(1, Ordering::SeqCst);
        if self.block_holds.load(Ordering::SeqCst) {
            std::future::pending::<()>().await;
        }
        if self.unreachable.load(Ordering::SeqCst) {
            return None;
        }
        Some(HoldResponse {
            clock_ms: 1,
            ..HoldResponse::default()
        })
    }

    async fn start(&self, runner: &RunnerEndpoint, start: &RunStart) -> StartResponse {
        if self.unreachable.load(Ordering::SeqCst) {
            return StartResponse::NotSent;
        }
        if self.lose_starts.load(Ordering::SeqCst) {
            return StartResponse::Unknown;
        }
        if self.refuse_starts.load(Ordering::SeqCst) {
            return StartResponse::NoRoom;
        }
        self.starts.lock().push(start.clone());
        self.started_on.lock().push(runner.id.clone());
        self.started.notify_one();
        while self.block_starts.load(Ordering::SeqCst) {
            self.unblocked.notified().await;
        }
        StartResponse::Begun(1)
    }

    async fn stop(&self, runner: &RunnerEndpoint, _run: &RunName) -> Option<u64> {
        let hangs = self.hanging.lock().contains(&runner.id);
        if hangs {
            std::future::pending::<()>().await;
        }
        self.stops.fetch_add(1, Ordering::SeqCst);
        self.other_commands.fetch_add(1, Ordering::SeqCst);
        let open = self.open_stops.fetch_add(1, Ordering::SeqCst) + 1;
        self.most_stops.fetch_max(open, Ordering::SeqCst);
        tokio::time::sleep(STOP_DURATION).await;
        self.open_stops.fetch_sub(1, Ordering::SeqCst);
        (!self.unreachable.load(Ordering::SeqCst)).then_some(1)
    }

    async fn pace(&self, _runner: &RunnerEndpoint, _run: &RunName, _percent: u32) -> bool {
        self.other_commands.fetch_add(1, Ordering::SeqCst);
        true
    }
}

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
    let store = Arc::new(FakeStore::default());
    let actor = OwnerActor::spawn(ActorArgs {
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
