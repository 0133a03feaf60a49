use {
    super::{OwnerState, RunCommand, StartCommand},
    crate::jobs::RunPhase,
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// How long a runner takes no new work after it has refused a command for lack of health or room.
const REFUSAL_PAUSE: Millis = Millis(500);
/// Step by which run numbers skip those that an earlier owner may have used.
const RUN_SKIP: u32 = 16;

/// What became of a command to start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartResponse {
    /// The run has begun; the reading of the runner's clock.
    Begun(u64),
    /// The runner has seen a newer owner's token.
    Fenced,
    /// The deadline had passed; the reading of the runner's clock.
    Late(u64),
    /// The command was not sent.
    NotSent,
    /// A run with this number or a higher one has ended there.
    OldRun,
    /// There is no room.
    NoRoom,
    /// The approval of the advice service is missing or no longer valid.
    NoTicket,
    /// Another lifetime runs at the address.
    OtherLifetime,
    /// The runner refuses work because it is not healthy.
    Unhealthy,
    /// No answer: it may have begun, or may begin later.
    Unknown,
}

impl OwnerState {
    /// Takes the response to a command to start. Returns false when a newer owner exists.
    pub fn start_answered(
        &mut self,
        command: &StartCommand,
        response: StartResponse,
        now: LocalTime,
    ) -> bool {
        let StartCommand {
            runner, item, run, ..
        } = *command;
        if response != StartResponse::Unknown
            && let Some(state) = self.runners.get_mut(runner)
        {
            state.last_response = now;
        }
        match response {
            StartResponse::Begun(clock) => self.start_begun(command, clock, now),
            StartResponse::Fenced => return false,
            StartResponse::Unknown => self.start_unknown(command),
            StartResponse::Late(_)
            | StartResponse::NoRoom
            | StartResponse::NoTicket
            | StartResponse::NotSent
            | StartResponse::OldRun
            | StartResponse::OtherLifetime
            | StartResponse::Unhealthy => {
                let detail = format!("run={run} answer={response:?}");
                self.log_event("start refused", command.name.to_string(), detail);
                self.detach_run(item, runner, run, now);
                self.break_gang(item, run);
                if response == StartResponse::OldRun
                    && let Some(item) = self.jobs.item_mut(item)
                {
                    item.last_run += RUN_SKIP;
                }
                if response == StartResponse::NoTicket {
                    if let Some(step) = self.step_key(item) {
                        self.advice.drop_ticket(step, runner);
                    }
                } else if let Some(state) = self.runners.get_mut(runner) {
                    state.cooldown_until = now + REFUSAL_PAUSE;
                    state.next_hold = state.next_hold.min(now);
                }
            }
        }
        true
    }

    fn start_begun(&mut self, command: &StartCommand, clock: u64, now: LocalTime) {
        if let Some(state) = self.runners.get_mut(command.runner) {
            state.clock.read(clock, now);
            state.missed_holds = 0;
        }
        if let Some(booked) = self.run_mut(command.item, command.runner, command.run)
            && booked.phase == RunPhase::Starting
        {
            booked.phase = RunPhase::Running { since: now };
            booked.moved = now;
        }
    }

    fn start_unknown(&mut self, command: &StartCommand) {
        let detail = format!("run={} runner answer missing; stopping it", command.run);
        self.log_event("start unknown", command.name.to_string(), detail);
        if let Some(booked) = self.run_mut(command.item, command.runner, command.run)
            && booked.phase == RunPhase::Starting
        {
            booked.phase = RunPhase::Stopping;
            self.issue_stop(command.item, command.runner, command.run);
            self.break_gang(command.item, command.run);
        }
    }

    /// Takes the response to a command to stop: the reading of the runner's clock, or none without a response.
    pub fn stop_answered(&mut self, command: &RunCommand, clock: Option<u64>, now: LocalTime) {
        let Some(clock) = clock else {
            return;
        };
        if let Some(state) = self.runners.get_mut(command.runner) {
            state.clock.read(clock, now);
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
