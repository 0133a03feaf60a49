use {
    crate::{
        checks::{Invariant, InvariantViolation, RunCheck, check_callers},
        load::{CallerLoad, JobDraw, JobKind, SubmittedJobs},
        plan::{FaultPlan, PlanSize},
        report::SoakReport,
        system::{FaultDriver, MAX_LATE_CALL_DELAY, POOLS, SoakSystem, SystemShape},
    },
    anyhow::ensure,
    std::{
        fmt::Write,
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::mpsc, time::Instant},
};

/// Time after the start of the load within which the first run must start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Duration of load without faults after the last fault, so that lasting effects of faults become visible.
const QUIET_DURATION: Duration = Duration::from_secs(3);
/// Time after the end of the load within which every job must have ended and every wave be completed.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(40);
/// Time added to [`SETTLE_TIMEOUT`] for each round of hosts of a wave: it covers the maintenance, the host lists that
/// show it, and the moving of work. An operator can request more rounds than fit into [`SETTLE_TIMEOUT`] alone.
const ROUND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time within which every entry host must follow the newest configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest time by which the faults of each run delay a command.
const MAX_FAULT_DELAY: Duration = Duration::from_secs(5);
/// Time between two checks of the runs.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Name of the file with the faults and the changes of all runs of a run that violates an invariant.
const TRACE_FILE: &str = "trace.txt";
/// Number of concurrent state queries after the end of the load.
const QUERY_CONCURRENCY: usize = 16;

/// Size of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunShape {
    /// Number of entry hosts, at least 1.
    pub entries: usize,
    /// Number of hosts in the fleet.
    pub hosts: usize,
    /// Jobs submitted per second, at least 1.
    pub rate: u32,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Connections that a runner accepts at a time.
    pub max_connections: usize,
    /// The queue of one pool belongs to an organisation, whose calls carry a key.
    pub organisations: bool,
    /// Entry hosts lose power as well.
    pub power_losses: bool,
    /// Entry hosts are cut off together with some of the hosts.
    pub partitions: bool,
    /// Calls to runners are executed late while runners and entry hosts restart. Some jobs work longer.
    pub late_calls: bool,
    /// If set, only faults whose name contains this text are injected.
    pub only: Option<String>,
}

/// A run of the soak test with one seed.
pub struct SoakRun {
    seed: u64,
    shape: RunShape,
    system: Arc<SoakSystem>,
    submitted_jobs: Arc<SubmittedJobs>,
    load: Arc<CallerLoad>,
    checks: RunCheck,
    violations: Vec<InvariantViolation>,
    folder: PathBuf,
}

impl SoakRun {
    /// Runs a seed and returns its report; settings and logs of the processes are written to `folder`.
    ///
    /// # Errors
    /// If the system cannot be started, or no run starts before the first fault.
    pub async fn run(seed: u64, shape: RunShape, folder: &Path) -> anyhow::Result<SoakReport> {
        let size = SystemShape {
            seed,
            entries: shape.entries,
            hosts: shape.hosts,
            max_connections: shape.max_connections,
            organisations: shape.organisations,
            limits: None,
        };
        let command_delay = if shape.late_calls {
            MAX_LATE_CALL_DELAY
        } else {
            MAX_FAULT_DELAY
        };
        let system = SoakSystem::start(size, folder).await?;
        let submitted_jobs = Arc::new(SubmittedJobs::default());
        let mut run = Self {
            seed,
            load: CallerLoad::new(Arc::clone(&system), Arc::clone(&submitted_jobs)),
            checks: RunCheck::new(Arc::clone(&submitted_jobs), command_delay, shape.late_calls),
            shape,
            system,
            submitted_jobs,
            violations: Vec::new(),
            folder: folder.to_owned(),
        };
        run.execute().await
    }

    async fn execute(&mut self) -> anyhow::Result<SoakReport> {
        let plan = FaultPlan::draw(
            self.seed,
            PlanSize {
                entries: self.shape.entries,
                hosts: self.shape.hosts,
                duration: self.shape.duration,
                power_losses: self.shape.power_losses,
                partitions: self.shape.partitions,
                late_calls: self.shape.late_calls,
            },
            self.shape.only.as_deref(),
        );
        let (burst_sender, bursts) = mpsc::unbounded_channel();
        let draw = JobDraw::new(self.seed, self.shape.late_calls);
        let load_task = tokio::spawn(Arc::clone(&self.load).run(draw, self.shape.rate, bursts));
        self.wait_until_first_start().await?;
        let driver = FaultDriver::new(Arc::clone(&self.system), burst_sender.clone());
        let faults = plan.faults.clone();
        let driver_task = tokio::spawn(async move { driver.run(&faults).await });
        while !driver_task.is_finished() {
            self.check_runs().await;
        }
        let waves = driver_task.await?;
        let quiet_until = Instant::now() + QUIET_DURATION;
        while Instant::now() < quiet_until {
            self.check_runs().await;
        }
        self.load.end();
        load_task.await?;
        self.wait_until_settled(waves, SETTLE_TIMEOUT + ROUND_TIMEOUT * plan.wave_rounds())
            .await;
        let report = self.report(plan.faults.len());
        if !report.violations.is_empty() {
            self.write_trace(&plan)?;
        }
        Ok(report)
    }

    async fn wait_until_first_start(&mut self) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while self.checks.starts() == 0 {
            ensure!(Instant::now() < deadline, "no job was started");
            self.check_runs().await;
        }
        Ok(())
    }

    /// Waits [`CHECK_INTERVAL`] and then checks the new events of all runs.
    async fn check_runs(&mut self) {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let events = self.system.platform.run_log.since(self.checks.handled());
        self.checks.handle_events(events);
    }

    /// Waits until every job has ended and every wave is completed, then reports the waves, configuration and processes
    /// that violate an invariant.
    async fn wait_until_settled(&mut self, waves: u64, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline && !(self.all_jobs_ended() && self.waves_completed(waves)) {
            self.query_unfinished().await;
            self.check_runs().await;
            let platform = &self.system.platform;
            self.checks
                .check_waiting(&platform.hosts_with_room(), platform.now());
        }
        for wave in 1..=waves {
            if self.system.platform.is_wave_completed(wave) {
                continue;
            }
            let (_, maintained) = self.system.platform.wave_progress(wave);
            let detail =
                format!("wave {wave} is not completed; {maintained} hosts were maintained");
            self.report_violation(Invariant::Waves, detail);
        }
        self.check_config().await;
        let ended = self.system.ended_processes();
        if ended > 0 {
            self.report_violation(Invariant::Processes, format!("{ended} processes exited"));
        }
    }

    /// Checks that every entry host follows the newest configuration.
    async fn check_config(&mut self) {
        let queue_expected = self.system.config.lock().queues.len() > POOLS.len();
        let deadline = Instant::now() + CONFIG_TIMEOUT;
        loop {
            let entry_hosts = self.load.stale_entry_hosts(queue_expected).await;
            if entry_hosts.is_empty() {
                return;
            }
            if Instant::now() > deadline {
                let detail =
                    format!("{entry_hosts:?} are stale; extra queue expected: {queue_expected}");
                self.report_violation(Invariant::Configuration, detail);
                return;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn report_violation(&mut self, invariant: Invariant, detail: String) {
        let now = self.system.platform.now();
        self.violations
            .push(InvariantViolation::new(invariant, now, detail));
    }

    fn all_jobs_ended(&self) -> bool {
        self.submitted_jobs.all().iter().all(|job| {
            let is_at_work = job.kind == JobKind::Lasting && self.checks.is_at_work(job);
            job.accepted.is_none() || job.final_phase.is_some() || is_at_work
        })
    }

    fn waves_completed(&self, waves: u64) -> bool {
        (1..=waves).all(|wave| self.system.platform.is_wave_completed(wave))
    }

    /// Queries the state of every accepted job that no caller has seen in a final phase.
    async fn query_unfinished(&self) {
        let unfinished = self.submitted_jobs.all().into_iter().filter(|job| {
            job.accepted.is_some() && job.final_phase.is_none() && job.kind != JobKind::Lasting
        });
        let ids: Vec<_> = unfinished.map(|job| job.id).collect();
        for batch in ids.chunks(QUERY_CONCURRENCY) {
            let mut queries = tokio::task::JoinSet::new();
            for id in batch {
                let (load, id) = (Arc::clone(&self.load), *id);
                queries.spawn(async move { load.query_state(id).await });
            }
            queries.join_all().await;
        }
    }

    /// Writes the planned faults, the changes of all runs and what happened to the runners next to the logs.
    fn write_trace(&self, plan: &FaultPlan) -> anyhow::Result<()> {
        let platform = &self.system.platform;
        let mut text = String::new();
        for planned in &plan.faults {
            writeln!(text, "{planned:?}")?;
        }
        for event in platform.run_log.since(0) {
            writeln!(
                text,
                "{} {} {} run {} {:?}",
                event.at, event.host, event.name, event.run, event.change
            )?;
        }
        for line in platform.runner_trace() {
            writeln!(text, "{line}")?;
        }
        std::fs::write(self.folder.join(TRACE_FILE), text)?;
        Ok(())
    }

    fn report(&mut self, faults: usize) -> SoakReport {
        let submitted_jobs = self.submitted_jobs.all();
        let now = self.system.platform.now();
        let mut violations = std::mem::take(&mut self.violations);
        violations.extend_from_slice(self.checks.violations());
        violations.extend(check_callers(&submitted_jobs, &self.checks, now));
        violations.sort_by_key(|violation| (violation.at_ms, violation.invariant));
        let report = SoakReport::new(
            self.seed,
            faults,
            &submitted_jobs,
            self.checks.starts(),
            violations,
        );
        let report = report.with_misdirected(self.checks.misdirected());
        report.with_connections(&self.system.platform.connection_counts())
    }
}
