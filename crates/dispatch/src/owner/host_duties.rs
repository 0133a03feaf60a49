use {
    super::{
        HostReport, HostResponse, HostStatus, OwnerCommand, OwnerState, WaveRequest,
        host_table::{HostState, HostTask, WaveState},
    },
    crate::{records::WaveProgress, runners::RunnerKey},
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Time in which the host service may see only one owner's commands for a host, after a change of the owner.
const COMMAND_LEASE: Millis = Millis(3_300);
/// Time after which a command to the host service without a response is sent again.
const COMMAND_RETRY_INTERVAL: Millis = Millis(1_500);
/// Pause after the host service has refused a command.
const REFUSAL_PAUSE: Millis = Millis(700);
/// Added to the time that maintenance takes, for the list of hosts that lags.
const MAINTENANCE_SLACK: Millis = Millis(400);

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
        let mut ended = Vec::new();
        for report in reports {
            let known = self.hosts.get(&report.host).cloned();
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
            ended.extend(self.ended_runner(&state, report.status));
            state.report = report;
            hosts.push(state);
        }
        self.hosts.hosts = hosts;
        self.hosts.listed = Some(now);
        for key in ended {
            self.end_runner(key, "its host moves or is maintained", now);
        }
    }

    /// Returns the runner that ended with our command for a host, once the list shows that the command is carried out. An
    /// answer alone does not tell: the host service gives the same one when an earlier owner's command has done it all,
    /// and then the runner is a newer one and works.
    fn ended_runner(&self, state: &HostState, status: HostStatus) -> Option<RunnerKey> {
        let moved = state.moved.as_ref().map(|(_, at)| *at);
        let ordered = state.maintained.or(moved)?;
        let away = matches!(status, HostStatus::Moving | HostStatus::Maintenance);
        let key = state.runner_key(&self.runners)?;
        let runner = self.runners.get(key)?;
        (away && !runner.has_ended && runner.first_seen < ordered).then_some(key)
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
        self.log_event("wave requested", request.number.to_string(), detail);
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
        self.resend_host_commands(now);
        if self.hosts.listed.is_none() {
            return;
        }
        if self.earlier_commands_expired(now) && !self.in_doubt(now) {
            for wave in 0..self.waves.waves.len() {
                self.advance_wave(wave, now);
            }
        }
        self.decide_moves(now);
    }

    fn earlier_commands_expired(&self, now: LocalTime) -> bool {
        let first_term = self.token <= 1;
        first_term || now >= self.started + COMMAND_LEASE
    }

    /// Returns whether a command for the host cannot meet one of an earlier owner: that one's time is over, or the
    /// host's runner, which ends with every command, has lived longer.
    pub(super) fn can_command(&self, state: &HostState, now: LocalTime) -> bool {
        if self.earlier_commands_expired(now) {
            return true;
        }
        state
            .runner_key(&self.runners)
            .and_then(|key| self.runners.get(key))
            .and_then(|runner| runner.clock.uptime())
            .is_some_and(|uptime| uptime >= COMMAND_LEASE)
    }

    /// Lets runners work whose hosts have no command and belong to no wave that prepares them.
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

    pub(super) fn cordon(&mut self, id: &str) {
        let runner = self.runners.find(id);
        if let Some(state) = runner.and_then(|key| self.runners.get_mut(key)) {
            state.cordoned = true;
        }
    }

    fn resend_host_commands(&mut self, now: LocalTime) {
        let mut due = Vec::new();
        for state in &mut self.hosts.hosts {
            if let Some((task, sent)) = &mut state.task
                && now.since(*sent) > COMMAND_RETRY_INTERVAL
            {
                *sent = now;
                due.push((state.report.host.clone(), task.clone()));
            }
        }
        for (host, task) in due {
            self.issue_host_command(host, task);
        }
    }

    fn issue_host_command(&mut self, host: String, task: HostTask) {
        self.commands.push(match task {
            HostTask::Move { pool } => OwnerCommand::MoveHost { host, pool },
            HostTask::Maintain { wave } => OwnerCommand::MaintainHost { host, wave },
        });
    }

    pub(super) fn begin_task(&mut self, host: &str, task: HostTask, why: String, now: LocalTime) {
        let Some(state) = self.hosts.find(host) else {
            return;
        };
        state.task = Some((task.clone(), now));
        let runner = state.report.runner.clone();
        if let Some(id) = runner {
            self.cordon(&id);
        }
        self.log_event("host order", host.to_owned(), format!("{task:?} {why}"));
        self.issue_host_command(host.to_owned(), task);
    }

    /// Takes the response to a command for a host. Returns false when a newer owner exists.
    pub fn host_answered(&mut self, host: &str, response: HostResponse, now: LocalTime) -> bool {
        let Some(state) = self.hosts.find(host) else {
            return true;
        };
        let Some((task, _)) = state.task.clone() else {
            return true;
        };
        match response {
            HostResponse::Done => {
                state.task = None;
                match &task {
                    HostTask::Move { pool } => state.moved = Some((pool.clone(), now)),
                    HostTask::Maintain { .. } => state.maintained = Some(now),
                }
                if let HostTask::Maintain { wave } = task {
                    self.skip_in_wave(wave, host);
                }
            }
            HostResponse::Busy | HostResponse::Refused => {
                state.task = None;
                state.pause = now + REFUSAL_PAUSE;
                self.log_event(
                    "host order refused",
                    host.to_owned(),
                    format!("{task:?} {response:?}"),
                );
                if let (HostTask::Maintain { wave }, HostResponse::Refused) = (&task, response) {
                    self.skip_in_wave(*wave, host);
                }
            }
            HostResponse::Fenced => return false,
            HostResponse::Unknown => {}
        }
        true
    }

    /// Records that a host of a wave needs nothing more.
    pub(super) fn skip_in_wave(&mut self, number: u64, host: &str) {
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
}
