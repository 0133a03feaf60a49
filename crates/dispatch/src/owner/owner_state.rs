use {
    super::{
        OwnerCommand,
        admission::PoolBacklog,
        early_terms::EarlyTerms,
        evacuation::EvacuationTable,
        host_table::{HostTable, WaveTable},
        job_memory::JobMemoryLimit,
        journal_queue::JournalQueue,
        locality_state::LocalityState,
        queue_table::QueueTable,
        restart_table::RestartTable,
        runner_advice::AdviceTable,
        start_budget::StartBudget,
        submission_limit::RefusalCounts,
        unplaced_serving::UnplacedServing,
        wave_room::WaveRoomTable,
    },
    crate::{
        jobs::{JobKey, JobTable},
        organisations::{OrganisationReport, OrganisationTable},
        pools::ArrivalRate,
        routes::{FleetRules, ServiceBounds},
        runners::{RunnerKey, RunnerReport, RunnerTable},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
    std::{net::SocketAddr, sync::Arc},
};

/// How long an ended job can be queried.
const ENDED_JOB_RETENTION: Millis = Millis(125_000);
/// Time between two rounds of the less urgent decisions.
const SLOW_ROUND_INTERVAL: Millis = Millis(100);
/// Time between two reports on organisations.
const REPORT_INTERVAL: Millis = Millis(1_000);
/// Minimum time between two passes of placement. Thousands of responses of runners can arrive per second, and each
/// makes a pass due.
const PLACEMENT_INTERVAL: Millis = Millis(4);
/// The time between passes of placement grows by a millisecond for this many unfinished jobs, so that passes over a
/// large backlog leave time for the responses of runners.
const JOBS_PER_MILLI: u64 = 50;
/// The same for this many work items that the last pass looked at, where that is longer: a few jobs can have a hundred
/// thousand.
const ITEMS_PER_MILLI: u64 = 1_000;
/// Time between two ticks above which this process counts as stalled.
const STALL_THRESHOLD: Millis = Millis(400);
/// How long after a stall the silence of a runner proves nothing: its responses may still be queued in this process.
const STALL_GRACE: Millis = Millis(2_000);

/// A decision or a change in what the owner knows, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerEvent {
    /// Name of the event, which is part of the log line.
    pub event: &'static str,
    /// The job, work item, runner, host, pool, wave or term that it is about.
    pub subject: String,
    /// Inputs of the decision, as `key=value` pairs.
    pub detail: String,
}

/// State of the owner during one term, on which its decisions are based.
#[derive(Debug)]
pub struct OwnerState {
    pub(super) token: u64,
    /// Highest token that this owner may use. It is below that of each later owner.
    pub(super) newest_token: u64,
    pub(super) rules: Arc<FleetRules>,
    pub(super) jobs: JobTable,
    pub(super) runners: RunnerTable,
    pub(super) organisations: OrganisationTable,
    /// Whether the table of organisations counts use that runs of an earlier owner may have.
    pub(super) has_assumed_use: bool,
    pub(super) hosts: HostTable,
    pub(super) waves: WaveTable,
    pub(super) wave_room: WaveRoomTable,
    pub(super) journal: JournalQueue,
    pub(super) locality: LocalityState,
    pub(super) commands: Vec<OwnerCommand>,
    pub(super) events: Vec<OwnerEvent>,
    pub(super) started: LocalTime,
    pub(super) backlogs: Vec<PoolBacklog>,
    pub(super) arrivals: ArrivalRate,
    pub(super) advice: AdviceTable,
    pub(super) evacuations: EvacuationTable,
    pub(super) restarts: RestartTable,
    pub(super) early_terms: EarlyTerms,
    pub(super) start_budget: StartBudget,
    pub(super) queues: QueueTable,
    pub(super) job_memory: JobMemoryLimit,
    /// Recovered jobs whose work items do not exist yet, in the order in which they get them.
    pub(super) dormant_jobs: Vec<JobKey>,
    /// Jobs refused in this term.
    pub(super) refusals: RefusalCounts,
    /// Time over which the rate of an organisation's submissions is measured.
    pub(super) quota_window: Millis,
    /// Services whose waiting work found no free capacity in the last pass of placement.
    pub(super) short_services: Vec<String>,
    pub(super) recovered: bool,
    pub(super) has_runner_list: bool,
    /// Listed reports of instances that started before the known ones; they are handled once those have ended.
    pub(super) deferred_reports: Vec<RunnerReport>,
    pub(super) placement_due: bool,
    /// Whether the next pass of placement looks for slow runs.
    pub(super) copies_due: bool,
    /// Long-running work that found no runner in the last pass of placement.
    pub(super) unplaced_serving: Vec<UnplacedServing>,
    pub(super) stall_grace_until: LocalTime,
    /// Name, hosts and target of each pool as last logged.
    pub(super) logged_pools: Vec<(String, usize, usize)>,
    pub(super) pools_logged_at: LocalTime,
    last_placement: LocalTime,
    /// Work items that could start when the last pass of placement began.
    pub(super) last_pass_items: usize,
    pub(super) last_tick: LocalTime,
    next_slow_round: LocalTime,
    next_report: LocalTime,
}

impl OwnerState {
    /// Creates the state of an owner whose term with the fencing token `token` starts at `now`.
    pub fn new(token: u64, rules: Arc<FleetRules>, now: LocalTime) -> Self {
        Self {
            token,
            newest_token: token,
            organisations: OrganisationTable::new(&rules),
            has_assumed_use: false,
            rules,
            jobs: JobTable::default(),
            runners: RunnerTable::default(),
            hosts: HostTable::default(),
            waves: WaveTable::default(),
            wave_room: WaveRoomTable::default(),
            journal: JournalQueue::default(),
            locality: LocalityState::default(),
            commands: Vec::new(),
            events: Vec::new(),
            started: now,
            backlogs: Vec::new(),
            arrivals: ArrivalRate::default(),
            advice: AdviceTable::default(),
            evacuations: EvacuationTable::default(),
            restarts: RestartTable::default(),
            early_terms: EarlyTerms::default(),
            start_budget: StartBudget::default(),
            queues: QueueTable::default(),
            job_memory: JobMemoryLimit::default(),
            dormant_jobs: Vec::new(),
            refusals: RefusalCounts::default(),
            quota_window: ServiceBounds::default().quota_window,
            short_services: Vec::new(),
            recovered: false,
            has_runner_list: false,
            deferred_reports: Vec::new(),
            placement_due: true,
            copies_due: false,
            unplaced_serving: Vec::new(),
            stall_grace_until: now,
            logged_pools: Vec::new(),
            pools_logged_at: LocalTime(0),
            last_placement: LocalTime(0),
            last_pass_items: 0,
            last_tick: now,
            next_slow_round: now,
            next_report: now,
        }
    }

    /// Limits start commands and batches of records to what the owner's link carries, in bytes per second.
    pub fn limit_link(&mut self, link_rate: u64, now: LocalTime) {
        self.start_budget = StartBudget::new(link_rate, now);
        self.journal.limit_link(link_rate);
    }

    /// Sets the longest lease that a runner accepts.
    pub fn set_max_lease(&mut self, max_lease: Millis) {
        self.runners.set_max_lease(max_lease);
    }

    /// Sets the duration of work far from its data, in percent of its duration near them. At 100 nothing waits for its data rack.
    pub fn set_far_percent(&mut self, far_percent: u32) {
        self.locality.far_percent = far_percent.max(100);
    }

    /// Replaces the configuration if the new one has a higher version.
    pub fn set_rules(&mut self, rules: Arc<FleetRules>) {
        if rules.version > self.rules.version {
            self.organisations.set_rules(&rules);
            self.rules = rules;
            self.placement_due |= self.rules.organisations.is_some();
        }
    }

    /// Records that a renewal of the term is stored: `token` is above the earlier tokens of the term, and below that of each
    /// later owner.
    pub fn record_renewal(&mut self, token: u64) {
        self.newest_token = self.newest_token.max(token);
    }

    /// Removes and returns the commands that were issued since the last call.
    pub fn take_commands(&mut self) -> Vec<OwnerCommand> {
        std::mem::take(&mut self.commands)
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<OwnerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the figures of organisations for operators, at most once a second; none where the configuration has no
    /// organisations.
    pub fn take_organisation_reports(&mut self, now: LocalTime) -> Option<Vec<OrganisationReport>> {
        if self.rules.organisations.is_none() || now < self.next_report {
            return None;
        }
        self.next_report = now + REPORT_INTERVAL;
        Some(self.organisations.reports(now))
    }

    /// Returns the id and address of a runner.
    pub fn runner_address(&self, key: RunnerKey) -> Option<(&str, SocketAddr)> {
        let report = self.runner_report(key)?;
        Some((&report.id, report.address))
    }

    /// Returns the latest report of a runner.
    pub fn runner_report(&self, key: RunnerKey) -> Option<&RunnerReport> {
        Some(&self.runners.get(key)?.report)
    }

    /// Returns the fencing token that commands to a runner carry; none when the runner is not known.
    pub fn command_token(&self, key: RunnerKey) -> Option<u64> {
        self.runners.get(key).map(|state| state.token)
    }

    /// Makes the decisions that are due. `wall_ms` is the time of day in Unix milliseconds.
    pub fn tick(&mut self, now: LocalTime, wall_ms: u64) {
        if now.since(self.last_tick) > STALL_THRESHOLD {
            let detail = format!("stalled_ms={}", now.since(self.last_tick).0);
            self.log_event("owner stalled", format!("token {}", self.token), detail);
            self.stall_grace_until = now + STALL_GRACE;
        }
        self.last_tick = now;
        if now >= self.next_slow_round {
            self.next_slow_round = now + SLOW_ROUND_INTERVAL;
            self.expire_runs(now);
            self.settle_restarts(now);
            self.settle_early_terms(now);
            self.retry_deferred(now);
            self.recover(now);
            self.stop_stuck_runs(now);
            self.stop_incomplete_gangs();
            self.measure_backlogs(now);
            self.forget_ended_unplaced();
            self.decide_hosts(now);
            self.forget_ended(now);
            self.wake_dormant();
            self.advice.forget_expired(&self.jobs, now);
            self.forget_waits();
            self.placement_due = true;
            self.copies_due = true;
        }
        if self.placement_due && now.since(self.last_placement) >= self.placement_interval() {
            self.placement_due = false;
            self.last_placement = now;
            self.place_items(now, wall_ms);
        }
        self.plan_holds(now);
    }

    fn placement_interval(&self) -> Millis {
        let by_jobs = self.jobs.unfinished().len() as u64 / JOBS_PER_MILLI;
        let by_items = self.last_pass_items as u64 / ITEMS_PER_MILLI;
        PLACEMENT_INTERVAL + Millis(by_jobs.max(by_items))
    }

    fn forget_ended(&mut self, now: LocalTime) {
        self.jobs.prune_unfinished();
        let ended: Vec<JobKey> = self
            .jobs
            .all()
            .filter(|(_, job)| job.has_ended())
            .map(|(key, _)| key)
            .collect();
        for key in ended {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            if job
                .ended
                .is_none_or(|at| now.since(at) <= ENDED_JOB_RETENTION)
            {
                self.jobs.shrink(key);
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
