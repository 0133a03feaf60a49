use {
    super::{
        HostStatus, OwnerCommand, OwnerState, WaveRequest, evacuation::EvacuationRound,
        host_table::HostOperation,
    },
    crate::runners::RunnerKey,
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Time that is reserved at the end of a wave for each remaining round of hosts, for those that take long to become
/// empty.
const WAVE_MARGIN: Millis = Millis(3_000);
/// Minimum time between two log lines about the hosts that a wave waits for.
const LOG_INTERVAL: Millis = Millis(2_000);

/// Reason why the maintenance of a host has not started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WaveWait {
    /// The host is moving, is not up, or a command for it was refused recently.
    Host,
    /// Too many other hosts are away, or are drained first.
    Others,
    /// Work is on its way here, or waits and could start here.
    Needed,
    /// No other host has room for all of its long-running work.
    Room,
    /// Its runner is not listed, and may still have work.
    Runner,
    /// It has work that may not be ended yet.
    Work,
}

/// Numbers of hosts that a wave may still take in a round of decisions.
#[derive(Clone, Copy, Debug)]
struct WaveBudgets {
    /// Hosts whose maintenance may start.
    starts: u32,
    /// Hosts without long-running work that may be emptied.
    drains: u32,
    /// Hosts with long-running work that may be emptied. It moves one work item of a step at a time, so that its hosts
    /// start early, in parallel to the others.
    evacuations: u32,
}

impl OwnerState {
    pub(super) fn advance_wave(
        &mut self,
        index: usize,
        round: &mut EvacuationRound,
        now: LocalTime,
    ) {
        let wave = &mut self.waves.waves[index];
        let number = wave.request.number;
        if !wave.reported {
            wave.reported = true;
            let completed = wave.progress.completed;
            self.commands.push(OwnerCommand::ReportWave {
                wave: number,
                completed,
            });
        }
        let wave = &self.waves.waves[index];
        if wave.progress.completed {
            return;
        }
        let (started, request, end) = (
            wave.progress.started.clone(),
            wave.request.clone(),
            wave.end(),
        );
        let is_waiting = |host: &String| started.binary_search(host).is_err();
        let remaining: Vec<String> = request
            .hosts
            .iter()
            .filter(|host| is_waiting(host) && self.hosts.get(host).is_some())
            .cloned()
            .collect();
        let away = self.hosts_away(&request);
        if remaining.is_empty() {
            if away == 0 {
                self.complete_wave(index);
            }
            return;
        }
        for host in &remaining {
            let state = self.hosts.get_mut(host).map(|state| {
                state.due = true;
                &*state
            });
            let key = state.and_then(|state| state.runner_key(&self.runners));
            if let Some(state) = key.and_then(|key| self.runners.get_mut(key)) {
                state.due = true;
            }
        }
        let rounds = remaining.len().div_ceil(request.cap.max(1) as usize) as u64;
        let needed = Millis(rounds * WAVE_MARGIN.0);
        let late = now + needed >= end;
        self.start_maintenance(
            &request,
            remaining,
            away,
            (late, end.since(now)),
            round,
            now,
        );
    }

    fn complete_wave(&mut self, index: usize) {
        let wave = &mut self.waves.waves[index];
        wave.progress.completed = true;
        let number = wave.request.number;
        self.journal.store_wave(number, wave.progress.clone());
        self.commands.push(OwnerCommand::ReportWave {
            wave: number,
            completed: true,
        });
        self.log_event("wave completed", number.to_string(), String::new());
    }

    /// Returns the number of hosts of a wave that are, or may be, away for maintenance.
    fn hosts_away(&self, request: &WaveRequest) -> u32 {
        let mut away = 0;
        for host in &request.hosts {
            if let Some(state) = self.hosts.get(host) {
                away += u32::from(self.is_away(state));
            }
        }
        away
    }

    fn start_maintenance(
        &mut self,
        request: &WaveRequest,
        mut remaining: Vec<String>,
        away: u32,
        (late, time_left): (bool, Millis),
        round: &mut EvacuationRound,
        now: LocalTime,
    ) {
        remaining.sort_by_cached_key(|host| self.drain_cost(host));
        let mut budgets = WaveBudgets {
            starts: request.cap.saturating_sub(away),
            drains: request.cap,
            evacuations: request.cap,
        };
        let mut waiting: Vec<(String, WaveWait)> = Vec::new();
        for host in remaining {
            if let Err(wait) = self.prepare_host(&host, late, &mut budgets, round, now) {
                waiting.push((host, wait));
                continue;
            }
            let wave = request.number;
            let reason = format!("away={away} cap={} late={late}", request.cap);
            self.start_operation(&host, HostOperation::Maintain { wave }, reason, now);
        }
        let is_stuck = |(_, wait): &&(String, WaveWait)| *wait == WaveWait::Room;
        let stuck = waiting.iter().filter(is_stuck);
        let stuck: Vec<&str> = stuck.map(|(host, _)| host.as_str()).collect();
        let requested = self.request_wave_room(request, &stuck, time_left);
        self.log_waiting(request.number, &waiting, requested, now);
    }

    /// Empties a host as far as the budgets allow. Returns why its maintenance cannot start yet, if it cannot.
    fn prepare_host(
        &mut self,
        host: &str,
        late: bool,
        budgets: &mut WaveBudgets,
        round: &mut EvacuationRound,
        now: LocalTime,
    ) -> Result<(), WaveWait> {
        let runner = self.maintainable_runner(host, now)?;
        if runner.is_some_and(|key| self.is_needed(key, now)) {
            return Err(WaveWait::Needed);
        }
        if let Some(key) = runner.filter(|key| self.has_work(*key)) {
            let long_running = self.has_long_running(key);
            let budget = if long_running {
                &mut budgets.evacuations
            } else {
                &mut budgets.drains
            };
            if *budget == 0 {
                return Err(WaveWait::Others);
            }
            if !self.evacuate_runner(key, round, now) {
                return Err(WaveWait::Room);
            }
            *budget -= 1;
            let force = late && !long_running;
            if !force || budgets.starts == 0 {
                return Err(WaveWait::Work);
            }
        }
        budgets.starts = budgets.starts.checked_sub(1).ok_or(WaveWait::Others)?;
        Ok(())
    }

    /// Returns whether long-running work is on its way to a runner, or waits and could start there.
    fn is_needed(&self, key: RunnerKey, now: LocalTime) -> bool {
        self.has_reservation(key) || self.is_room_for_unplaced(key, now)
    }

    /// Returns the runner of a host that can be maintained; none if the host is switched off.
    fn maintainable_runner(
        &self,
        host: &str,
        now: LocalTime,
    ) -> Result<Option<RunnerKey>, WaveWait> {
        let state = self.hosts.get(host).ok_or(WaveWait::Host)?;
        let is_up = state.report.status == HostStatus::Up;
        let is_idle = state.operation.is_none() && state.moved.is_none();
        if !is_up || !is_idle || state.paused_until > now {
            return Err(WaveWait::Host);
        }
        let is_off = self.rules.is_spare(&state.report.pool);
        let key = state.runner_key(&self.runners);
        if key.is_none() && !is_off {
            // A runner whose entry has lapsed may still have work.
            return Err(WaveWait::Runner);
        }
        Ok(key)
    }

    /// Logs how many hosts a wave waits for and why, at most once per interval.
    fn log_waiting(
        &mut self,
        number: u64,
        waiting: &[(String, WaveWait)],
        requested: usize,
        now: LocalTime,
    ) {
        if waiting.is_empty() || now < self.waves.logged + LOG_INTERVAL {
            return;
        }
        self.waves.logged = now;
        let count = |wanted: WaveWait| {
            let same = |(_, wait): &&(String, WaveWait)| *wait == wanted;
            waiting.iter().filter(same).count()
        };
        let example = waiting
            .last()
            .map(|(host, wait)| format!("{host}:{wait:?}"));
        let detail = format!(
            "for_work={} for_room={} for_runner={} for_host={} for_others={} wanted_hosts={requested} one={}",
            count(WaveWait::Work),
            count(WaveWait::Room) + count(WaveWait::Needed),
            count(WaveWait::Runner),
            count(WaveWait::Host),
            count(WaveWait::Others),
            example.unwrap_or_default()
        );
        self.log_event("wave waits", number.to_string(), detail);
    }

    fn has_work(&self, key: RunnerKey) -> bool {
        self.runners.get(key).is_some_and(|state| {
            !state.items.is_empty() || !state.unknown_runs.is_empty() || !state.fenced
        })
    }

    pub(super) fn has_long_running(&self, key: RunnerKey) -> bool {
        self.runs_on(key)
            .iter()
            .any(|(item, _)| self.is_long_running(*item))
    }

    /// Sort key of the order in which hosts are maintained: first those that are switched off, then empty ones, then
    /// those with the least work; hosts with long-running work after those without.
    fn drain_cost(&self, host: &str) -> (u32, u32) {
        let Some(state) = self.hosts.get(host) else {
            return (u32::MAX, u32::MAX);
        };
        let Some(key) = state.runner_key(&self.runners) else {
            return (0, 0);
        };
        let long_running = self
            .runs_on(key)
            .iter()
            .filter(|(item, _)| self.is_long_running(*item))
            .count();
        let used = self.runners.get(key).map_or(0, |state| state.used.cpu);
        (long_running as u32, used)
    }
}
