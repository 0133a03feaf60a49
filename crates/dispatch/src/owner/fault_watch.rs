use {
    super::OwnerState,
    crate::{
        jobs::RunPhase,
        runners::{RunnerKey, RunnerStatus},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Time without progress after which a run counts as stuck; a percent takes less on a slow runner.
const STUCK: Millis = Millis(2_500);
/// How long a runner with a stuck run takes no new work.
const STUCK_COOLDOWN: Millis = Millis(4_000);

impl OwnerState {
    /// Stops runs that make no progress, and moves lasting work off runners that leave.
    pub(super) fn watch_faults(&mut self, now: LocalTime) {
        for runner in self.runners.keys() {
            let Some(state) = self.runners.get(runner) else {
                continue;
            };
            let leaving = state.report.status == RunnerStatus::Draining;
            if state.missed_holds > 0 {
                continue;
            }
            for (key, booked) in self.runs_on(runner) {
                if !matches!(booked.phase, RunPhase::Running { .. }) {
                    continue;
                }
                let Some((job, item)) = self.jobs.item(key) else {
                    continue;
                };
                let is_long_running = job.step_of(item).long_running;
                let stuck = !is_long_running && now.since(booked.moved) > STUCK;
                if is_long_running && leaving {
                    self.stop_run(key, runner, booked.run);
                } else if stuck {
                    let name = job.item_name(key.item).to_string();
                    let detail = format!("run={} percent={}", booked.run, booked.percent);
                    self.log_event("run stuck", name, detail);
                    self.avoid_stuck(runner, now);
                    self.stop_run(key, runner, booked.run);
                }
            }
        }
    }

    fn avoid_stuck(&mut self, runner: RunnerKey, now: LocalTime) {
        if let Some(state) = self.runners.get_mut(runner) {
            state.cooldown_until = now + STUCK_COOLDOWN;
        }
    }
}
