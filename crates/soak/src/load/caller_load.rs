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

/// Time that a caller waits for a response.
const RESPONSE_TIMEOUT: Millis = Millis(3_000);
/// Attempts to submit or cancel a job before the caller gives up.
const MAX_CALL_ATTEMPTS: usize = 6;
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time between two queries for the state of one job.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(900);
/// Time between the acceptance of a job and its cancellation by its caller.
const CANCEL_DELAY: Duration = Duration::from_millis(700);
const LONG_RUNNING_JOBS_PER_POOL: usize = 1;

/// The simulated callers of one run.
pub struct CallerLoad {
    client: JobClient,
    system: Arc<SoakSystem>,
    submitted_jobs: Arc<SubmittedJobs>,
    entry_hosts: Vec<SocketAddr>,
    next_host: AtomicUsize,
    ended: AtomicBool,
}

impl CallerLoad {
    /// Creates callers that record the responses they get in `submitted_jobs`.
    pub fn new(system: Arc<SoakSystem>, submitted_jobs: Arc<SubmittedJobs>) -> Arc<Self> {
        Arc::new(Self {
            client: JobClient::new(RESPONSE_TIMEOUT),
            entry_hosts: system.caller_addresses(),
            system,
            submitted_jobs,
            next_host: AtomicUsize::new(0),
            ended: AtomicBool::new(false),
        })
    }

    /// Submits jobs until [`CallerLoad::end`] is called: `rate` per second, and as many at once as `bursts` receives.
    pub async fn run(
        self: Arc<Self>,
        mut draw: JobDraw,
        rate: u32,
        mut bursts: UnboundedReceiver<usize>,
    ) {
        let mut callers = JoinSet::new();
        for _ in 0..LONG_RUNNING_JOBS_PER_POOL * POOLS.len() {
            let job = draw.long_running(&self.fixed_queues(), self.system.platform.now());
            callers.spawn(Arc::clone(&self).run_caller(job));
        }
        let interval = Duration::from_secs(1) / rate;
        while !self.ended.load(Ordering::Relaxed) {
            let jobs = tokio::select! {
                () = tokio::time::sleep(interval) => 1,
                burst = bursts.recv() => burst.unwrap_or(1),
            };
            for _ in 0..jobs {
                let job = draw.short_running(&self.fixed_queues(), self.system.platform.now());
                callers.spawn(Arc::clone(&self).run_caller(job));
            }
        }
        // Aborts the callers that are still waiting; the run queries the outcome of their jobs afterwards.
        callers.shutdown().await;
    }

    /// Stops submitting jobs.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }

    /// Returns the queues that every configuration contains.
    fn fixed_queues(&self) -> Vec<goldcreststall_adapter_standin::QueueShape> {
        self.system.config.lock().queues[..POOLS.len()].to_vec()
    }

    fn next_entry_host(&self) -> SocketAddr {
        let next = self.next_host.fetch_add(1, Ordering::Relaxed);
        self.entry_hosts[next % self.entry_hosts.len()]
    }

    fn now(&self) -> Millis {
        self.system.platform.now()
    }

    async fn run_caller(self: Arc<Self>, job: SubmittedJob) {
        let (id, kind) = (job.id, job.kind);
        self.submitted_jobs.add(job);
        if !self.submit(id).await {
            return;
        }
        if kind == JobKind::Cancelled {
            tokio::time::sleep(CANCEL_DELAY).await;
            self.cancel(id).await;
        }
        loop {
            tokio::time::sleep(STATE_POLL_INTERVAL).await;
            self.query_state(id).await;
            let job = self.submitted_jobs.get(id);
            if job.is_none_or(|job| job.final_phase.is_some()) {
                return;
            }
        }
    }

    async fn submit(&self, id: JobId) -> bool {
        for _ in 0..MAX_CALL_ATTEMPTS {
            let Some(job) = self.submitted_jobs.get(id) else {
                return false;
            };
            let host = self.next_entry_host();
            let outcome = self.client.submit(host, &job.queue, id, &job.spec).await;
            let now = self.now();
            self.submitted_jobs
                .update(id, |job| job.record_submission(outcome, now));
            if outcome == CallOutcome::Accepted {
                return true;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        self.submitted_jobs.update(id, |job| job.given_up = true);
        false
    }

    async fn cancel(&self, id: JobId) {
        let sent = self.now();
        self.submitted_jobs
            .update(id, |job| job.cancel_sent = Some(sent));
        for _ in 0..MAX_CALL_ATTEMPTS {
            let Some(job) = self.submitted_jobs.get(id) else {
                return;
            };
            let host = self.next_entry_host();
            let outcome = self.client.cancel(host, &job.queue, id).await;
            if outcome == CallOutcome::Accepted {
                let now = self.now();
                self.submitted_jobs
                    .update(id, |job| job.cancelled = Some(now));
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Returns the entry hosts that do not follow the configuration in force: they do not know the queue that
    /// configurations add and remove although it is configured, or know it although it is not. An entry host that does
    /// not respond is left out.
    pub async fn stale_entry_hosts(&self, queue_expected: bool) -> Vec<SocketAddr> {
        let queue = SoakSystem::extra_queue();
        let mut stale = Vec::new();
        for host in &self.entry_hosts {
            let is_stale = match self.client.pending(*host, &queue).await {
                CallOutcome::NoQueue => queue_expected,
                CallOutcome::Pending(_) => !queue_expected,
                _ => false,
            };
            stale.extend(is_stale.then_some(*host));
        }
        stale
    }

    /// Queries the state of a job on the next entry host and records the response.
    pub async fn query_state(&self, id: JobId) {
        let Some(job) = self.submitted_jobs.get(id) else {
            return;
        };
        let sent = self.now();
        let host = self.next_entry_host();
        let outcome = self.client.state(host, &job.queue, id).await;
        let now = self.now();
        self.submitted_jobs
            .update(id, |job| job.record_state(outcome, sent, now));
    }
}
