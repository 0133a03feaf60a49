//! Guards against accepted work that takes more memory than an entry host has. Three entry hosts with an owner and lowered
//! limits get crowds of valid submissions that describe much work in few bytes.

use {
    goldcreststall_adapter_standin::{
        CallOutcome, DEFAULT_MAX_CONNECTIONS, JobClient, NodeLimits, QueueShape, WorkPlan,
    },
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::jobs::{JobId, JobSpec, StepSpec},
    goldcreststall_soak::system::{SoakSystem, SystemShape},
    std::{fs, sync::Arc, time::Duration},
    tempfile::TempDir,
    tokio::{
        sync::{Mutex, MutexGuard},
        task::JoinSet,
        time::sleep,
    },
};

const ENTRY_HOSTS: usize = 3;
const MANY_ENTRY_HOSTS: usize = 30;
const HOSTS: usize = 18;
/// Limits of each entry host; the bounds on its resident memory and open descriptors.
const LIMITS: NodeLimits = NodeLimits {
    memory_mb: 64,
    max_fds: 1_000,
};
/// Limits of entry hosts that take over from larger ones.
const SMALLER_LIMITS: NodeLimits = NodeLimits {
    memory_mb: 48,
    max_fds: 1_000,
};
/// Limits of entry hosts whose work the others take over.
const LARGER_LIMITS: NodeLimits = NodeLimits {
    memory_mb: 512,
    max_fds: 1_000,
};
const CROWD: u64 = 150;
const CONCURRENT_CALLS: u64 = 50;
const CALL_TIMEOUT: Millis = Millis(3_000);
/// Work items of the largest job.
const MANY_ITEMS: u32 = 20_000;
/// Less than the timeout of a call, so that calls still wait when the owner goes on.
const SUSPENSION: Duration = Duration::from_millis(1_500);
/// Longest text of a job.
const MAX_TEXT_BYTES: usize = 16_000;
/// Number of attempts, a fifth of a second apart, after which the system counts as hung.
const MAX_ATTEMPTS: u32 = 600;
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(200);
/// Equal figures in a row, [`ATTEMPT_INTERVAL`] apart, after which a process has done what it was asked.
const STEADY_SAMPLES: u32 = 10;
/// First id of the ordinary jobs; those of the crowd are below it.
const FIRST_ORDINARY_ID: u64 = 1 << 32;

/// One system at a time: the memory of its processes is measured.
static ALONE: Mutex<()> = Mutex::const_new(());

struct CrowdedSystem {
    system: Arc<SoakSystem>,
    client: JobClient,
    queue: QueueShape,
    last_ordinary: u64,
    folder: TempDir,
    _alone: MutexGuard<'static, ()>,
}

impl CrowdedSystem {
    async fn start() -> Self {
        Self::start_with(LIMITS, ENTRY_HOSTS).await
    }

    async fn start_with(limits: NodeLimits, entries: usize) -> Self {
        let alone = ALONE.lock().await;
        let folder = tempfile::tempdir().expect("a temporary folder");
        // Each run of a process has addresses of its own.
        static RUNS: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        let shape = SystemShape {
            seed: RUNS.fetch_add(1, std::sync::atomic::Ordering::Relaxed),
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
    async fn submit_crowd(&self, job: &JobSpec) -> Vec<JobId> {
        self.submit_concurrently(job, CONCURRENT_CALLS).await
    }

    async fn submit_concurrently(&self, job: &JobSpec, concurrent: u64) -> Vec<JobId> {
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
    async fn cancel(&self, ids: &[JobId]) {
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
    async fn check(&mut self, limits: NodeLimits, accepted: &[JobId]) {
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
    fn owner(&self) -> usize {
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
    async fn check_crowd(job: JobSpec) {
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

fn one_step(step: StepSpec) -> JobSpec {
    JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    }
}

fn many_items() -> StepSpec {
    StepSpec {
        count: MANY_ITEMS,
        cpu: 100,
        mem_mb: 10,
        ..StepSpec::default()
    }
}

fn many_steps(count: usize, step: &StepSpec) -> JobSpec {
    JobSpec {
        steps: vec![step.clone(); count],
        ..JobSpec::default()
    }
}

/// Guards against jobs whose work items take thousands of times the memory of their descriptions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_work_items() {
    CrowdedSystem::check_crowd(one_step(many_items())).await;
}

/// Guards against backlogs that are counted by the caller's estimate alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn low_estimates() {
    let step = StepSpec {
        estimate_ms: 1,
        ..many_items()
    };
    CrowdedSystem::check_crowd(one_step(step)).await;
}

/// Guards against long-running work that is accepted whatever waits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_running_items() {
    let step = StepSpec {
        long_running: true,
        ..many_items()
    };
    CrowdedSystem::check_crowd(one_step(step)).await;
}

/// Guards against long-running steps that are accepted whatever waits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_running_steps() {
    let step = StepSpec {
        count: 1,
        cpu: 100,
        mem_mb: 10,
        long_running: true,
        ..StepSpec::default()
    };
    CrowdedSystem::check_crowd(many_steps(3_500, &step)).await;
}

/// Guards against descriptions that are as long as a body may be.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_steps_of_one_item() {
    let step = StepSpec {
        count: 1,
        cpu: 100,
        mem_mb: 10,
        estimate_ms: 1,
        ..StepSpec::default()
    };
    CrowdedSystem::check_crowd(many_steps(4_500, &step)).await;
}

/// Guards against recurring work that takes memory before it is due.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_occurrences() {
    let step = StepSpec {
        count: 1,
        cpu: 100,
        mem_mb: 10,
        estimate_ms: 1,
        ..StepSpec::default()
    };
    let job = JobSpec {
        times: MANY_ITEMS,
        start_at_ms: u64::from(u32::MAX) * 1_000,
        interval_ms: 1_000,
        ..one_step(step)
    };
    CrowdedSystem::check_crowd(job).await;
}

/// Guards against work that demands nothing, so that any number of it runs on one runner, whose lists then exceed any limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn items_without_demand() {
    let step = StepSpec {
        count: MANY_ITEMS,
        estimate_ms: 1,
        ..StepSpec::default()
    };
    CrowdedSystem::check_crowd(one_step(step)).await;
}

/// Guards against a copy of the text of a job for each of its starts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_texts() {
    let step = StepSpec {
        count: MANY_ITEMS,
        estimate_ms: 1,
        ..StepSpec::default()
    };
    let job = JobSpec {
        spec: "a".repeat(MAX_TEXT_BYTES),
        ..one_step(step)
    };
    CrowdedSystem::check_crowd(job).await;
}

/// Guards against an owner that recovers more work than fits into its memory, also where it has less than the one before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn smaller_successor() {
    let mut system = CrowdedSystem::start().await;
    let step = StepSpec {
        estimate_ms: 1,
        ..many_items()
    };
    let accepted = system.submit_crowd(&one_step(step)).await;
    for limits in [LIMITS, SMALLER_LIMITS] {
        let restarted = system.system.restart_with(limits);
        restarted.expect("the entry hosts start again");
        system.check(limits, &accepted).await;
    }
}

/// Guards against an owner that cannot hold what an owner with much more memory has accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn larger_predecessor() {
    let mut system = CrowdedSystem::start_with(LARGER_LIMITS, ENTRY_HOSTS).await;
    let step = StepSpec {
        estimate_ms: 1,
        ..many_items()
    };
    let accepted = system.submit_crowd(&one_step(step)).await;
    let restarted = system.system.restart_with(LIMITS);
    restarted.expect("the entry hosts start again");
    system.check(LIMITS, &accepted).await;
}

/// Guards against calls of many entry hosts that the owner handles at a time, whatever they hold.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_entry_hosts() {
    let mut system = CrowdedSystem::start_with(LIMITS, MANY_ENTRY_HOSTS).await;
    let step = StepSpec {
        count: 1,
        cpu: 100,
        mem_mb: 10,
        estimate_ms: 1,
        ..StepSpec::default()
    };
    let job = many_steps(4_500, &step);
    let accepted = system.submit_concurrently(&job, CROWD).await;
    system.check(LIMITS, &accepted).await;
}

/// Guards against the calls that reach an owner which was suspended: they have collected at all entry hosts.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn suspended_owner() {
    let mut system = CrowdedSystem::start_with(LIMITS, MANY_ENTRY_HOSTS).await;
    let step = StepSpec {
        count: 1,
        cpu: 100,
        mem_mb: 10,
        estimate_ms: 1,
        ..StepSpec::default()
    };
    let job = many_steps(4_500, &step);
    let owner = system.owner();
    system.system.suspend(owner, true);
    let (accepted, ()) = tokio::join!(system.submit_concurrently(&job, CROWD), async {
        sleep(SUSPENSION).await;
        system.system.suspend(owner, false);
    });
    system.check(LIMITS, &accepted).await;
}

/// Guards against what is kept of jobs that were cancelled and sent again under other ids.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cancelled_jobs() {
    let mut system = CrowdedSystem::start().await;
    let step = StepSpec {
        estimate_ms: 1,
        ..many_items()
    };
    let accepted = system.submit_crowd(&one_step(step)).await;
    system.cancel(&accepted).await;
    system.check(LIMITS, &accepted).await;
}
