//! Hosts and runners in virtual time: they carry out the owner's commands, work items take their estimated time, and hosts
//! are away for as long as a move or a maintenance takes.

use {
    crate::fleet::{self, MAINTENANCE, SPARE, TestFleet, ended_run, job, step},
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{
        jobs::StepSpec,
        owner::{
            HostReport, HostResponse, HostStatus, OwnerCommand, RunCommand, StartCommand,
            WaveRequest,
        },
        runners::{EndKind, EndedRun, HoldResponse, ListedRun, RunnerReport},
    },
};

/// Time between two ticks of the owner.
const TICK: u64 = 20;
/// Time between two lists of hosts and runners.
const LIST_INTERVAL: u64 = 300;
const MOVE: Millis = Millis(1_500);
/// Time from the start of a long-running work item until it serves: a little less than the 5.5 s that it may be away.
const START_UP: u64 = 5_000;

struct VirtualRun {
    start: StartCommand,
    begun: LocalTime,
    stopped: bool,
}

pub struct VirtualHost {
    pub name: String,
    pub pool: String,
    /// Status while it is away, until when, and its pool afterwards.
    away: Option<(HostStatus, LocalTime, String)>,
    instance: u64,
    runs: Vec<VirtualRun>,
    ended: Vec<EndedRun>,
    ends: u64,
    maintained: bool,
    labels: Vec<String>,
}

impl VirtualHost {
    fn runner_id(&self) -> Option<String> {
        let is_on = self.pool != SPARE && self.away.is_none();
        is_on.then(|| format!("{}-{}", self.name, self.instance))
    }

    fn report(&self) -> HostReport {
        HostReport {
            status: self.away.as_ref().map_or(HostStatus::Up, |away| away.0),
            ..fleet::host(&self.name, &self.pool, self.runner_id().as_deref())
        }
    }

    fn leave(&mut self, status: HostStatus, until: LocalTime, pool: String) {
        self.away = Some((status, until, pool));
        self.instance += 1;
        self.runs.clear();
        self.ended.clear();
        self.ends = 0;
    }

    fn end(&mut self, index: usize, kind: EndKind) {
        let run = self.runs.remove(index);
        self.ends += 1;
        self.ended.push(ended_run(self.ends, &run.start, kind));
    }

    /// Ends the work whose time is over.
    fn pass_time(&mut self, now: LocalTime, duration: impl Fn(&StartCommand) -> Option<u64>) {
        for index in (0..self.runs.len()).rev() {
            let run = &self.runs[index];
            let is_done = duration(&run.start).is_some_and(|ms| now >= run.begun + Millis(ms));
            if run.stopped {
                self.end(index, EndKind::Stopped);
            } else if is_done {
                self.end(index, EndKind::Done);
            }
        }
    }

    fn hold(&mut self, now: LocalTime, last_seen: u64) -> HoldResponse {
        self.ended.retain(|end| end.number > last_seen);
        let listed = |run: &VirtualRun| ListedRun {
            percent: (now.since(run.begun).0 * 100 / START_UP).min(100) as u32,
            ..fleet::listed_run(&run.start)
        };
        HoldResponse {
            clock_ms: now.0,
            started_ms: None,
            running: self.runs.iter().map(listed).collect(),
            ended: self.ended.clone(),
        }
    }
}

/// A fleet in virtual time.
pub struct VirtualFleet {
    pub fleet: TestFleet,
    pub hosts: Vec<VirtualHost>,
    /// Description of each job by its id.
    jobs: Vec<StepSpec>,
    listed_at: LocalTime,
    /// Largest number of hosts that were maintained at the same time.
    pub most_away: usize,
    /// Hosts of the wave that were not maintained when it was reported as completed.
    pub completed_early: usize,
    /// Hosts that were told to move, with their new pools.
    moves: Vec<(String, String)>,
    wave_hosts: Vec<String>,
    /// Number of ticks in which more work items of a step were away than it may miss.
    pub misses: u64,
    pub completed_at: Option<LocalTime>,
}

impl VirtualFleet {
    /// Creates a fleet with as many hosts in each pool.
    pub fn new(pools: &[(&str, usize)]) -> Self {
        let mut hosts = Vec::new();
        for (pool, count) in pools {
            for _ in 0..*count {
                hosts.push(VirtualHost {
                    name: format!("h{:03}", hosts.len()),
                    pool: (*pool).to_owned(),
                    away: None,
                    instance: 1,
                    runs: Vec::new(),
                    ended: Vec::new(),
                    ends: 0,
                    maintained: false,
                    labels: Vec::new(),
                });
            }
        }
        let mut fleet = Self {
            fleet: TestFleet::new(1, &[]),
            hosts,
            jobs: Vec::new(),
            listed_at: LocalTime(0),
            most_away: 0,
            completed_early: 0,
            moves: Vec::new(),
            wave_hosts: Vec::new(),
            misses: 0,
            completed_at: None,
        };
        fleet.pass_time(1_000);
        fleet
    }

    /// Submits a job of one step.
    pub fn submit(&mut self, shape: StepSpec) {
        self.jobs.push(shape.clone());
        let id = self.jobs.len() as u64;
        self.fleet.submit(id, job(vec![shape]));
    }

    /// Forgets what was measured before.
    pub fn start_measuring(&mut self) {
        self.most_away = 0;
        self.misses = 0;
        self.moves.clear();
    }

    pub fn label(&mut self, host: usize, label: &str) {
        self.hosts[host].labels.push(label.to_owned());
    }

    pub fn is_maintained(&self, name: &str) -> bool {
        let mut hosts = self.hosts.iter();
        hosts.any(|host| host.name == name && host.maintained)
    }

    /// Returns how many hosts were told to move to a pool.
    pub fn moves_to(&self, pool: &str) -> usize {
        self.moves.iter().filter(|(_, to)| to == pool).count()
    }

    pub fn request_wave(&mut self, hosts: Vec<String>, cap: u32, duration: Millis) {
        self.wave_hosts.clone_from(&hosts);
        let request = WaveRequest {
            number: 1,
            hosts,
            duration,
            cap,
        };
        self.fleet.owner.wave_requested(request, self.fleet.now);
    }

    /// Returns the number of hosts of a pool.
    pub fn pool_size(&self, pool: &str) -> usize {
        let hosts = self.hosts.iter();
        hosts.filter(|host| host.pool == pool).count()
    }

    pub fn pass_time(&mut self, millis: u64) {
        let end = self.fleet.now + Millis(millis);
        while self.fleet.now < end {
            self.pass_tick();
        }
    }

    fn pass_tick(&mut self) {
        let now = self.fleet.now;
        let jobs = &self.jobs;
        let duration = |start: &StartCommand| {
            let shape = &jobs[start.name.job.0 as usize - 1];
            // 3% of the work items take seven times as long as the others.
            let number = start.name.job.0 + u64::from(start.name.index) * 7;
            let factor = if number.is_multiple_of(33) { 7 } else { 1 };
            (!shape.long_running).then(|| u64::from(shape.estimate_ms) * factor)
        };
        for host in &mut self.hosts {
            if let Some((_, until, pool)) = &host.away
                && now >= *until
            {
                host.pool.clone_from(pool);
                host.away = None;
            }
            host.pass_time(now, duration);
        }
        if now >= self.listed_at + Millis(LIST_INTERVAL) {
            self.listed_at = now;
            let reports = self.hosts.iter().map(VirtualHost::report).collect();
            self.fleet.list_hosts(reports);
            self.fleet.runners = self.hosts.iter().filter_map(runner_report).collect();
            self.fleet.list_runners();
        }
        self.fleet.advance(TICK);
        self.fleet.store();
        for command in std::mem::take(&mut self.fleet.commands) {
            self.carry_out(command);
        }
        self.fleet.owner.take_events();
        self.check_limits();
    }

    fn host_of(&mut self, runner: goldcreststall_dispatch::runners::RunnerKey) -> Option<usize> {
        let (id, _) = self.fleet.owner.runner_address(runner)?;
        let hosts = self.hosts.iter();
        let mut ids = hosts.map(VirtualHost::runner_id);
        ids.position(|other| other.as_deref() == Some(id))
    }

    fn carry_out(&mut self, command: OwnerCommand) {
        let now = self.fleet.now;
        match command {
            OwnerCommand::Hold {
                runner, last_seen, ..
            } => match self.host_of(runner) {
                Some(host) => {
                    let response = self.hosts[host].hold(now, last_seen);
                    let owner = &mut self.fleet.owner;
                    owner.hold_answered(runner, now, last_seen, response, now);
                }
                None => self.fleet.owner.hold_missed(runner, now),
            },
            OwnerCommand::Start(start) => {
                if let Some(host) = self.host_of(start.runner) {
                    self.fleet.accept_starts(std::slice::from_ref(&start));
                    self.hosts[host].runs.push(VirtualRun {
                        start,
                        begun: now,
                        stopped: false,
                    });
                }
            }
            OwnerCommand::Stop(stop) => self.stop(&stop),
            OwnerCommand::MoveHost { host, pool } => {
                self.moves.push((host.clone(), pool.clone()));
                self.leave(&host, HostStatus::Moving, MOVE, Some(pool));
            }
            OwnerCommand::MaintainHost { host, .. } => {
                self.leave(&host, HostStatus::Maintenance, MAINTENANCE, None);
            }
            OwnerCommand::ReportWave { completed, .. } if completed => {
                self.completed_at = Some(now);
                let hosts = self.wave_hosts.iter();
                self.completed_early = hosts.filter(|host| !self.is_maintained(host)).count();
            }
            _ => {}
        }
    }

    fn stop(&mut self, stop: &RunCommand) {
        let Some(host) = self.host_of(stop.runner) else {
            return;
        };
        let mut runs = self.hosts[host].runs.iter_mut();
        if let Some(run) = runs.find(|run| run.start.name == stop.name) {
            run.stopped = true;
        }
        let clock = self.fleet.clock();
        self.fleet
            .owner
            .stop_answered(stop, Some(clock), self.fleet.now);
    }

    fn leave(&mut self, name: &str, status: HostStatus, time: Millis, pool: Option<String>) {
        let now = self.fleet.now;
        let found = self.hosts.iter_mut().find(|host| host.name == name);
        let host = found.expect("a known host");
        if host.away.is_none() {
            let pool = pool.unwrap_or_else(|| host.pool.clone());
            host.maintained |= status == HostStatus::Maintenance;
            host.leave(status, now + time, pool);
        }
        self.fleet
            .owner
            .host_answered(name, HostResponse::Done, now);
    }

    fn check_limits(&mut self) {
        let now = self.fleet.now;
        let is_away =
            |host: &&VirtualHost| matches!(host.away, Some((HostStatus::Maintenance, ..)));
        let away = self.hosts.iter().filter(is_away).count();
        self.most_away = self.most_away.max(away);
        for (index, shape) in self.jobs.iter().enumerate() {
            if !shape.long_running {
                continue;
            }
            let runs = self.hosts.iter().flat_map(|host| &host.runs);
            let serving = runs.filter(|run| {
                run.start.name.job.0 as usize == index + 1
                    && !run.stopped
                    && now.since(run.begun).0 >= START_UP
            });
            let away = shape.count.saturating_sub(serving.count() as u32);
            self.misses += u64::from(away > shape.may_miss);
        }
    }
}

fn runner_report(host: &VirtualHost) -> Option<RunnerReport> {
    Some(RunnerReport {
        started_ms: host.instance,
        service: host.pool.clone(),
        labels: host.labels.clone(),
        ..fleet::runner(&host.runner_id()?)
    })
}

/// Long-running work that may miss one work item and has at most one on a host.
pub fn serving(count: u32, mem_mb: u32) -> StepSpec {
    StepSpec {
        mem_mb,
        long_running: true,
        anti_affinity: 1,
        may_miss: 1,
        ..step(count, 500)
    }
}

/// A pulse of short work items.
pub fn pulse(count: u32) -> StepSpec {
    StepSpec {
        mem_mb: 200,
        estimate_ms: 600,
        ..step(count, 1_000)
    }
}
