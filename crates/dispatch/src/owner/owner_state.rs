use {
    super::{
        OwnerCommand,
        admission::PoolBacklog,
        advice_duty::AdviceTable,
        host_table::{HostTable, WaveTable},
        journal_queue::JournalQueue,
    },
    crate::{
        jobs::{JobKey, JobTable},
        pools::ArrivalRate,
        routes::FleetRules,
        runners::{RunnerKey, RunnerTable, longest_lapse},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
    std::{net::SocketAddr, sync::Arc},
};

/// How long a job that is over can be asked for.
const KEEP_ENDED: Millis = Millis(125_000);
/// Time between two rounds of the decisions that are not urgent.
const SLOW_ROUND: Millis = Millis(100);
/// Least time between two passes of placement; answers of runners come by the thousand in a second.
const PLACE_PERIOD: Millis = Millis(4);
/// Open jobs for which a pass of placement may take a millisecond more of the period, so that passes over a large
/// backlog leave time for the answers of runners.
const JOBS_PER_MILLI: u64 = 50;
/// Time between two ticks from which on this process counts as stalled.
const STALL: Millis = Millis(400);
/// How long after a stall silence of runners proves nothing: their answers may still wait here.
const STALL_DOUBT: Millis = Millis(2_000);

/// A decision or a change of belief, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerEvent {
    /// What was decided or learned.
    pub event: &'static str,
    /// The job, work item, runner or host.
    pub subject: String,
    /// The inputs that decided it.
    pub detail: String,
}

/// Everything that the owner decides with.
#[derive(Debug)]
pub struct OwnerState {
    pub(super) token: u64,
    pub(super) rules: Arc<FleetRules>,
    pub(super) jobs: JobTable,
    pub(super) runners: RunnerTable,
    pub(super) hosts: HostTable,
    pub(super) waves: WaveTable,
    pub(super) journal: JournalQueue,
    pub(super) commands: Vec<OwnerCommand>,
    pub(super) events: Vec<OwnerEvent>,
    pub(super) started: LocalTime,
    pub(super) backlogs: Vec<PoolBacklog>,
    pub(super) arrivals: ArrivalRate,
    pub(super) advice: AdviceTable,
    pub(super) settled: bool,
    pub(super) listed: bool,
    pub(super) place_due: bool,
    pub(super) doubt_until: LocalTime,
    /// Pool, hosts and target of the last lines about pools, and when these were written.
    pub(super) logged_pools: Vec<(String, usize, usize)>,
    pub(super) pools_logged_at: LocalTime,
    last_place: LocalTime,
    last_tick: LocalTime,
    slow_round: LocalTime,
}

impl OwnerState {
    /// Creates the state of an owner whose term with `token` begins at `now`.
    pub fn new(token: u64, rules: Arc<FleetRules>, now: LocalTime) -> Self {
        Self {
            token,
            rules,
            jobs: JobTable::default(),
            runners: RunnerTable::default(),
            hosts: HostTable::default(),
            waves: WaveTable::default(),
            journal: JournalQueue::default(),
            commands: Vec::new(),
            events: Vec::new(),
            started: now,
            backlogs: Vec::new(),
            arrivals: ArrivalRate::default(),
            advice: AdviceTable::default(),
            settled: false,
            listed: false,
            place_due: true,
            doubt_until: now,
            logged_pools: Vec::new(),
            pools_logged_at: LocalTime(0),
            last_place: LocalTime(0),
            last_tick: now,
            slow_round: now,
        }
    }

    /// Takes a newer configuration.
    pub fn set_rules(&mut self, rules: Arc<FleetRules>) {
        if rules.version > self.rules.version {
            self.rules = rules;
        }
    }

    /// Returns the commands that are due, and forgets them.
    pub fn take_commands(&mut self) -> Vec<OwnerCommand> {
        std::mem::take(&mut self.commands)
    }

    /// Returns the events since the last call, and forgets them.
    pub fn take_events(&mut self) -> Vec<OwnerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns id and address of a runner.
    pub fn runner_address(&self, key: RunnerKey) -> Option<(&str, SocketAddr)> {
        let state = self.runners.get(key)?;
        Some((&state.report.id, state.report.address))
    }

    /// Makes the decisions that are due. `wall_ms` is the time of day in Unix milliseconds.
    pub fn tick(&mut self, now: LocalTime, wall_ms: u64) {
        if now.since(self.last_tick) > STALL {
            let detail = format!("stalled_ms={}", now.since(self.last_tick).0);
            self.log_event("owner stalled", format!("token {}", self.token), detail);
            self.doubt_until = now + STALL_DOUBT;
        }
        self.last_tick = now;
        if now >= self.slow_round {
            self.slow_round = now + SLOW_ROUND;
            self.lapse_runs(now);
            self.settle(now);
            self.watch_faults(now);
            self.watch_gangs();
            self.measure_backlogs(now);
            self.decide_hosts(now);
            self.forget_ended(now);
            self.advice.forget_old(now);
            self.place_due = true;
        }
        if self.place_due && now.since(self.last_place) >= self.place_period() {
            self.place_due = false;
            self.last_place = now;
            self.place_items(now, wall_ms);
        }
        self.plan_holds(now);
    }

    fn place_period(&self) -> Millis {
        PLACE_PERIOD + Millis(self.jobs.open().len() as u64 / JOBS_PER_MILLI)
    }

    /// Lets recovered work start in each pool in which no work of an earlier owner can be unknown.
    fn settle(&mut self, now: LocalTime) {
        if self.settled || !self.listed {
            return;
        }
        let waited = now >= self.started + longest_lapse();
        let mut services: Vec<String> = self.unsettled_services();
        services.retain(|service| waited || self.pool_is_known(service));
        for service in &services {
            self.settle_pool(service, waited);
        }
        self.settled = self.unsettled_services().is_empty() && (waited || self.all_pools_known());
    }

    /// Returns whether the pools are known at all, which they are not before the configuration was read, and each is.
    fn all_pools_known(&self) -> bool {
        let pools = &self.rules.services;
        let known = |name: &str| self.pool_is_known(name);
        let mut working = pools.iter().filter(|pool| !pool.spare);
        !pools.is_empty() && working.all(|pool| known(&pool.name))
    }

    fn unsettled_services(&self) -> Vec<String> {
        let jobs = self
            .jobs
            .open()
            .iter()
            .filter_map(|key| self.jobs.get(*key));
        let mut services: Vec<String> = jobs
            .filter(|job| job.unconfirmed)
            .map(|job| job.queue.service.clone())
            .collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    fn settle_pool(&mut self, service: &str, waited: bool) {
        let mut jobs = 0;
        for key in self.jobs.open().to_vec() {
            if let Some(job) = self.jobs.get_mut(key)
                && job.queue.service == service
            {
                jobs += u32::from(job.unconfirmed);
                job.unconfirmed = false;
            }
        }
        let detail = format!("pool={service} jobs={jobs} lease_waited={waited}");
        self.log_event("recovery settled", format!("token {}", self.token), detail);
    }

    /// Returns whether every runner that may run work of the pool has answered this owner.
    fn pool_is_known(&self, service: &str) -> bool {
        let all_fenced = || {
            let mut members = self.runners.all().map(|(_, runner)| runner);
            members
                .all(|runner| runner.fenced || !runner.listed || runner.report.service != service)
        };
        let answered = self.hosts.pool_answered(service, &self.runners);
        self.hosts.listed.is_some() && answered.unwrap_or_else(all_fenced)
    }

    fn forget_ended(&mut self, now: LocalTime) {
        self.jobs.close_final();
        let ended: Vec<JobKey> = self
            .jobs
            .all()
            .filter(|(_, job)| job.has_ended())
            .map(|(key, _)| key)
            .collect();
        for key in ended {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if job.ended.is_none_or(|at| now.since(at) <= KEEP_ENDED) {
                job.shrink();
            } else if let Some(job) = self.jobs.remove(key) {
                self.journal.forget(job.id);
            }
        }
    }

    pub(super) fn log_event(&mut self, event: &'static str, subject: String, detail: String) {
        self.events.push(OwnerEvent {
            event,
            subject,
            detail,
        });
    }
}
