//! Entry hosts with an owner and lowered limits, and crowds of callers that describe much work in few bytes.

use {
    goldcreststall_adapter_standin::{
        CallOutcome, DEFAULT_MAX_CONNECTIONS, JobClient, NodeLimits, QueueShape, WorkPlan,
    },
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::jobs::{JobId, JobSpec, StepSpec},
    goldcreststall_soak::system::{SoakSystem, SystemShape},
    std::{
        fs,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tempfile::TempDir,
    tokio::{
        sync::{Mutex, MutexGuard},
        task::JoinSet,
        time::sleep,
    },
};

pub const ENTRY_HOSTS: usize = 3;
const HOSTS: usize = 18;
/// Limits of each entry host; the bounds on its resident memory and open descriptors.
pub const LIMITS: NodeLimits = NodeLimits {
    memory_mb: 64,
    max_fds: 1_000,
};
pub const CROWD: u64 = 150;
const CONCURRENT_CALLS: u64 = 50;
const CALL_TIMEOUT: Millis = Millis(3_000);
/// Number of attempts, a fifth of a second apart, after which the system counts as hung.
const MAX_ATTEMPTS: u32 = 600;
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(200);
/// Equal figures in a row, [`ATTEMPT_INTERVAL`] apart, after which a process has done what it was asked.
const STEADY_SAMPLES: u32 = 10;
/// First id of the ordinary jobs; those of the crowd are below it.
const FIRST_ORDINARY_ID: u64 = 1 << 32;

/// One system at a time: the memory of its processes is measured.
static ALONE: Mutex<()> = Mutex::const_new(());
/// Number of systems that were started; each has addresses of its own.
static RUNS: AtomicU64 = AtomicU64::new(0);

pub struct CrowdedSystem {
    pub system: Arc<SoakSystem>,
    client: JobClient,
    queue: QueueShape,
    last_ordinary: u64,
    folder: TempDir,
    _alone: MutexGuard<'static, ()>,
}

impl CrowdedSystem {
    pub async fn start() -> Self {
        Self::start_with(LIMITS, ENTRY_HOSTS).await
    }

    pub async fn start_with(limits: NodeLimits, entries: usize) -> Self {
        let alone = ALONE.lock().await;
        let folder = tempfile::tempdir().expect("a temporary folder");
        let shape = SystemShape {
            seed: RUNS.fetch_add(1, Ordering::Relaxed),
            entries,
            hosts: HOSTS,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            organisations: false,
            limits: Some(limits),
        };
        let system = SoakSystem::start(shape, folder.path())
            .await
            .expect("the system starts");
        let queue = system.config.lock().queues[0].clone();
        let mut system = Self {
            system,
            client: JobClient::new(CALL_TIMEOUT),
            queue,
            last_ordinary: FIRST_ORDINARY_ID,
            folder,
            _alone: alone,
        };
        system.submit_ordinary().await;
        system
    }

    /// Submits one job after the other through each entry host until one is accepted.
    async fn submit_ordinary(&mut self) {
        let plan = WorkPlan {
            work_ms: vec![100],
            hopeless: false,
        };
        let job = JobSpec {
            spec: plan.encode(),
            steps: vec![StepSpec {
                count: 2,
                cpu: 500,
                mem_mb: 100,
                estimate_ms: 100,
                ..StepSpec::default()
            }],
            ..JobSpec::default()
        };
        for entry in self.system.caller_addresses() {
            let mut attempts = 0;
            loop {
                self.last_ordinary += 1;
                let id = JobId(self.last_ordinary);
                let outcome = self.client.submit(entry, &self.queue, id, &job).await;
                if outcome == CallOutcome::Accepted {
                    break;
                }
                attempts += 1;
                assert!(attempts < MAX_ATTEMPTS, "{entry}: {outcome:?}");
                sleep(ATTEMPT_INTERVAL).await;
            }
        }
    }

    /// Submits the job many times through all entry hosts; returns the ids that were accepted.
    pub async fn submit_crowd(&self, job: &JobSpec) -> Vec<JobId> {
        self.submit_concurrently(job, CONCURRENT_CALLS).await
    }

    pub async fn submit_concurrently(&self, job: &JobSpec, concurrent: u64) -> Vec<JobId> {
        let entries = self.system.caller_addresses();
        let mut accepted = Vec::new();
        for first in (0..CROWD).step_by(concurrent as usize) {
            let mut calls = JoinSet::new();
            for number in first..CROWD.min(first + concurrent) {
                let (client, queue, job) = (self.client.clone(), self.queue.clone(), job.clone());
                let entry = entries[number as usize % entries.len()];
                calls.spawn(async move {
                    let id = JobId(number);
                    let outcome = client.submit(entry, &queue, id, &job).await;
                    (outcome == CallOutcome::Accepted).then_some(id)
                });
            }
            accepted.extend(calls.join_all().await.into_iter().flatten());
        }
        println!("{} of {CROWD} accepted", accepted.len());
        accepted
    }

    /// Cancels jobs, until each is known to be cancelled.
    pub async fn cancel(&self, ids: &[JobId]) {
        let entries = self.system.caller_addresses();
        for (id, entry) in ids.iter().zip(entries.iter().cycle()) {
            let mut attempts = 0;
            while self.client.cancel(*entry, &self.queue, *id).await != CallOutcome::Accepted {
                attempts += 1;
                assert!(attempts < MAX_ATTEMPTS, "{id} was not cancelled");
                sleep(ATTEMPT_INTERVAL).await;
            }
        }
    }

    /// Checks that the processes live within their limits, that an ordinary job is accepted by each, and that accepted jobs
    /// are known.
    pub async fn check(&mut self, limits: NodeLimits, accepted: &[JobId]) {
        self.wait_until_steady().await;
        self.submit_ordinary().await;
        self.check_known(accepted).await;
        let peaks: Vec<u64> = self.status_kb("VmHWM");
        let descriptors: Vec<usize> = self.descriptors();
        println!("peaks {peaks:?} kB, descriptors {descriptors:?}");
        assert_eq!(self.system.ended_processes(), 0, "processes have ended");
        let max_kb = u64::from(limits.memory_mb) * 1_024;
        assert!(peaks.iter().all(|peak| *peak <= max_kb), "{peaks:?} kB");
        let max_fds = limits.max_fds as usize;
        assert!(descriptors.iter().all(|count| *count <= max_fds));
    }

    /// Waits until the memory of the processes no longer changes much.
    async fn wait_until_steady(&self) {
        let (mut steady, mut last) = (0, Vec::new());
        for _ in 0..MAX_ATTEMPTS {
            let peaks = self.status_kb("VmHWM");
            steady = if peaks == last { steady + 1 } else { 0 };
            if steady == STEADY_SAMPLES {
                return;
            }
            last = peaks;
            sleep(ATTEMPT_INTERVAL).await;
        }
    }

    /// Checks that each job can be queried: an accepted one is kept, also by the next owner.
    async fn check_known(&self, accepted: &[JobId]) {
        let entries = self.system.caller_addresses();
        for (id, entry) in accepted.iter().zip(entries.iter().cycle()) {
            let mut attempts = 0;
            loop {
                let outcome = self.client.state(*entry, &self.queue, *id).await;
                assert_ne!(outcome, CallOutcome::Gone, "{id} is lost");
                if matches!(outcome, CallOutcome::State(_)) {
                    break;
                }
                attempts += 1;
                assert!(attempts < MAX_ATTEMPTS, "{id}: {outcome:?}");
                sleep(ATTEMPT_INTERVAL).await;
            }
        }
    }

    /// Returns the entry host that has become the owner, as its log tells.
    pub fn owner(&self) -> usize {
        let is_owner = |entry: &usize| {
            let log = self.folder.path().join(format!("entry-{entry}.log"));
            let text = fs::read_to_string(log).unwrap_or_default();
            text.contains("owner: store read")
        };
        let mut entries = 0..self.system.process_ids().len();
        entries.find(is_owner).expect("an owner")
    }

    /// Returns a figure of `/proc/PID/status` of each process, in kB.
    fn status_kb(&self, name: &str) -> Vec<u64> {
        let figure = |id: u32| {
            let text = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
            let line = text.lines().find(|line| line.starts_with(name));
            let number = line.and_then(|line| line.split_whitespace().nth(1));
            let number = number.and_then(|number| number.parse().ok());
            number.unwrap_or_else(|| panic!("process {id} has ended"))
        };
        self.system.process_ids().into_iter().map(figure).collect()
    }

    fn descriptors(&self) -> Vec<usize> {
        let count = |id: u32| {
            let folder = fs::read_dir(format!("/proc/{id}/fd"));
            folder.expect("the process lives").count()
        };
        self.system.process_ids().into_iter().map(count).collect()
    }

    /// Submits a crowd of one job, and checks the system during it and after it.
    pub async fn check_crowd(job: JobSpec) {
        let mut system = Self::start().await;
        let accepted = system.submit_crowd(&job).await;
        system.check(LIMITS, &accepted).await;
    }
}

impl Drop for CrowdedSystem {
    /// Keeps the logs of a failed test.
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.folder.disable_cleanup(true);
            println!("logs: {}", self.folder.path().display());
        }
    }
}
