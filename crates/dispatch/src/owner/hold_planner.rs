use {
    super::{OwnerCommand, OwnerState},
    crate::{
        jobs::RunPhase,
        runners::{RunnerKey, RunnerState, longest_lapse},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Longest wait of a hold call for an end. The lease outlives several such waits.
const HOLD_WAIT: Millis = Millis(700);
/// Time after which a stop that was not acknowledged is sent again.
const STOP_REPEAT: Millis = Millis(600);

impl OwnerState {
    /// Sends a hold call to each runner that is due for one.
    pub(super) fn plan_holds(&mut self, now: LocalTime) {
        for key in self.runners.keys() {
            let Some(state) = self.runners.get(key) else {
                continue;
            };
            if needs_hold(state, now) {
                self.issue_hold(key, now);
            }
        }
    }

    fn issue_hold(&mut self, key: RunnerKey, now: LocalTime) {
        let urgent = self.has_stopped_run(key);
        let Some(state) = self.runners.get_mut(key) else {
            return;
        };
        let busy = !state.items.is_empty();
        let wait = if state.fenced && busy && !urgent && state.missed_holds == 0 {
            HOLD_WAIT
        } else {
            Millis(0)
        };
        // A runner that does not answer gets no longer lease, so that its work is known to end.
        let deadline_ms = if busy && state.missed_holds == 0 {
            state.clock.grant(now)
        } else {
            None
        };
        state.hold_sent = Some(now);
        let last_seen = state.stored;
        self.commands.push(OwnerCommand::Hold {
            runner: key,
            deadline_ms,
            last_seen,
            wait,
        });
    }

    fn has_stopped_run(&self, key: RunnerKey) -> bool {
        let stopped = |phase: RunPhase| matches!(phase, RunPhase::Stopped { .. });
        self.runs_on(key)
            .iter()
            .any(|(_, booked)| stopped(booked.phase))
    }

    /// Frees what ran on runners whose leases have ended for certain, and forgets lifetimes that are over.
    pub(super) fn lapse_runs(&mut self, now: LocalTime) {
        for key in self.runners.keys() {
            let Some(state) = self.runners.get(key) else {
                continue;
            };
            let silent = state.missed_holds > 0 || !state.listed;
            let lapse = state
                .clock
                .lapse()
                .unwrap_or(state.first_seen + longest_lapse());
            let certain = now > lapse && now > self.doubt_until;
            if silent && certain && !state.items.is_empty() {
                self.void_runner(key, "the lease has ended", now);
            }
            self.repeat_stops(key, now);
            self.forget_runner(key, now, lapse);
        }
    }

    fn forget_runner(&mut self, key: RunnerKey, now: LocalTime, lapse: LocalTime) {
        let Some(state) = self.runners.get(key) else {
            return;
        };
        if !state.listed && state.items.is_empty() && state.hold_sent.is_none() && now > lapse {
            self.runners.remove(key);
        }
    }

    fn repeat_stops(&mut self, key: RunnerKey, now: LocalTime) {
        for (item, booked) in self.runs_on(key) {
            let stopping = booked.phase == RunPhase::Stopping;
            if stopping && now.since(booked.moved) > STOP_REPEAT {
                if let Some(run) = self.run_mut(item, key, booked.run) {
                    run.moved = now;
                }
                self.issue_stop(item, key, booked.run);
            }
        }
    }
}

fn needs_hold(state: &RunnerState, now: LocalTime) -> bool {
    if state.has_ended || state.hold_sent.is_some() || now < state.next_hold {
        return false;
    }
    if !state.fenced {
        return state.listed;
    }
    !state.items.is_empty()
        || state.has_unknown_runs
        || state.stored > state.acknowledged
        || state.processed > state.stored
        || (state.missed_holds > 0 && state.listed)
}
