use {
    crate::{
        checks::{Invariant, InvariantViolation, RunCheck, check_callers},
        load::{CallerLoad, JobDraw, JobKind, SubmittedJobs},
        plan::{FaultPlan, PlanSize},
        report::SoakReport,
        system::{FaultDriver, POOLS, SoakSystem, SystemShape},
    },
    anyhow::ensure,
    std::{path::Path, sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::Instant},
};

/// Longest time until the first job is accepted after the start.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Load without faults after the last one, so that a lasting effect of a fault shows.
const CALM: Duration = Duration::from_secs(3);
/// Time after the end of the load in which every job and wave must have ended.
const SETTLE_LIMIT: Duration = Duration::from_secs(40);
/// Time that a wave may take for each round of hosts: maintenance, the lists that show it, and the moving of work. An
/// operator can ask for more rounds than fit into the limit above.
const ROUND_LIMIT: Duration = Duration::from_millis(2_500);
/// Time in which a configuration is in force everywhere.
const CONFIG_LIMIT: Duration = Duration::from_secs(4);
/// Time between two looks at the runs.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Jobs that are asked for at once after the end of the load.
const ASK_WIDTH: usize = 16;

/// The size of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunShape {
    /// Entry hosts.
    pub entries: usize,
    /// Hosts of the fleet.
    pub hosts: usize,
    /// Jobs a second.
    pub rate: u32,
    /// Time in which faults come.
    pub duration: Duration,
    /// Part of the names of the faults that are drawn.
    pub only: Option<String>,
}

/// One run with one seed.
pub struct SoakRun {
    seed: u64,
    shape: RunShape,
    system: Arc<SoakSystem>,
    submitted_jobs: Arc<SubmittedJobs>,
    load: Arc<CallerLoad>,
    checks: RunCheck,
    violations: Vec<InvariantViolation>,
}

impl SoakRun {
    /// Runs a seed; settings and logs of the processes go to `folder`.
    ///
    /// # Errors
    /// When the system could not be started or does not accept jobs before the first fault.
    pub async fn run(seed: u64, shape: RunShape, folder: &Path) -> anyhow::Result<SoakReport> {
        let size = SystemShape {
            seed,
            entries: shape.entries,
            hosts: shape.hosts,
        };
        let system = SoakSystem::start(size, folder).await?;
        let submitted_jobs = Arc::new(SubmittedJobs::default());
        let mut run = Self {
            seed,
            load: CallerLoad::new(Arc::clone(&system), Arc::clone(&submitted_jobs)),
            checks: RunCheck::new(Arc::clone(&submitted_jobs)),
            shape,
            system,
            submitted_jobs,
            violations: Vec::new(),
        };
        run.carry_out().await
    }

    async fn carry_out(&mut self) -> anyhow::Result<SoakReport> {
        let plan = FaultPlan::draw(
            self.seed,
            PlanSize {
                entries: self.shape.entries,
                hosts: self.shape.hosts,
                duration: self.shape.duration,
            },
            self.shape.only.as_deref(),
        );
        let (burst, bursts) = mpsc::unbounded_channel();
        let draw = JobDraw::new(self.seed);
        let load = tokio::spawn(Arc::clone(&self.load).run(draw, self.shape.rate, bursts));
        self.wait_for_service().await?;
        let driver = FaultDriver::new(Arc::clone(&self.system), burst.clone());
        let faults = plan.faults.clone();
        let driving = tokio::spawn(async move { driver.run(&faults).await });
        while !driving.is_finished() {
            self.look().await;
        }
        let waves = driving.await?;
        let calm = Instant::now() + CALM;
        while Instant::now() < calm {
            self.look().await;
        }
        self.load.end();
        load.await?;
        self.settle(waves, SETTLE_LIMIT + ROUND_LIMIT * plan.wave_rounds())
            .await;
        Ok(self.report(plan.faults.len()))
    }

    async fn wait_for_service(&mut self) -> anyhow::Result<()> {
        let limit = Instant::now() + START_LIMIT;
        while self.checks.starts() == 0 {
            ensure!(Instant::now() < limit, "no job was started");
            self.look().await;
        }
        Ok(())
    }

    /// Waits a moment and checks what has happened.
    async fn look(&mut self) {
        tokio::time::sleep(CHECK_PERIOD).await;
        let events = self.system.platform.log.since(self.checks.taken());
        self.checks.take(events);
    }

    /// Waits until every job has ended and every wave is completed.
    async fn settle(&mut self, waves: u64, limit: Duration) {
        let limit = Instant::now() + limit;
        while Instant::now() < limit && !(self.all_ended() && self.waves_completed(waves)) {
            self.ask_all().await;
            self.look().await;
        }
        for wave in 1..=waves {
            if self.system.platform.wave_is_reported(wave) {
                continue;
            }
            let (_, maintained) = self.system.platform.wave_progress(wave);
            let detail =
                format!("wave {wave} is not completed; {maintained} hosts were maintained");
            self.report_violation(Invariant::Waves, detail);
        }
        self.check_config().await;
        let ends = self.system.own_ends();
        if ends > 0 {
            self.report_violation(Invariant::Processes, format!("{ends} processes have ended"));
        }
    }

    /// Checks that every entry host follows the newest configuration.
    async fn check_config(&mut self) {
        let known = self.system.config.lock().queues.len() > POOLS.len();
        let limit = Instant::now() + CONFIG_LIMIT;
        loop {
            let entries = self.load.contradicting_entries(known).await;
            if entries.is_empty() {
                return;
            }
            if Instant::now() > limit {
                let detail = format!("{entries:?} contradict; the added queue is there: {known}");
                self.report_violation(Invariant::Configuration, detail);
                return;
            }
            tokio::time::sleep(CHECK_PERIOD).await;
        }
    }

    fn report_violation(&mut self, invariant: Invariant, detail: String) {
        let now = self.system.platform.now();
        self.violations
            .push(InvariantViolation::new(invariant, now, detail));
    }

    fn all_ended(&self) -> bool {
        self.submitted_jobs.all().iter().all(|entry| {
            let lasts = entry.kind == JobKind::Lasting && self.checks.is_at_work(entry);
            entry.accepted.is_none() || entry.shown.is_some() || lasts
        })
    }

    fn waves_completed(&self, waves: u64) -> bool {
        (1..=waves).all(|wave| self.system.platform.wave_is_reported(wave))
    }

    /// Asks for every accepted job that no caller has seen ended.
    async fn ask_all(&self) {
        let open = self.submitted_jobs.all().into_iter().filter(|entry| {
            entry.accepted.is_some() && entry.shown.is_none() && entry.kind != JobKind::Lasting
        });
        let ids: Vec<_> = open.map(|entry| entry.id).collect();
        for group in ids.chunks(ASK_WIDTH) {
            let mut asking = tokio::task::JoinSet::new();
            for id in group {
                let (load, id) = (Arc::clone(&self.load), *id);
                asking.spawn(async move { load.ask_state(id).await });
            }
            asking.join_all().await;
        }
    }

    fn report(&mut self, faults: usize) -> SoakReport {
        let entries = self.submitted_jobs.all();
        let now = self.system.platform.now();
        let mut violations = std::mem::take(&mut self.violations);
        violations.extend_from_slice(self.checks.violations());
        violations.extend(check_callers(&entries, &self.checks, now));
        violations.sort_by_key(|violation| (violation.at_ms, violation.invariant));
        SoakReport::new(
            self.seed,
            faults,
            &entries,
            self.checks.starts(),
            violations,
        )
    }
}
