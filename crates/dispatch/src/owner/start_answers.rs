use {
    super::{OwnerState, RunOrder, StartOrder},
    crate::jobs::RunPhase,
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// How long a runner takes no new work after it has refused an order for lack of health or room.
const REFUSAL_PAUSE: Millis = Millis(500);
/// Step by which run numbers skip those that an earlier owner may have used.
const RUN_SKIP: u32 = 16;

/// What became of an order to start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAnswer {
    /// The run has begun; the reading of the runner's clock.
    Begun(u64),
    /// The runner has seen a newer owner's token.
    Fenced,
    /// The deadline had passed; the reading of the runner's clock.
    Late(u64),
    /// The order was not sent.
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
    /// Takes the answer to an order to start. Returns false when a newer owner exists.
    pub fn start_answered(
        &mut self,
        order: &StartOrder,
        answer: StartAnswer,
        now: LocalTime,
    ) -> bool {
        let StartOrder {
            runner, item, run, ..
        } = *order;
        if answer != StartAnswer::Unknown
            && let Some(state) = self.runners.get_mut(runner)
        {
            state.answered = now;
        }
        match answer {
            StartAnswer::Begun(clock) => self.start_begun(order, clock, now),
            StartAnswer::Fenced => return false,
            StartAnswer::Unknown => self.start_unknown(order),
            StartAnswer::Late(_)
            | StartAnswer::NoRoom
            | StartAnswer::NoTicket
            | StartAnswer::NotSent
            | StartAnswer::OldRun
            | StartAnswer::OtherLifetime
            | StartAnswer::Unhealthy => {
                let detail = format!("run={run} answer={answer:?}");
                self.note("start refused", order.name.to_string(), detail);
                self.detach_run(item, runner, run, now);
                self.break_gang(item, run);
                if answer == StartAnswer::OldRun
                    && let Some(item) = self.jobs.item_mut(item)
                {
                    item.last_run += RUN_SKIP;
                }
                if answer == StartAnswer::NoTicket {
                    if let Some(step) = self.step_key(item) {
                        self.advice.drop_ticket(step, runner);
                    }
                } else if let Some(state) = self.runners.get_mut(runner) {
                    state.cooling = now + REFUSAL_PAUSE;
                    state.next_hold = state.next_hold.min(now);
                }
            }
        }
        true
    }

    fn start_begun(&mut self, order: &StartOrder, clock: u64, now: LocalTime) {
        if let Some(state) = self.runners.get_mut(order.runner) {
            state.clock.read(clock, now);
            state.misses = 0;
        }
        if let Some(booked) = self.run_mut(order.item, order.runner, order.run)
            && booked.phase == RunPhase::Starting
        {
            booked.phase = RunPhase::Running { since: now };
            booked.moved = now;
        }
    }

    fn start_unknown(&mut self, order: &StartOrder) {
        let detail = format!("run={} runner answer missing; stopping it", order.run);
        self.note("start unknown", order.name.to_string(), detail);
        if let Some(booked) = self.run_mut(order.item, order.runner, order.run)
            && booked.phase == RunPhase::Starting
        {
            booked.phase = RunPhase::Stopping;
            self.order_stop(order.item, order.runner, order.run);
            self.break_gang(order.item, order.run);
        }
    }

    /// Takes the answer to an order to stop: the reading of the runner's clock, or none without an answer.
    pub fn stop_answered(&mut self, order: &RunOrder, clock: Option<u64>, now: LocalTime) {
        let Some(clock) = clock else {
            return;
        };
        if let Some(state) = self.runners.get_mut(order.runner) {
            state.clock.read(clock, now);
            state.answered = now;
            state.next_hold = state.next_hold.min(now);
        }
        if let Some(key) = order.item {
            self.set_phase(key, order.runner, order.run, RunPhase::Stopped { at: now });
        }
    }
}
