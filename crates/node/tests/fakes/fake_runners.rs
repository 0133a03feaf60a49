use {
    async_trait::async_trait,
    goldcreststall_dispatch::{
        owner::{RunName, RunStart, StartResponse},
        runners::HoldResponse,
    },
    goldcreststall_node::ports::{HoldCall, RunnerEndpoint, RunnerService},
    parking_lot::Mutex,
    std::{
        sync::{
            OnceLock,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::sync::Notify,
};

/// How long a fake runner takes to answer a stop.
const STOP_DURATION: Duration = Duration::from_millis(5);

/// The steady clock of all runners, which stands at 1 ms until it is started.
#[derive(Default)]
pub struct RunnerClock(OnceLock<Instant>);

impl RunnerClock {
    pub fn start(&self) {
        self.0.get_or_init(Instant::now);
    }

    fn now_ms(&self) -> u64 {
        let elapsed = self.0.get().map(Instant::elapsed).unwrap_or_default();
        1 + elapsed.as_millis() as u64
    }
}

/// Runners that accept all commands.
#[derive(Default)]
pub struct FakeRunners {
    pub clock: RunnerClock,
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
    /// Number of stops whose responses are lost before one arrives.
    pub lose_stops: AtomicUsize,
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
            clock_ms: self.clock.now_ms(),
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
        StartResponse::Begun(self.clock.now_ms())
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
        let losses = &self.lose_stops;
        let one_less = |count: usize| count.checked_sub(1);
        let is_lost = losses.fetch_update(Ordering::SeqCst, Ordering::SeqCst, one_less);
        let is_answered = is_lost.is_err() && !self.unreachable.load(Ordering::SeqCst);
        is_answered.then(|| self.clock.now_ms())
    }

    async fn pace(&self, _runner: &RunnerEndpoint, _run: &RunName, _percent: u32) -> bool {
        self.other_commands.fetch_add(1, Ordering::SeqCst);
        true
    }
}
