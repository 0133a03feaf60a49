use {
    super::{OwnerOrder, OwnerState},
    crate::{
        jobs::{ItemKey, ItemRun, RunPhase},
        pools::{HostMove, PoolFigures, job_demand, plan_pools},
        records::WaveProgress,
        routes::FleetRules,
        runners::{Capacity, RunnerKey, RunnerTable},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Time in which the host service may see only one owner's orders for a host, after a change of the owner.
const ORDER_LEASE: Millis = Millis(3_300);
/// Time after which an order to the host service without an answer is sent again.
const ORDER_REPEAT: Millis = Millis(1_500);
/// Pause after the host service has refused an order.
const REFUSAL_PAUSE: Millis = Millis(700);
/// Added to the time that maintenance takes, for the list of hosts that lags.
const MAINTENANCE_SLACK: Millis = Millis(400);
/// Time of a wave that is kept for hosts that take long to become empty.
const WAVE_RESERVE: Millis = Millis(3_000);
/// Full work of a serving work item, in percent.
const AT_WORK: u32 = 100;

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostStatus {
    /// It runs, or could run where its pool is off.
    Up,
    /// It is on its way to another pool.
    Moving,
    /// It is being maintained.
    Maintenance,
    /// It has failed.
    Down,
}

/// A host in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostReport {
    /// Name of the host.
    pub host: String,
    /// Its pool.
    pub pool: String,
    /// Where it stands.
    pub status: HostStatus,
    /// Its runner, once that is registered.
    pub runner: Option<String>,
    /// Room of its runner.
    pub capacity: Capacity,
}

/// An operator's request to maintain hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveRequest {
    /// Number of the wave.
    pub number: u64,
    /// The hosts.
    pub hosts: Vec<String>,
    /// Time in which all must be maintained.
    pub duration: Millis,
    /// Most hosts that are maintained at once.
    pub cap: u32,
}

/// The answer of the host service to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostAnswer {
    /// It is done, or was done before.
    Done,
    /// Not now: the host is busy or leaving, or too many calls came.
    Busy,
    /// Never: the host or the wave is unknown.
    Refused,
    /// A newer owner gives orders.
    Fenced,
    /// No answer: it may have been done.
    Unknown,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum HostTask {
    Move { pool: String },
    Maintain { wave: u64 },
}

#[derive(Clone, Debug)]
struct HostState {
    report: HostReport,
    /// The order in progress and when it was sent last.
    task: Option<(HostTask, LocalTime)>,
    /// No order before then.
    pause: LocalTime,
    /// Maintenance was accepted then and counts until the list shows the host up again.
    maintained: Option<LocalTime>,
    /// The pool to which the host was moved and when, until the list shows it.
    moved: Option<(String, LocalTime)>,
}

/// The hosts, sorted by name.
#[derive(Debug, Default)]
pub(super) struct HostTable {
    hosts: Vec<HostState>,
    listed: Option<LocalTime>,
}

impl HostTable {
    fn find(&mut self, host: &str) -> Option<&mut HostState> {
        let place = self
            .hosts
            .binary_search_by(|state| state.report.host.as_str().cmp(host))
            .ok()?;
        Some(&mut self.hosts[place])
    }

    /// Returns whether every host that may run work of an earlier owner has a runner that has answered. A host
    /// without a registered runner may have one that is cut off and whose entry has lapsed.
    pub(super) fn all_answered(&self, runners: &RunnerTable, rules: &FleetRules) -> bool {
        let answered = |state: &HostState| {
            let report = &state.report;
            let off = matches!(report.status, HostStatus::Moving | HostStatus::Maintenance);
            if off || rules.is_spare(&report.pool) {
                return true;
            }
            let key = report.runner.as_deref().and_then(|id| runners.find(id));
            let runner = key.and_then(|key| runners.get(key));
            runner.is_some_and(|runner| runner.fenced)
        };
        self.listed.is_some() && self.hosts.iter().all(answered)
    }
}

#[derive(Debug)]
struct WaveState {
    request: WaveRequest,
    since: LocalTime,
    progress: WaveProgress,
    reported: bool,
}

/// The waves, by number.
#[derive(Debug, Default)]
pub(super) struct WaveTable {
    waves: Vec<WaveState>,
    restored: Vec<(u64, WaveProgress)>,
}

impl WaveTable {
    pub(super) fn restore(&mut self, number: u64, progress: WaveProgress) {
        self.restored.push((number, progress));
    }
}

impl OwnerState {
    /// Takes the complete list of hosts, read at `now`.
    pub fn hosts_listed(
        &mut self,
        mut reports: Vec<HostReport>,
        now: LocalTime,
        maintenance: Millis,
    ) {
        reports.sort_unstable_by(|left, right| left.host.cmp(&right.host));
        let mut hosts = Vec::with_capacity(reports.len());
        for report in reports {
            let known = self.hosts.find(&report.host).cloned();
            let mut state = known.unwrap_or(HostState {
                report: report.clone(),
                task: None,
                pause: LocalTime(0),
                maintained: None,
                moved: None,
            });
            let back = |at: LocalTime| now >= at + maintenance + MAINTENANCE_SLACK;
            if report.status == HostStatus::Up && state.maintained.is_some_and(back) {
                state.maintained = None;
            }
            let arrived = |moved: &(String, LocalTime)| {
                report.pool == moved.0 && report.status == HostStatus::Up && back(moved.1)
            };
            if state.moved.as_ref().is_some_and(arrived) {
                state.moved = None;
            }
            state.report = report;
            hosts.push(state);
        }
        self.hosts.hosts = hosts;
        self.hosts.listed = Some(now);
    }

    /// Takes an operator's request for a wave.
    pub fn wave_requested(&mut self, request: WaveRequest, now: LocalTime) {
        if self
            .waves
            .waves
            .iter()
            .any(|wave| wave.request.number == request.number)
        {
            return;
        }
        let stored = |(number, _): &&(u64, WaveProgress)| *number == request.number;
        let progress = self.waves.restored.iter().find(stored);
        let progress = progress
            .map(|(_, progress)| progress.clone())
            .unwrap_or_default();
        let detail = format!(
            "hosts={} cap={} duration_ms={} begun={}",
            request.hosts.len(),
            request.cap,
            request.duration.0,
            progress.begun.len()
        );
        self.note("wave requested", request.number.to_string(), detail);
        self.waves.waves.push(WaveState {
            request,
            since: now,
            progress,
            reported: false,
        });
    }

    /// Decides moves and maintenance.
    pub(super) fn decide_hosts(&mut self, now: LocalTime) {
        self.uncordon();
        self.repeat_host_orders(now);
        let first_term = self.token <= 1;
        if !first_term && now < self.started + ORDER_LEASE || self.in_doubt(now) {
            return;
        }
        if self.hosts.listed.is_none() {
            return;
        }
        for wave in 0..self.waves.waves.len() {
            self.advance_wave(wave, now);
        }
        self.decide_moves(now);
    }

    /// Lets runners work whose hosts have no order and belong to no wave that prepares them.
    fn uncordon(&mut self) {
        for key in self.runners.keys() {
            if let Some(state) = self.runners.get_mut(key) {
                state.cordoned = false;
                state.due = false;
            }
        }
        let ordered: Vec<String> = self
            .hosts
            .hosts
            .iter()
            .filter(|state| {
                state.task.is_some() || state.maintained.is_some() || state.moved.is_some()
            })
            .filter_map(|state| state.report.runner.clone())
            .collect();
        for id in ordered {
            self.cordon(&id);
        }
    }

    fn cordon(&mut self, id: &str) {
        let runner = self.runners.find(id);
        if let Some(state) = runner.and_then(|key| self.runners.get_mut(key)) {
            state.cordoned = true;
        }
    }

    fn repeat_host_orders(&mut self, now: LocalTime) {
        let mut due = Vec::new();
        for state in &mut self.hosts.hosts {
            if let Some((task, sent)) = &mut state.task
                && now.since(*sent) > ORDER_REPEAT
            {
                *sent = now;
                due.push((state.report.host.clone(), task.clone()));
            }
        }
        for (host, task) in due {
            self.send_host_order(host, task);
        }
    }

    fn send_host_order(&mut self, host: String, task: HostTask) {
        self.orders.push(match task {
            HostTask::Move { pool } => OwnerOrder::MoveHost { host, pool },
            HostTask::Maintain { wave } => OwnerOrder::MaintainHost { host, wave },
        });
    }

    fn begin_task(&mut self, host: &str, task: HostTask, why: String, now: LocalTime) {
        let Some(state) = self.hosts.find(host) else {
            return;
        };
        state.task = Some((task.clone(), now));
        let runner = state.report.runner.clone();
        if let Some(id) = runner {
            self.cordon(&id);
        }
        self.note("host order", host.to_owned(), format!("{task:?} {why}"));
        self.send_host_order(host.to_owned(), task);
    }

    /// Takes the answer to an order for a host. Returns false when a newer owner exists.
    pub fn host_answered(&mut self, host: &str, answer: HostAnswer, now: LocalTime) -> bool {
        let Some(state) = self.hosts.find(host) else {
            return true;
        };
        let Some((task, _)) = state.task.clone() else {
            return true;
        };
        let runner = state.report.runner.clone();
        match answer {
            HostAnswer::Done => {
                state.task = None;
                match &task {
                    HostTask::Move { pool } => state.moved = Some((pool.clone(), now)),
                    HostTask::Maintain { .. } => state.maintained = Some(now),
                }
                self.host_done(host, &task, runner, now);
            }
            HostAnswer::Busy | HostAnswer::Refused => {
                state.task = None;
                state.pause = now + REFUSAL_PAUSE;
                self.note(
                    "host order refused",
                    host.to_owned(),
                    format!("{task:?} {answer:?}"),
                );
                if let (HostTask::Maintain { wave }, HostAnswer::Refused) = (&task, answer) {
                    self.skip_in_wave(*wave, host);
                }
            }
            HostAnswer::Fenced => return false,
            HostAnswer::Unknown => {}
        }
        true
    }

    fn host_done(&mut self, host: &str, task: &HostTask, runner: Option<String>, now: LocalTime) {
        if let Some(key) = runner.and_then(|id| self.runners.find(&id)) {
            if let Some(state) = self.runners.get_mut(key) {
                state.listed = false;
            }
            self.void_runner(key, "its host was moved or is maintained", now);
        }
        if let HostTask::Maintain { wave } = task {
            self.skip_in_wave(*wave, host);
        }
    }

    /// Records that a host of a wave needs nothing more.
    fn skip_in_wave(&mut self, number: u64, host: &str) {
        let wave = self
            .waves
            .waves
            .iter_mut()
            .find(|wave| wave.request.number == number);
        let Some(wave) = wave else {
            return;
        };
        let begun = &mut wave.progress.begun;
        if let Err(place) = begun.binary_search_by(|own| own.as_str().cmp(host)) {
            begun.insert(place, host.to_owned());
            self.journal.store_wave(number, wave.progress.clone());
        }
    }

    fn advance_wave(&mut self, place: usize, now: LocalTime) {
        let wave = &mut self.waves.waves[place];
        let number = wave.request.number;
        if !wave.reported {
            wave.reported = true;
            let completed = wave.progress.completed;
            self.orders.push(OwnerOrder::ReportWave {
                wave: number,
                completed,
            });
        }
        let wave = &self.waves.waves[place];
        if wave.progress.completed {
            return;
        }
        let (begun, request, since) = (
            wave.progress.begun.clone(),
            wave.request.clone(),
            wave.since,
        );
        let waits = |host: &String| begun.binary_search(host).is_err();
        let left: Vec<String> = request
            .hosts
            .iter()
            .filter(|host| waits(host) && self.hosts.find(host).is_some())
            .cloned()
            .collect();
        let away = self.wave_away(&request);
        if left.is_empty() {
            if away == 0 {
                self.complete_wave(place);
            }
            return;
        }
        for host in &left {
            let runner = self
                .hosts
                .find(host)
                .and_then(|state| state.report.runner.clone());
            let key = runner.and_then(|id| self.runners.find(&id));
            if let Some(state) = key.and_then(|key| self.runners.get_mut(key)) {
                state.due = true;
            }
        }
        let rounds = left.len().div_ceil(request.cap.max(1) as usize) as u64;
        let needed = Millis(rounds * WAVE_RESERVE.0);
        let end = since + request.duration;
        let late = now + needed >= end;
        self.start_maintenance(&request, left, away, late, now);
    }

    fn complete_wave(&mut self, place: usize) {
        let wave = &mut self.waves.waves[place];
        wave.progress.completed = true;
        let number = wave.request.number;
        self.journal.store_wave(number, wave.progress.clone());
        self.orders.push(OwnerOrder::ReportWave {
            wave: number,
            completed: true,
        });
        self.note("wave completed", number.to_string(), String::new());
    }

    /// Counts the hosts of a wave that are, or may be, away for it.
    fn wave_away(&mut self, request: &WaveRequest) -> u32 {
        let mut away = 0;
        for host in &request.hosts {
            if let Some(state) = self.hosts.find(host) {
                let ordered = matches!(state.task, Some((HostTask::Maintain { .. }, _)));
                let listed = state.report.status == HostStatus::Maintenance;
                away += u32::from(ordered || listed || state.maintained.is_some());
            }
        }
        away
    }

    fn start_maintenance(
        &mut self,
        request: &WaveRequest,
        mut left: Vec<String>,
        away: u32,
        late: bool,
        now: LocalTime,
    ) {
        left.sort_by_cached_key(|host| self.emptying_cost(host));
        let mut room = request.cap.saturating_sub(away);
        let mut emptying = request.cap;
        // Lasting work moves one work item of a step at a time, so that its hosts begin early beside the others.
        let mut evacuating = request.cap;
        for host in left {
            let Some(state) = self.hosts.find(&host) else {
                continue;
            };
            let up = state.report.status == HostStatus::Up;
            if !up || state.task.is_some() || state.moved.is_some() || state.pause > now {
                continue;
            }
            let runner = state.report.runner.clone();
            let off = self.rules.is_spare(&state.report.pool);
            let key = runner.as_deref().and_then(|id| self.runners.find(id));
            if key.is_none() && !off {
                // A runner whose entry has lapsed may still work.
                continue;
            }
            if key.is_some_and(|key| self.has_work(key)) {
                let budget = if self.has_lasting(key) {
                    &mut evacuating
                } else {
                    &mut emptying
                };
                if *budget == 0 {
                    continue;
                }
                *budget -= 1;
                self.prepare_runner(key, runner.as_deref());
                let force = late && !self.has_lasting(key);
                if !force || room == 0 {
                    continue;
                }
            }
            if room > 0 {
                room -= 1;
                let wave = request.number;
                let why = format!("away={away} cap={} late={late}", request.cap);
                self.begin_task(&host, HostTask::Maintain { wave }, why, now);
            }
        }
    }

    fn has_work(&self, key: RunnerKey) -> bool {
        self.runners
            .get(key)
            .is_some_and(|state| !state.items.is_empty() || state.foreign || !state.fenced)
    }

    fn has_lasting(&self, key: Option<RunnerKey>) -> bool {
        let Some(key) = key else {
            return false;
        };
        self.runs_on(key).iter().any(|(item, _)| self.lasts(*item))
    }

    fn lasts(&self, key: ItemKey) -> bool {
        self.jobs
            .item(key)
            .is_some_and(|(job, item)| job.step_of(item).long_running)
    }

    /// Takes new work off a runner and restarts lasting work elsewhere.
    fn prepare_runner(&mut self, key: Option<RunnerKey>, id: Option<&str>) {
        if let Some(id) = id {
            self.cordon(id);
        }
        let Some(key) = key else {
            return;
        };
        for (item, booked) in self.runs_on(key) {
            let running = matches!(booked.phase, RunPhase::Running { .. });
            if running && self.lasts(item) && self.may_miss(item) && self.has_other_room(item, key)
            {
                self.stop_run(item, key, booked.run);
            }
        }
    }

    /// Returns whether a lasting work item may be taken away now without too many of its step being away.
    fn may_miss(&self, key: ItemKey) -> bool {
        let Some((job, item)) = self.jobs.item(key) else {
            return false;
        };
        let step = job.step_of(item);
        if step.may_miss == 0 {
            return true;
        }
        let siblings = job.step_items(item.occurrence, item.step);
        let others = siblings.iter().filter(|other| other.index != item.index);
        let away = others
            .filter(|other| !other.runs.iter().any(|booked| self.is_serving(booked)))
            .count();
        (away as u32) < step.may_miss
    }

    /// Returns whether a run of lasting work is known to be at full work: its runner answers and lists it so.
    fn is_serving(&self, booked: &ItemRun) -> bool {
        let runner = self.runners.get(booked.runner);
        let answers = runner.is_some_and(|runner| runner.misses == 0 && runner.fenced);
        let running = matches!(booked.phase, RunPhase::Running { .. });
        answers && running && booked.percent >= AT_WORK
    }

    fn has_other_room(&self, key: ItemKey, runner: RunnerKey) -> bool {
        let demand = self.demand(key);
        let Some((job, item)) = self.jobs.item(key) else {
            return false;
        };
        let step = job.step_of(item);
        let siblings = job.step_items(item.occurrence, item.step);
        self.runners.all().any(|(other, state)| {
            let used = siblings
                .iter()
                .flat_map(|item| &item.runs)
                .filter(|booked| booked.runner == other)
                .count();
            let spread = step.anti_affinity == 0 || used < step.anti_affinity as usize;
            other != runner
                && state.report.service == job.queue.service
                && state.takes_work(self.started)
                && state.free().holds(&demand)
                && spread
        })
    }

    /// Orders hosts for maintenance: those that are off, then empty ones, then those with the least work.
    fn emptying_cost(&mut self, host: &str) -> (u32, u32) {
        let Some(state) = self.hosts.find(host) else {
            return (u32::MAX, u32::MAX);
        };
        let runner = state.report.runner.clone();
        let key = runner.and_then(|id| self.runners.find(&id));
        let Some(key) = key else {
            return (0, 0);
        };
        let lasting = self
            .runs_on(key)
            .iter()
            .filter(|(item, _)| self.lasts(*item))
            .count();
        let used = self.runners.get(key).map_or(0, |state| state.used.cpu);
        (lasting as u32, used)
    }

    fn decide_moves(&mut self, now: LocalTime) {
        let figures = self.pool_figures(now);
        let plan = plan_pools(&figures);
        for HostMove { host, pool, why } in plan.moves {
            self.begin_task(&host, HostTask::Move { pool }, why, now);
        }
        for host in plan.drains {
            let runner = self
                .hosts
                .find(&host)
                .and_then(|state| state.report.runner.clone());
            if let Some(id) = runner {
                self.cordon(&id);
            }
        }
    }

    fn pool_figures(&self, now: LocalTime) -> Vec<PoolFigures> {
        let mut figures: Vec<PoolFigures> = self
            .rules
            .services
            .iter()
            .map(|service| PoolFigures {
                name: service.name.clone(),
                spare: service.spare,
                ..PoolFigures::default()
            })
            .collect();
        for state in &self.hosts.hosts {
            let goal = match (&state.task, &state.moved) {
                (Some((HostTask::Move { pool }, _)), _) | (_, Some((pool, _))) => pool,
                _ => &state.report.pool,
            };
            let pool = figures.iter_mut().find(|pool| pool.name == *goal);
            let Some(pool) = pool else {
                continue;
            };
            if state.report.status != HostStatus::Down {
                pool.hosts += 1;
                pool.host_cpu = pool.host_cpu.max(state.report.capacity.cpu);
            }
            match self.host_use(state, pool.spare, now) {
                HostUse::Empty(since) => {
                    pool.movable.push((since, state.report.host.clone()));
                }
                HostUse::Busy(cpu) => pool.busy.push((cpu, state.report.host.clone())),
                HostUse::Kept => {}
            }
        }
        for key in self.jobs.open() {
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            let pool = figures
                .iter_mut()
                .find(|pool| pool.name == job.queue.service);
            if let Some(pool) = pool {
                let demand = job_demand(job, now);
                pool.demand_cpu += demand.in_time;
                pool.late_cpu += demand.late;
            }
        }
        figures
    }

    fn host_use(&self, state: &HostState, spare: bool, now: LocalTime) -> HostUse {
        let idle = state.task.is_none() && state.maintained.is_none() && state.moved.is_none();
        if !idle || state.report.status != HostStatus::Up || state.pause > now {
            return HostUse::Kept;
        }
        if spare {
            return HostUse::Empty(LocalTime(0));
        }
        let id = state.report.runner.as_deref();
        let Some(key) = id.and_then(|id| self.runners.find(id)) else {
            return HostUse::Kept;
        };
        let Some(runner) = self.runners.get(key) else {
            return HostUse::Kept;
        };
        if !runner.takes_work(now) || self.has_lasting(Some(key)) {
            return HostUse::Kept;
        }
        if runner.items.is_empty() {
            return HostUse::Empty(runner.empty_since);
        }
        HostUse::Busy(runner.used.cpu)
    }
}

/// What a host could be used for in another pool.
enum HostUse {
    /// Nothing runs there, since that time.
    Empty(LocalTime),
    /// Its work ends by itself; the processor time in use.
    Busy(u32),
    /// It stays.
    Kept,
}
