use {
    super::{OwnerState, RunCommand, StartCommand},
    crate::{
        jobs::RunPhase,
        runners::{RunnerKey, is_overlong},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
    serde::{Deserialize, Serialize},
};

/// How long a runner gets no new work after it has refused a start command, for example because it is not healthy or
/// has no free capacity.
const REFUSAL_COOLDOWN: Millis = Millis(500);
/// How long a runner gets no new work after a start command without a response. The time doubles with each further one in
/// a row, because a runner that is out of reach for start commands may still answer hold calls.
const UNANSWERED_COOLDOWN: Millis = Millis(250);
/// Number of doublings after which this time no longer grows.
const MAX_COOLDOWN_DOUBLINGS: u32 = 4;
/// Step by which the run number advances to skip numbers that an earlier owner may have used.
const RUN_NUMBER_STEP: u32 = 16;

/// Outcome of a start command.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StartResponse {
    /// The run has started. Reading of the runner's clock, in milliseconds.
    Begun(u64),
    /// Refused: the runner has seen a higher token, that of a newer owner or one that was meant for its next instance.
    Fenced,
    /// Refused: the deadline had passed. Reading of the runner's clock, in milliseconds.
    Late(u64),
    /// The command was not sent.
    NotSent,
    /// Refused: a run of the work item with this number or a higher one has ended there.
    OldRun,
    /// Refused: the runner has too little free capacity.
    NoRoom,
    /// Refused: the approval by the advice service is missing or no longer valid.
    NoTicket,
    /// Refused: another instance of the runner has the address.
    OtherLifetime,
    /// Refused: the runner is not healthy.
    Unhealthy,
    /// No response: the run may have started, or may start later.
    Unknown,
}

impl StartResponse {
    /// Returns whether the run has begun under a longer lease than an owner grants: the deadline of its start, in milliseconds
    /// on the clock of the instance that it was meant for, says nothing to the instance that has executed it.
    pub fn is_overlong(self, deadline_ms: u64) -> bool {
        matches!(self, Self::Begun(clock_ms) if is_overlong(deadline_ms, clock_ms))
    }
}

impl OwnerState {
    /// Handles the outcome of a start command. Returns false when a newer owner exists.
    pub fn start_answered(
        &mut self,
        command: &StartCommand,
        response: StartResponse,
        now: LocalTime,
    ) -> bool {
        let is_response = !matches!(response, StartResponse::NotSent | StartResponse::Unknown);
        if is_response && let Some(state) = self.runners.get_mut(command.runner) {
            state.last_response = now;
            state.unanswered_starts = 0;
        }
        let is_overlong = response.is_overlong(command.deadline_ms);
        if let StartResponse::Begun(clock) = response
            && !is_overlong
        {
            self.record_start_reading(command.runner, clock, now);
        }
        // A refusal by the next instance says nothing about an earlier attempt, which may have begun there.
        let is_raised = response == StartResponse::Fenced && self.has_raised_token(command.runner);
        let response = if is_raised {
            StartResponse::Unknown
        } else {
            response
        };
        let command = &*self.readdressed(command);
        match response {
            StartResponse::Begun(clock) if is_overlong => {
                self.start_misdirected(command, clock, now);
            }
            StartResponse::Begun(_) => self.start_accepted(command, now),
            StartResponse::Fenced => return false,
            StartResponse::Unknown => self.start_unknown(command, now),
            StartResponse::Late(_)
            | StartResponse::NoRoom
            | StartResponse::NoTicket
            | StartResponse::NotSent
            | StartResponse::OldRun
            | StartResponse::OtherLifetime
            | StartResponse::Unhealthy => self.start_refused(command, response, now),
        }
        true
    }

    fn record_start_reading(&mut self, runner: RunnerKey, clock: u64, now: LocalTime) {
        if let Some(state) = self.runners.get_mut(runner) {
            state.record_unnamed_reading(clock, now);
            state.missed_holds = 0;
        }
    }

    fn start_accepted(&mut self, command: &StartCommand, now: LocalTime) {
        if let Some(recorded_run) = self.run_mut(command.item, command.runner, command.run)
            && recorded_run.phase == RunPhase::Starting
        {
            recorded_run.phase = RunPhase::Running { since: now };
            recorded_run.progressed_at = now;
        }
    }

    /// Stops a run that another instance has begun, under a lease that no successor of this owner counts on. The runner gets
    /// no new work until it has named its instance.
    fn start_misdirected(&mut self, command: &StartCommand, clock_ms: u64, now: LocalTime) {
        let detail = format!(
            "run={} clock_ms={clock_ms} deadline_ms={} begun on another clock; stopping the run",
            command.run, command.deadline_ms
        );
        self.log_event("start misdirected", command.name.to_string(), detail);
        if let Some(state) = self.runners.get_mut(command.runner) {
            state.in_doubt = true;
            state.next_hold = state.next_hold.min(now);
        }
        self.stop_run(command.item, command.runner, command.run);
        self.stop_gang(command.item, command.run);
    }

    fn start_refused(&mut self, command: &StartCommand, response: StartResponse, now: LocalTime) {
        let StartCommand {
            runner, item, run, ..
        } = *command;
        let detail = format!("run={run} answer={response:?}");
        self.log_event("start refused", command.name.to_string(), detail);
        let was_withdrawn = response == StartResponse::NotSent
            && self
                .run_mut(item, runner, run)
                .is_some_and(|recorded_run| recorded_run.phase != RunPhase::Starting);
        self.detach_run(item, runner, run, now);
        self.stop_gang(item, run);
        if response == StartResponse::OldRun
            && let Some(item) = self.jobs.item_mut(item)
        {
            item.last_run = item.last_run.saturating_add(RUN_NUMBER_STEP);
        }
        if response == StartResponse::NoTicket {
            if let Some(step) = self.step_key(item) {
                self.advice.remove_ticket(step, runner);
            }
        } else if let Some(state) = self.runners.get_mut(runner)
            && !was_withdrawn
        {
            state.cooldown_until = state.cooldown_until.max(now + REFUSAL_COOLDOWN);
            state.next_hold = state.next_hold.min(now);
        }
    }

    fn start_unknown(&mut self, command: &StartCommand, now: LocalTime) {
        let sent = self
            .run_mut(command.item, command.runner, command.run)
            .map_or(now, |recorded_run| recorded_run.sent);
        let unanswered_starts = self.cool_down_unanswered(command.runner, sent, now);
        let detail = format!(
            "run={} unanswered_in_a_row={unanswered_starts} deadline_ms={} {} no response from the runner; stopping the run",
            command.run,
            command.deadline_ms,
            self.lease_evidence(command.runner, now)
        );
        self.log_event("start unknown", command.name.to_string(), detail);
        if let Some(recorded_run) = self.run_mut(command.item, command.runner, command.run)
            && recorded_run.phase == RunPhase::Starting
        {
            recorded_run.phase = RunPhase::Stopping;
            recorded_run.progressed_at = now;
            self.issue_stop(command.item, command.runner, command.run);
            self.stop_gang(command.item, command.run);
        }
    }

    /// Gives no new work to a runner for a time after a start command without a response; returns the number of such
    /// commands in a row. One that was sent before the last of them was counted does not count: a lost delegate takes the
    /// responses to all starts that are in flight through it.
    fn cool_down_unanswered(&mut self, runner: RunnerKey, sent: LocalTime, now: LocalTime) -> u32 {
        let Some(state) = self.runners.get_mut(runner) else {
            return 0;
        };
        if state.unanswered_starts > 0 && sent <= state.unanswered_at {
            return state.unanswered_starts;
        }
        state.unanswered_at = now;
        let doublings = state.unanswered_starts.min(MAX_COOLDOWN_DOUBLINGS);
        state.unanswered_starts = state.unanswered_starts.saturating_add(1);
        let cooldown = Millis(UNANSWERED_COOLDOWN.0 << doublings);
        state.cooldown_until = state.cooldown_until.max(now + cooldown);
        state.unanswered_starts
    }

    /// Handles the response to a stop command: a reading of the runner's clock in milliseconds, or none without a
    /// response.
    pub fn stop_answered(&mut self, command: &RunCommand, clock: Option<u64>, now: LocalTime) {
        let Some(clock) = clock else {
            return;
        };
        if let Some(state) = self.runners.get_mut(command.runner) {
            state.record_unnamed_reading(clock, now);
            state.last_response = now;
            state.next_hold = state.next_hold.min(now);
        }
        if let Some(key) = command.item {
            self.set_phase(
                key,
                command.runner,
                command.run,
                RunPhase::Stopped { at: now },
            );
        }
    }
}
