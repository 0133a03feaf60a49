use {
    super::OwnerState,
    crate::{
        jobs::RunPhase,
        runners::{RunnerKey, RunnerStatus},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Time of lists without progress after which a run counts as stuck. Even on a slow runner one percent takes less.
const STUCK_TIMEOUT: Millis = Millis(2_500);
/// How long a runner with a stuck run gets no new work.
const STUCK_COOLDOWN: Millis = Millis(4_000);

impl OwnerState {
    /// Stops runs that make no progress, and also long-running work on runners that are draining, so that it moves.
    pub(super) fn stop_stuck_runs(&mut self, now: LocalTime) {
        for runner in self.runners.keys() {
            let Some(state) = self.runners.get(runner) else {
                continue;
            };
            let draining = state.report.status == RunnerStatus::Draining;
            let (last_listed, listing_since) = (state.last_listed, state.listing_since);
            if state.missed_holds > 0 {
                continue;
            }
            for (key, recorded_run) in self.runs_on(runner) {
                if !matches!(recorded_run.phase, RunPhase::Running { .. }) {
                    continue;
                }
                let Some((job, item)) = self.jobs.item(key) else {
                    continue;
                };
                let is_long_running = job.step_of(item).long_running;
                // Silence of the runner, or a pause of this process, tells nothing about its work.
                let observed_from = recorded_run.progressed_at.max(listing_since);
                let is_stuck = !is_long_running && last_listed.since(observed_from) > STUCK_TIMEOUT;
                if is_long_running && draining {
                    self.stop_run(key, runner, recorded_run.run);
                } else if is_stuck {
                    let name = job.item_name(key.item).to_string();
                    let detail =
                        format!("run={} percent={}", recorded_run.run, recorded_run.percent);
                    self.log_event("run stuck", name, detail);
                    self.cool_down_runner(runner, now);
                    self.stop_run(key, runner, recorded_run.run);
                }
            }
        }
    }

    fn cool_down_runner(&mut self, runner: RunnerKey, now: LocalTime) {
        if let Some(state) = self.runners.get_mut(runner) {
            state.cooldown_until = now + STUCK_COOLDOWN;
        }
    }
}
