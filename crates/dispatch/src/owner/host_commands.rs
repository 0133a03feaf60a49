use {
    super::{
        HostReport, HostResponse, HostStatus, OwnerCommand, OwnerState, WaveRequest,
        host_table::{HostOperation, HostState, WaveState},
    },
    crate::{records::WaveProgress, runners::RunnerKey},
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Time after the start of a term in which commands of an earlier owner may still reach the host service. The host
/// service must not get commands of two owners for the same host in this time.
const COMMAND_LEASE: Millis = Millis(3_300);
/// Time after which a command to the host service is sent again when no response came.
const COMMAND_RETRY_INTERVAL: Millis = Millis(1_500);
/// How long a host gets no command after the host service has refused one.
const REFUSAL_COOLDOWN: Millis = Millis(700);
/// Added to the duration of maintenance, because the list of hosts lags.
const MAINTENANCE_MARGIN: Millis = Millis(400);

impl OwnerState {
    /// Handles the complete list of hosts, which was read at `now`. `maintenance` is the duration of maintenance.
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
                operation: None,
                paused_until: LocalTime(0),
                maintained: None,
                moved: None,
                due: false,
            });
            let is_back = |at: LocalTime| now >= at + maintenance + MAINTENANCE_MARGIN;
            if report.status == HostStatus::Up && state.maintained.is_some_and(is_back) {
                state.maintained = None;
            }
            let has_arrived = |moved: &(String, LocalTime)| {
                report.pool == moved.0 && report.status == HostStatus::Up && is_back(moved.1)
            };
            if state.moved.as_ref().is_some_and(has_arrived) {
                state.moved = None;
            }
            ended.extend(self.ended_runner(&state, report.status));
            state.report = report;
            hosts.push(state);
        }
        self.hosts.hosts = hosts;
        self.hosts.listed_at = Some(now);
        for key in ended {
            self.end_runner(key, "its host moves or is maintained", now);
        }
    }

    /// Returns the runner that ended with this owner's command for a host, once the list shows that the command was
    /// executed. A response alone does not prove it: the host service responds in the same way when a command of an
    /// earlier owner had already done everything, and then the runner is a newer one that works.
    fn ended_runner(&self, state: &HostState, status: HostStatus) -> Option<RunnerKey> {
        let moved = state.moved.as_ref().map(|(_, at)| *at);
        let commanded = state.maintained.or(moved)?;
        let away = matches!(status, HostStatus::Moving | HostStatus::Maintenance);
        let key = state.runner_key(&self.runners)?;
        let runner = self.runners.get(key)?;
        (away && !runner.has_ended && runner.first_seen < commanded).then_some(key)
    }

    /// Handles an operator's request for a wave; a number that is already known is ignored.
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
            progress.started.len()
        );
        self.log_event("wave requested", request.number.to_string(), detail);
        self.waves.waves.push(WaveState {
            request,
            requested_at: now,
            progress,
            reported: false,
        });
    }

    /// Decides moves and maintenance of hosts.
    pub(super) fn decide_hosts(&mut self, now: LocalTime) {
        self.uncordon();
        self.resend_host_commands(now);
        if self.hosts.listed_at.is_none() {
            return;
        }
        if self.earlier_commands_expired(now) && !self.is_recovering(now) {
            self.wave_room.clear_requests();
            let mut round = self.renew_evacuations(now);
            for wave in 0..self.waves.waves.len() {
                self.advance_wave(wave, &mut round, now);
            }
        }
        self.decide_moves(now);
    }

    fn earlier_commands_expired(&self, now: LocalTime) -> bool {
        let first_term = self.token <= 1;
        first_term || now >= self.started + COMMAND_LEASE
    }

    /// Returns whether a command for the host cannot conflict with one of an earlier owner: either the time of earlier
    /// commands has passed, or the host's runner, which ends with every command, has been up for longer than that time.
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

    /// Clears the cordon and the due mark of all runners and hosts, then cordons those whose hosts have a command. Waves and
    /// moves set them again.
    fn uncordon(&mut self) {
        for key in self.runners.keys() {
            if let Some(state) = self.runners.get_mut(key) {
                state.cordoned = false;
                state.due = false;
            }
        }
        for state in &mut self.hosts.hosts {
            state.due = false;
        }
        let commanded: Vec<String> = self
            .hosts
            .hosts
            .iter()
            .filter(|state| {
                state.operation.is_some() || state.maintained.is_some() || state.moved.is_some()
            })
            .filter_map(|state| state.report.runner.clone())
            .collect();
        for id in commanded {
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
            if let Some((operation, sent)) = &mut state.operation
                && now.since(*sent) > COMMAND_RETRY_INTERVAL
            {
                *sent = now;
                due.push((state.report.host.clone(), operation.clone()));
            }
        }
        for (host, operation) in due {
            self.issue_host_command(host, operation);
        }
    }

    fn issue_host_command(&mut self, host: String, operation: HostOperation) {
        self.commands.push(match operation {
            HostOperation::Move { pool } => OwnerCommand::MoveHost { host, pool },
            HostOperation::Maintain { wave } => OwnerCommand::MaintainHost { host, wave },
        });
    }

    pub(super) fn start_operation(
        &mut self,
        host: &str,
        operation: HostOperation,
        reason: String,
        now: LocalTime,
    ) {
        let Some(state) = self.hosts.get_mut(host) else {
            return;
        };
        state.operation = Some((operation.clone(), now));
        let runner = state.report.runner.clone();
        if let Some(id) = runner {
            self.cordon(&id);
        }
        self.log_event(
            "host order",
            host.to_owned(),
            format!("{operation:?} {reason}"),
        );
        self.issue_host_command(host.to_owned(), operation);
    }

    /// Handles the response to a command for a host. Returns false when a newer owner exists.
    pub fn host_answered(&mut self, host: &str, response: HostResponse, now: LocalTime) -> bool {
        let Some(state) = self.hosts.get_mut(host) else {
            return true;
        };
        let Some((operation, _)) = state.operation.clone() else {
            return true;
        };
        match response {
            HostResponse::Done => {
                state.operation = None;
                match &operation {
                    HostOperation::Move { pool } => state.moved = Some((pool.clone(), now)),
                    HostOperation::Maintain { .. } => state.maintained = Some(now),
                }
                if let HostOperation::Maintain { wave } = operation {
                    self.skip_in_wave(wave, host);
                }
            }
            HostResponse::Busy | HostResponse::Refused => {
                state.operation = None;
                state.paused_until = now + REFUSAL_COOLDOWN;
                self.log_event(
                    "host order refused",
                    host.to_owned(),
                    format!("{operation:?} {response:?}"),
                );
                if let (HostOperation::Maintain { wave }, HostResponse::Refused) =
                    (&operation, response)
                {
                    self.skip_in_wave(*wave, host);
                }
            }
            HostResponse::Fenced => return false,
            HostResponse::Unknown => {}
        }
        true
    }

    /// Records that a host of a wave needs no further command.
    pub(super) fn skip_in_wave(&mut self, number: u64, host: &str) {
        let wave = self
            .waves
            .waves
            .iter_mut()
            .find(|wave| wave.request.number == number);
        let Some(wave) = wave else {
            return;
        };
        let started = &mut wave.progress.started;
        if let Err(index) = started.binary_search_by(|name| name.as_str().cmp(host)) {
            started.insert(index, host.to_owned());
            self.journal.store_wave(number, wave.progress.clone());
        }
    }
}
