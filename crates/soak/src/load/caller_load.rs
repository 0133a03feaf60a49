use {
    super::{JobDraw, JobKind, SubmittedJob, SubmittedJobs},
    crate::system::{POOLS, SoakSystem},
    goldcreststall_adapter_standin::{CallOutcome, JobClient},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::jobs::JobId,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::mpsc::UnboundedReceiver, task::JoinSet},
};

/// How long a caller waits for an answer.
const PATIENCE: Millis = Millis(3_000);
/// Attempts to hand a job in.
const SUBMIT_TRIES: usize = 6;
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Time between two questions about the state of a job.
const STATE_PERIOD: Duration = Duration::from_millis(900);
/// Time after which a job is cancelled by its caller.
const CANCEL_AFTER: Duration = Duration::from_millis(700);
/// Jobs that last, for each pool.
const LASTING_JOBS: usize = 1;

/// The callers of a run.
pub struct CallerLoad {
    client: JobClient,
    system: Arc<SoakSystem>,
    submitted_jobs: Arc<SubmittedJobs>,
    entries: Vec<SocketAddr>,
    next: AtomicUsize,
    ended: AtomicBool,
}

impl CallerLoad {
    /// Creates callers that note what they learn in `submitted_jobs`.
    pub fn new(system: Arc<SoakSystem>, submitted_jobs: Arc<SubmittedJobs>) -> Arc<Self> {
        Arc::new(Self {
            client: JobClient::new(PATIENCE),
            entries: system.caller_addresses(),
            system,
            submitted_jobs,
            next: AtomicUsize::new(0),
            ended: AtomicBool::new(false),
        })
    }

    /// Hands jobs in until the load is ended, at `rate` jobs a second and in bursts.
    pub async fn run(
        self: Arc<Self>,
        mut draw: JobDraw,
        rate: u32,
        mut bursts: UnboundedReceiver<usize>,
    ) {
        let mut callers = JoinSet::new();
        for _ in 0..LASTING_JOBS * POOLS.len() {
            let entry = draw.lasting(&self.queues(), self.system.platform.now());
            callers.spawn(Arc::clone(&self).follow(entry));
        }
        let gap = Duration::from_secs(1) / rate;
        while !self.ended.load(Ordering::Relaxed) {
            let jobs = tokio::select! {
                () = tokio::time::sleep(gap) => 1,
                burst = bursts.recv() => burst.unwrap_or(1),
            };
            for _ in 0..jobs {
                let entry = draw.passing(&self.queues(), self.system.platform.now());
                callers.spawn(Arc::clone(&self).follow(entry));
            }
        }
        // Callers that still wait are ended: what became of their jobs is asked for after the load.
        callers.shutdown().await;
    }

    /// Ends the load: no further job is handed in.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    fn queues(&self) -> Vec<goldcreststall_adapter_standin::QueueShape> {
        self.system.config.lock().queues[..POOLS.len()].to_vec()
    }

    fn entry_host(&self) -> SocketAddr {
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        self.entries[next % self.entries.len()]
    }

    fn now(&self) -> Millis {
        self.system.platform.now()
    }

    async fn follow(self: Arc<Self>, entry: SubmittedJob) {
        let (id, kind) = (entry.id, entry.kind);
        self.submitted_jobs.add(entry);
        if !self.submit(id).await {
            return;
        }
        if kind == JobKind::Cancelled {
            tokio::time::sleep(CANCEL_AFTER).await;
            self.cancel(id).await;
        }
        loop {
            tokio::time::sleep(STATE_PERIOD).await;
            self.ask_state(id).await;
            let entry = self.submitted_jobs.get(id);
            if entry.is_none_or(|entry| entry.shown.is_some()) {
                return;
            }
        }
    }

    async fn submit(&self, id: JobId) -> bool {
        for _ in 0..SUBMIT_TRIES {
            let Some(entry) = self.submitted_jobs.get(id) else {
                return false;
            };
            let host = self.entry_host();
            let outcome = self.client.submit(host, &entry.queue, id, &entry.job).await;
            let now = self.now();
            self.submitted_jobs
                .change(id, |entry| entry.submitted(outcome, now));
            if outcome == CallOutcome::Accepted {
                return true;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        self.submitted_jobs
            .change(id, |entry| entry.given_up = true);
        false
    }

    async fn cancel(&self, id: JobId) {
        let sent = self.now();
        self.submitted_jobs
            .change(id, |entry| entry.cancel_sent = Some(sent));
        for _ in 0..SUBMIT_TRIES {
            let Some(entry) = self.submitted_jobs.get(id) else {
                return;
            };
            let host = self.entry_host();
            let outcome = self.client.cancel(host, &entry.queue, id).await;
            if outcome == CallOutcome::Accepted {
                let now = self.now();
                self.submitted_jobs
                    .change(id, |entry| entry.cancelled = Some(now));
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns the entry hosts that contradict a configuration: they do not know the queue that configurations add and
    /// remove although it is there, or know it although it is not. One that gives no answer contradicts nothing.
    pub async fn contradicting_entries(&self, known: bool) -> Vec<SocketAddr> {
        let queue = SoakSystem::extra_queue();
        let mut contradicting = Vec::new();
        for host in &self.entries {
            let contradicts = match self.client.pending(*host, &queue).await {
                CallOutcome::NoQueue => known,
                CallOutcome::Pending(_) => !known,
                _ => false,
            };
            contradicting.extend(contradicts.then_some(*host));
        }
        contradicting
    }

    /// Asks one entry host where a job stands.
    pub async fn ask_state(&self, id: JobId) {
        let Some(entry) = self.submitted_jobs.get(id) else {
            return;
        };
        let asked = self.now();
        let host = self.entry_host();
        let outcome = self.client.state(host, &entry.queue, id).await;
        let now = self.now();
        self.submitted_jobs
            .change(id, |entry| entry.stated(outcome, asked, now));
    }
}
