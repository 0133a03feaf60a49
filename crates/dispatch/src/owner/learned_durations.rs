//! Durations of work, learned from the runs that succeeded.

use {
    super::OwnerState,
    crate::{
        jobs::{ItemKey, ItemRun, JobState, MAX_PACE_PERCENT, WorkItem},
        locality::StepKind,
        runners::RunnerKey,
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

impl OwnerState {
    /// Returns a run with its expected duration.
    pub(super) fn with_expectation(&self, key: ItemKey, run: ItemRun) -> ItemRun {
        let Some((job, item)) = self.jobs.item(key) else {
            return run;
        };
        let median = self.locality.durations.expected(&kind_of(job, item)).median;
        let is_far = self.is_far_run(job, item, run.runner);
        let percent = if is_far {
            u64::from(self.locality.far_percent)
        } else {
            100
        };
        ItemRun {
            expected: Millis(median.0.saturating_mul(percent) / 100),
            is_far,
            ..run
        }
    }

    fn is_far_run(&self, job: &JobState, item: &WorkItem, runner: RunnerKey) -> bool {
        let rack = job.step_of(item).data_rack.as_deref();
        let state = self.runners.get(runner);
        rack.zip(state)
            .is_some_and(|(rack, state)| !state.has_label(rack))
    }

    /// Learns from the duration of a run that succeeded on a healthy runner, at full speed and without a resumption.
    pub(super) fn learn_duration(
        &mut self,
        key: ItemKey,
        runner: RunnerKey,
        run: u32,
        now: LocalTime,
    ) {
        let Some((job, item)) = self.jobs.item(key) else {
            return;
        };
        let step = job.step_of(item);
        let is_same_run = |other: &&ItemRun| other.runner == runner && other.run == run;
        let Some(recorded_run) = item.runs.iter().find(is_same_run) else {
            return;
        };
        // An adopted run has begun earlier than this owner knows. The first end of a gang counts: the others follow it.
        let is_measured = recorded_run.start_deadline_ms > 0
            && recorded_run.pace == MAX_PACE_PERCENT
            && item.checkpoint.is_empty()
            && !step.fills
            && !step.long_running
            && !item.done;
        let is_healthy = self.runners.get(runner).is_some_and(|state| {
            state.consecutive_failures == 0
                && state.unanswered_starts == 0
                && state.cooldown_until <= now
        });
        if !is_measured || !is_healthy {
            return;
        }
        let members = job.step_items(item.occurrence, item.step);
        let is_far = recorded_run.is_far
            || (step.same_rack && step.gang && {
                let runs = members.iter().flat_map(|member| &member.runs);
                self.spans_racks(runs.filter(|other| other.run == run).map(|run| run.runner))
            });
        let percent = if is_far {
            u64::from(self.locality.far_percent)
        } else {
            100
        };
        let near = Millis(now.since(recorded_run.sent).0 * 100 / percent);
        self.locality.durations.record(&kind_of(job, item), near);
    }

    pub(super) fn spans_racks(&self, runners: impl Iterator<Item = RunnerKey>) -> bool {
        let mut racks = runners.map(|runner| self.rack_of(runner));
        let first = racks.next();
        racks.any(|rack| Some(rack) != first)
    }
}

/// Returns the kind of a work item for the table of durations.
pub(super) fn kind_of<'a>(job: &'a JobState, item: &WorkItem) -> StepKind<'a> {
    StepKind {
        queue: &job.queue.name,
        organisation: job.organisation.as_deref(),
        step: item.step,
        estimate_ms: job.step_of(item).estimate_ms,
    }
}
