//! Forecasts of when the runners of a rack have free capacity.

use {
    super::{OwnerState, learned_durations::kind_of},
    crate::{
        jobs::{ItemRun, JobState, RunPhase, StepKey, WorkItem},
        locality::{CapacityForecast, LearnedDuration, RunnerForecast, remaining_time},
        runners::{Capacity, RunnerKey, RunnerState},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Expected time until a run that is being stopped has ended.
const STOP_TIME: Millis = Millis(250);

/// Runners of one service in one rack, and the forecast of their capacity.
#[derive(Debug)]
pub(super) struct RackForecast {
    service: String,
    pub(super) rack: String,
    /// In the order of the pool.
    pub(super) runners: Vec<RunnerKey>,
    /// Built when work cannot start near the data at once.
    pub(super) capacity: Option<CapacityForecast>,
}

/// Forecasts of the data racks of the work in one pass of placement, and the times of the step that was looked up last:
/// work items of one step are adjacent.
#[derive(Debug, Default)]
pub(super) struct RackForecasts {
    pub(super) racks: Vec<RackForecast>,
    pub(super) step: Option<(StepKey, StepTimes)>,
}

/// Times of a step that its work items share.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepTimes {
    pub(super) latest_start: LocalTime,
    pub(super) learned: LearnedDuration,
}

impl RackForecasts {
    /// Returns the index of a rack of a service; its runners are added at its first use.
    pub(super) fn index_of(
        &mut self,
        service: &str,
        rack: &str,
        runners: impl FnOnce() -> Vec<RunnerKey>,
    ) -> usize {
        let is_same = |known: &RackForecast| known.service == service && known.rack == rack;
        if let Some(index) = self.racks.iter().position(is_same) {
            return index;
        }
        self.racks.push(RackForecast {
            service: service.to_owned(),
            rack: rack.to_owned(),
            runners: runners(),
            capacity: None,
        });
        self.racks.len() - 1
    }
}

impl OwnerState {
    /// Returns the forecast for those of the runners that accept work, are not due for maintenance and are not reserved.
    pub(super) fn capacity_forecast(
        &self,
        runners: &[RunnerKey],
        reserved: &[RunnerKey],
        now: LocalTime,
    ) -> CapacityForecast {
        let forecast = |runner: &RunnerKey| {
            let state = self.runners.get(*runner)?;
            let takes_work = state.accepts_work(now) && !state.due && !reserved.contains(runner);
            takes_work.then(|| {
                RunnerForecast::new(*runner, state.free(), self.releases(*runner, state, now))
            })
        };
        CapacityForecast::new(runners.iter().filter_map(forecast).collect())
    }

    /// Returns when the runs on a runner are expected to end, and what capacity each of them frees.
    fn releases(
        &self,
        runner: RunnerKey,
        state: &RunnerState,
        now: LocalTime,
    ) -> Vec<(Millis, Capacity)> {
        let mut releases = Vec::with_capacity(state.items.len());
        for key in &state.items {
            let Some((job, item)) = self.jobs.item(*key) else {
                continue;
            };
            let step = job.step_of(item);
            if step.long_running {
                continue;
            }
            let here = item.runs.iter().filter(|run| run.runner == runner);
            releases.extend(here.map(|run| (self.remaining(run, job, item, now), step.demand())));
        }
        releases
    }

    fn remaining(&self, run: &ItemRun, job: &JobState, item: &WorkItem, now: LocalTime) -> Millis {
        if matches!(run.phase, RunPhase::Stopping | RunPhase::Stopped { .. }) {
            return STOP_TIME;
        }
        let expected = match run.expected {
            Millis(0) => self.locality.durations.expected(&kind_of(job, item)).median,
            expected => expected,
        };
        let standstill = now.since(run.progressed_at);
        remaining_time(expected, now.since(run.sent), run.percent, standstill)
    }
}
