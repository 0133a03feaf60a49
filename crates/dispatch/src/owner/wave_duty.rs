use {
    super::{
        HostStatus, OwnerCommand, OwnerState, WaveRequest, host_table::HostTask,
        placement::spread_fits,
    },
    crate::{
        jobs::{ItemKey, ItemRun, RunPhase},
        runners::RunnerKey,
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Time of a wave that is kept for hosts that take long to become empty.
const WAVE_RESERVE: Millis = Millis(3_000);
/// Least time between two lines about the hosts that a wave waits for.
const LOG_INTERVAL: Millis = Millis(2_000);
/// Full work of a serving work item, in percent.
const AT_WORK: u32 = 100;

/// Why the maintenance of a host has not begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WaveWait {
    /// The host moves, is down, or has refused a command a moment ago.
    Host,
    /// Too many others are away, or are emptied first.
    Others,
    /// Its runner is not listed, and may still work.
    Runner,
    /// Work runs there that may not be ended yet.
    Work,
}

impl OwnerState {
    pub(super) fn advance_wave(&mut self, place: usize, now: LocalTime) {
        let wave = &mut self.waves.waves[place];
        let number = wave.request.number;
        if !wave.reported {
            wave.reported = true;
            let completed = wave.progress.completed;
            self.commands.push(OwnerCommand::ReportWave {
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
            .filter(|host| waits(host) && self.hosts.get(host).is_some())
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
            let listed = self.hosts.get(host);
            let key = listed.and_then(|state| state.runner_key(&self.runners));
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
        self.commands.push(OwnerCommand::ReportWave {
            wave: number,
            completed: true,
        });
        self.log_event("wave completed", number.to_string(), String::new());
    }

    /// Counts the hosts of a wave that are, or may be, away for it.
    fn wave_away(&self, request: &WaveRequest) -> u32 {
        let mut away = 0;
        for host in &request.hosts {
            if let Some(state) = self.hosts.get(host) {
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
        let mut waiting: Vec<(String, WaveWait)> = Vec::new();
        for host in left {
            let Some(state) = self.hosts.get(&host) else {
                continue;
            };
            let up = state.report.status == HostStatus::Up;
            if !up || state.task.is_some() || state.moved.is_some() || state.pause > now {
                waiting.push((host, WaveWait::Host));
                continue;
            }
            let off = self.rules.is_spare(&state.report.pool);
            let key = state.runner_key(&self.runners);
            if key.is_none() && !off {
                // A runner whose entry has lapsed may still work.
                waiting.push((host, WaveWait::Runner));
                continue;
            }
            if let Some(key) = key.filter(|key| self.has_work(*key)) {
                let lasting = self.has_long_running(key);
                let budget = if lasting {
                    &mut evacuating
                } else {
                    &mut emptying
                };
                if *budget == 0 {
                    waiting.push((host, WaveWait::Others));
                    continue;
                }
                *budget -= 1;
                self.prepare_runner(key, now);
                let force = late && !lasting;
                if !force || room == 0 {
                    waiting.push((host, WaveWait::Work));
                    continue;
                }
            }
            if room == 0 {
                waiting.push((host, WaveWait::Others));
                continue;
            }
            room -= 1;
            let wave = request.number;
            let why = format!("away={away} cap={} late={late}", request.cap);
            self.begin_task(&host, HostTask::Maintain { wave }, why, now);
        }
        self.log_waiting(request.number, &waiting, now);
    }

    /// Writes down which hosts a wave waits for, at most once a period.
    fn log_waiting(&mut self, number: u64, waiting: &[(String, WaveWait)], now: LocalTime) {
        if waiting.is_empty() || now < self.waves.logged + LOG_INTERVAL {
            return;
        }
        self.waves.logged = now;
        let count = |wanted: WaveWait| {
            let same = |(_, wait): &&(String, WaveWait)| *wait == wanted;
            waiting.iter().filter(same).count()
        };
        let first = waiting
            .last()
            .map(|(host, wait)| format!("{host}:{wait:?}"));
        let detail = format!(
            "for_work={} for_runner={} for_host={} for_others={} one={}",
            count(WaveWait::Work),
            count(WaveWait::Runner),
            count(WaveWait::Host),
            count(WaveWait::Others),
            first.unwrap_or_default()
        );
        self.log_event("wave waits", number.to_string(), detail);
    }

    fn has_work(&self, key: RunnerKey) -> bool {
        self.runners
            .get(key)
            .is_some_and(|state| !state.items.is_empty() || state.has_unknown_runs || !state.fenced)
    }

    pub(super) fn has_long_running(&self, key: RunnerKey) -> bool {
        self.runs_on(key)
            .iter()
            .any(|(item, _)| self.is_long_running(*item))
    }

    fn is_long_running(&self, key: ItemKey) -> bool {
        self.jobs
            .item(key)
            .is_some_and(|(job, item)| job.step_of(item).long_running)
    }

    /// Takes new work off a runner and restarts lasting work elsewhere.
    fn prepare_runner(&mut self, key: RunnerKey, now: LocalTime) {
        if let Some(state) = self.runners.get_mut(key) {
            state.cordoned = true;
        }
        for (item, booked) in self.runs_on(key) {
            let running = matches!(booked.phase, RunPhase::Running { .. });
            if running
                && self.is_long_running(item)
                && self.may_miss(item)
                && self.has_other_room(item, key, now)
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
        let answers = runner.is_some_and(|runner| runner.missed_holds == 0 && runner.fenced);
        let running = matches!(booked.phase, RunPhase::Running { .. });
        answers && running && booked.percent >= AT_WORK
    }

    fn has_other_room(&self, key: ItemKey, runner: RunnerKey, now: LocalTime) -> bool {
        let demand = self.demand(key);
        let Some((job, item)) = self.jobs.item(key) else {
            return false;
        };
        self.runners.all().any(|(other, state)| {
            other != runner
                && state.report.service == job.queue.service
                && state.accepts_work(now)
                && state.free().holds(&demand)
                && spread_fits(job, item, other)
        })
    }

    /// Commands hosts for maintenance: those that are off, then empty ones, then those with the least work.
    fn emptying_cost(&self, host: &str) -> (u32, u32) {
        let Some(state) = self.hosts.get(host) else {
            return (u32::MAX, u32::MAX);
        };
        let Some(key) = state.runner_key(&self.runners) else {
            return (0, 0);
        };
        let lasting = self
            .runs_on(key)
            .iter()
            .filter(|(item, _)| self.is_long_running(*item))
            .count();
        let used = self.runners.get(key).map_or(0, |state| state.used.cpu);
        (lasting as u32, used)
    }
}
