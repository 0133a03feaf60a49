//! A simulated fleet in virtual time: one log, two entry hosts that hold the placement duty, and workers that follow
//! the rules of docs/PLATFORM.md.

#![allow(dead_code)] // Each test file uses only a part.

use {
    goldcreststall_core::{
        config::FleetConfig,
        ids::{DataCentre, HostName, Incarnation, LogTime, Millis, PoolName, RackName},
        ids::{OrganisationName, ServiceName},
        jobs::{
            GrantNumber, JobContext, JobId, JobLedger, JobRecord, JobSize, JobSpec, JobState,
            LeaseRef, PlacementInput, PlacementPlan, PoolMembers, TaskAction, TaskCommand,
            TaskState, TaskUsage, TaskView, WorkerId, WorkerReport, WorkerView, plan_placement,
        },
        ledger::Rejection,
        traffic::Urgency,
    },
    std::collections::{BTreeMap, BTreeSet},
};

pub const START: LogTime = LogTime(1_800_000_000_000);
const CONFIG: &str = r#"
pools = [{ name = "batch", min_available = 0 }, { name = "other", min_available = 0 }]
tenants = [{ name = "t1" }, { name = "t2" }, { name = "t3", weight = 2 }]
"#;

pub fn pool() -> PoolName {
    PoolName::try_from("batch").unwrap()
}

pub fn config() -> FleetConfig {
    FleetConfig::try_from(CONFIG).unwrap()
}

pub fn size(cores: u32, gib: u32) -> JobSize {
    JobSize {
        accelerators: 0,
        cores_milli: cores * 1000,
        memory_mib: gib * 1024,
    }
}

pub fn spec(organisation: &str, urgency: Urgency) -> JobSpec {
    JobSpec {
        checkpoints: false,
        deadline: START + Millis(3_600_000),
        idempotent: true,
        payload: "{}".to_owned(),
        pool: pool(),
        run_time: Millis(5_000),
        service: ServiceName::try_from("proof").unwrap(),
        size: size(4, 4),
        organisation: OrganisationName::try_from(organisation).unwrap(),
        urgency,
    }
}

/// Builds worker number `index` with 32 cores and 64 GiB; four workers share a rack.
pub fn worker(index: usize) -> WorkerView {
    WorkerView {
        capacity: size(32, 64),
        data_centre: DataCentre::try_from(format!("d{}", index / 4 % 3)).unwrap(),
        draining: false,
        id: WorkerId {
            host: HostName::try_from(format!("w{index:03}")).unwrap(),
            incarnation: Incarnation(1),
        },
        pool: pool(),
        rack: RackName::try_from(format!("r{}", index / 4)).unwrap(),
        report: Some(WorkerReport {
            age: Millis(100),
            tasks: Vec::new(),
            usage: JobSize::default(),
        }),
    }
}

/// Membership in which all hosts belong to one pool.
pub struct OnePool {
    pub pool: PoolName,
    pub size: usize,
}

impl PoolMembers for OnePool {
    fn pool_size(&self, _pool: &PoolName) -> usize {
        self.size
    }

    fn pool_of(&self, _host: &HostName) -> Option<&PoolName> {
        Some(&self.pool)
    }
}

pub struct SimWorker {
    /// Tasks fail as soon as they start.
    pub broken: bool,
    end_times: BTreeMap<GrantNumber, LogTime>,
    pub paused_until: LogTime,
    refused: BTreeSet<GrantNumber>,
    pub tasks: Vec<TaskView>,
    pub view: WorkerView,
}

/// An entry host that believes it holds the placement duty.
#[derive(Clone)]
pub struct SimHolder {
    pub commands: Vec<TaskCommand>,
    pub ledger: JobLedger,
    pub observing_since: LogTime,
    pub records: Vec<JobRecord>,
    reports: Vec<Option<(LogTime, WorkerReport)>>,
}

pub struct FleetSim {
    pub config: FleetConfig,
    pub holders: Vec<SimHolder>,
    pub ledger: JobLedger,
    pub log_down: bool,
    pub now: LogTime,
    /// Jobs that fail on every worker.
    pub poison: BTreeSet<JobId>,
    pub run_time: Millis,
    /// Number of starts of each job.
    pub runs: BTreeMap<JobId, u32>,
    pub submitted: Vec<JobId>,
    pub workers: Vec<SimWorker>,
}

impl FleetSim {
    pub fn new(workers: usize) -> Self {
        let workers = (0..workers).map(|index| SimWorker {
            broken: false,
            end_times: BTreeMap::new(),
            paused_until: START,
            refused: BTreeSet::new(),
            tasks: Vec::new(),
            view: worker(index),
        });
        let workers: Vec<_> = workers.collect();
        let holder = SimHolder {
            commands: Vec::new(),
            ledger: JobLedger::default(),
            observing_since: START,
            records: Vec::new(),
            reports: vec![None; workers.len()],
        };
        Self {
            config: config(),
            holders: vec![holder; 2],
            ledger: JobLedger::default(),
            log_down: false,
            now: START,
            poison: BTreeSet::new(),
            run_time: Millis(5_000),
            runs: BTreeMap::new(),
            submitted: Vec::new(),
            workers,
        }
    }

    pub fn apply(&mut self, record: &JobRecord) -> Result<(), Rejection> {
        let pools = OnePool {
            pool: pool(),
            size: self.workers.len(),
        };
        let context = JobContext {
            config: &self.config,
            now: self.now,
            pools: &pools,
        };
        self.ledger.apply(&context, record)
    }

    pub fn submit(&mut self, spec: JobSpec) -> JobId {
        let job = JobId::at(self.now, self.submitted.len() as u128);
        self.apply(&JobRecord::Submit { job, spec }).unwrap();
        self.submitted.push(job);
        job
    }

    pub fn state(&self, job: JobId) -> &JobState {
        &self
            .ledger
            .job(job)
            .expect("an acknowledged job must not be lost")
            .state
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Millis(millis);
        let now = self.now;
        for worker in self
            .workers
            .iter_mut()
            .filter(|worker| worker.paused_until <= now)
        {
            for task in worker
                .tasks
                .iter_mut()
                .filter(|task| task.state == TaskState::Running)
            {
                if worker.end_times[&task.grant] <= now {
                    task.state = TaskState::Done(TaskUsage {
                        run_time: self.run_time,
                        size: size(4, 4),
                    });
                }
            }
        }
    }

    pub fn read_log(&mut self, holder: usize) {
        self.holders[holder].ledger = self.ledger.clone();
    }

    pub fn collect_reports(&mut self, holder: usize) {
        let now = self.now;
        let workers = self.workers.iter().enumerate();
        for (index, worker) in workers.filter(|(_, worker)| worker.paused_until <= now) {
            let active = worker.tasks.iter().filter(|task| task.is_active()).count() as u32;
            let report = WorkerReport {
                age: Millis(0),
                tasks: worker.tasks.clone(),
                usage: size(4 * active, 4 * active),
            };
            self.holders[holder].reports[index] = Some((now, report));
        }
    }

    pub fn plan(&mut self, holder: usize) -> PlacementPlan {
        let workers: Vec<_> = self.worker_views(holder);
        let holder = &mut self.holders[holder];
        let plan = plan_placement(&PlacementInput {
            config: &self.config,
            ledger: &holder.ledger,
            now: self.now,
            observed_for: self.now.since(holder.observing_since),
            pool: &pool(),
            workers: &workers,
        });
        holder.records.extend(plan.records.iter().cloned());
        holder.commands.clone_from(&plan.commands);
        plan
    }

    pub fn worker_views(&self, holder: usize) -> Vec<WorkerView> {
        let reports = &self.holders[holder].reports;
        let workers = self.workers.iter().zip(reports);
        let views = workers.map(|(worker, report)| WorkerView {
            report: report.as_ref().map(|(time, report)| WorkerReport {
                age: self.now.since(*time),
                ..report.clone()
            }),
            ..worker.view.clone()
        });
        views.collect()
    }

    /// Appends the records that a holder has planned. When the response is lost, the holder will append them again.
    pub fn append(&mut self, holder: usize, response_lost: bool) {
        if self.log_down {
            return;
        }
        let records = self.holders[holder].records.clone();
        for record in &records {
            let _ = self.apply(record);
        }
        if !response_lost {
            self.holders[holder].records.clear();
        }
    }

    pub fn send_commands(&mut self, holder: usize) {
        for command in std::mem::take(&mut self.holders[holder].commands) {
            self.deliver(&command);
        }
    }

    pub fn deliver(&mut self, command: &TaskCommand) {
        let now = self.now;
        let run_time = self.run_time;
        let is_poison = self.poison.contains(&command.lease.job);
        let worker = self
            .workers
            .iter_mut()
            .find(|worker| worker.view.id == command.worker);
        let Some(worker) = worker.filter(|worker| worker.paused_until <= now) else {
            return;
        };
        let known = worker
            .tasks
            .iter()
            .position(|task| task.grant == command.lease.grant);
        match (command.action, known) {
            (TaskAction::Start, None) if !worker.refused.contains(&command.lease.grant) => {
                *self.runs.entry(command.lease.job).or_default() += 1;
                let fails = worker.broken || is_poison;
                let state = match fails {
                    true => TaskState::Failed(TaskUsage::default()),
                    false => TaskState::Running,
                };
                worker.end_times.insert(command.lease.grant, now + run_time);
                worker.tasks.push(task(command.lease, state));
            }
            (TaskAction::Fence, None) => {
                worker.refused.insert(command.lease.grant);
                worker
                    .tasks
                    .push(task(command.lease, TaskState::NotStarted));
            }
            (TaskAction::Forget | TaskAction::Stop, _) => {
                worker.refused.insert(command.lease.grant);
                worker
                    .tasks
                    .retain(|task| task.grant != command.lease.grant);
            }
            (TaskAction::Checkpoint, Some(index)) => {
                worker.tasks[index].state = TaskState::Checkpointed("half".to_owned());
            }
            (TaskAction::Throttle(percent), Some(index)) => {
                worker.tasks[index].throttle_percent = percent;
            }
            _ => {}
        }
    }

    /// Starts a new incarnation of a worker, which loses its tasks and its record of refused attempts.
    pub fn restart(&mut self, worker: usize) {
        let worker = &mut self.workers[worker];
        worker.view.id.incarnation.0 += 1;
        worker.tasks.clear();
        worker.refused.clear();
    }

    /// Runs one round of the first holder without faults.
    pub fn run_round(&mut self) -> PlacementPlan {
        self.read_log(0);
        self.collect_reports(0);
        let plan = self.plan(0);
        self.append(0, false);
        self.send_commands(0);
        self.advance(500);
        plan
    }

    pub fn run_rounds(&mut self, count: usize) {
        for _ in 0..count {
            self.run_round();
        }
    }

    pub fn unfinished(&self) -> usize {
        let counts = self.ledger.counts();
        counts.queued + counts.leased
    }
}

fn task(lease: LeaseRef, state: TaskState) -> TaskView {
    TaskView {
        grant: lease.grant,
        job: lease.job,
        state,
        throttle_percent: 100,
    }
}
