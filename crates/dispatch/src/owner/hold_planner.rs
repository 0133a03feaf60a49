use {
    super::{OwnerCommand, OwnerState},
    crate::{
        jobs::RunPhase,
        runners::{MAX_CALL_DELAY, RunnerKey, RunnerState},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// How long a hold call waits for the end of a run. The lease is several times as long.
const HOLD_TIMEOUT: Millis = Millis(700);
/// Time after which a stop without an acknowledgement is sent again.
pub(super) const STOP_RETRY_INTERVAL: Millis = Millis(600);

impl OwnerState {
    /// Issues a hold call to each runner for which one is due.
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
        let wanted = self.has_wanted_run(key);
        let Some(state) = self.runners.get_mut(key) else {
            return;
        };
        let busy = !state.items.is_empty();
        let wait = if state.fenced && busy && !urgent && state.missed_holds == 0 {
            HOLD_TIMEOUT
        } else {
            Millis(0)
        };
        // The lease of a runner that does not respond is not extended, so that its work is certain to end. Neither is that
        // of work that is to stop, in case that no stop reaches the runner.
        let deadline_ms = if wanted && state.missed_holds == 0 {
            state.clock.grant(now)
        } else {
            None
        };
        state.hold_sent = Some(now);
        state.last_called = now;
        state.raise_token(self.newest_token);
        let last_seen = state.unacknowledged_end();
        self.commands.push(OwnerCommand::Hold {
            runner: key,
            deadline_ms,
            last_seen,
            wait,
        });
    }

    fn has_wanted_run(&self, key: RunnerKey) -> bool {
        let wanted =
            |phase: RunPhase| matches!(phase, RunPhase::Starting | RunPhase::Running { .. });
        self.runs_on(key)
            .iter()
            .any(|(_, recorded_run)| wanted(recorded_run.phase))
    }

    fn has_stopped_run(&self, key: RunnerKey) -> bool {
        let stopped = |phase: RunPhase| matches!(phase, RunPhase::Stopped { .. });
        self.runs_on(key)
            .iter()
            .any(|(_, recorded_run)| stopped(recorded_run.phase))
    }

    /// Releases the runs on runners whose leases have certainly lapsed, resends stops, and removes unlisted
    /// instances without runs.
    pub(super) fn expire_runs(&mut self, now: LocalTime) {
        for key in self.runners.keys() {
            let Some(state) = self.runners.get(key) else {
                continue;
            };
            let silent = state.missed_holds > 0 || !state.is_present();
            let lapse_time = state.end_of_runs(self.runners.max_lease());
            let is_certain = now > lapse_time && now > self.stall_grace_until;
            if silent && is_certain && !state.items.is_empty() {
                self.release_lost_runs(key, "the lease has ended", now);
            }
            self.resend_stops(key, now);
            self.forget_runner(key, now, lapse_time);
        }
    }

    /// Removes an instance that is not listed any more. It stays known while commands for it may be executed, so that the
    /// next instance under its id counts as a restart.
    fn forget_runner(&mut self, key: RunnerKey, now: LocalTime, lapse_time: LocalTime) {
        let Some(state) = self.runners.get(key) else {
            return;
        };
        let is_used = state.listed || !state.items.is_empty() || state.hold_sent.is_some();
        let has_calls = now <= state.last_called + MAX_CALL_DELAY;
        if !is_used && !has_calls && now > lapse_time {
            self.runners.remove(key);
        }
    }

    fn resend_stops(&mut self, key: RunnerKey, now: LocalTime) {
        for (item, recorded_run) in self.runs_on(key) {
            let stopping = recorded_run.phase == RunPhase::Stopping;
            if stopping && now.since(recorded_run.progressed_at) > STOP_RETRY_INTERVAL {
                if let Some(run) = self.run_mut(item, key, recorded_run.run) {
                    run.progressed_at = now;
                }
                self.issue_stop(item, key, recorded_run.run);
            }
        }
    }
}

fn needs_hold(state: &RunnerState, now: LocalTime) -> bool {
    if state.has_ended || state.hold_sent.is_some() || now < state.next_hold {
        return false;
    }
    (!state.fenced && state.listed)
        || !state.items.is_empty()
        || !state.unknown_runs.is_empty()
        || state.in_doubt
        || state.stored > state.acknowledged
        || state.processed > state.stored
        || (state.listed && (state.missed_holds > 0 || state.clock.needs_reading(now)))
}
