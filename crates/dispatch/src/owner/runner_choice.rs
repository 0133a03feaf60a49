use {
    super::{OwnerState, placement::PlacedItem, ready_items::PlacementTier},
    crate::{
        jobs::{ItemKey, JobState, StepSpec, WorkItem},
        runners::{Capacity, RunnerKey, RunnerState},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// How long a work item is kept off the runner where its last run failed, while another runner could take it. After that
/// the runner is used when no other one has free capacity.
const FAILED_RUNNER_TIMEOUT: Millis = Millis(2_000);

impl OwnerState {
    /// Returns the runner of a pool on which a work item starts now; that of its last failed run only if no other one has
    /// room.
    pub(super) fn choose_runner(
        &self,
        item: &PlacedItem,
        pool: &[RunnerKey],
        reserved: &[RunnerKey],
        now: LocalTime,
    ) -> Option<RunnerKey> {
        let failed_on = self.failed_on(item.key);
        let can_start = |runner: &RunnerKey| self.can_start(item, *runner, reserved, now);
        let mut candidates = pool
            .iter()
            .copied()
            .filter(|runner| failed_on != Some(*runner) && can_start(runner));
        let chosen = match self.data_rack(item.key) {
            None if item.tier == PlacementTier::Serving => candidates
                .min_by_key(|runner| self.runners.get(*runner).is_some_and(|state| state.due)),
            Some(rack) => candidates.max_by_key(|runner| self.has_label(*runner, rack)),
            None => candidates.next(),
        };
        chosen.or_else(|| failed_on.filter(|runner| pool.contains(runner) && can_start(runner)))
    }

    /// Returns whether a work item may start on a runner and has room there, beside what is reserved for other work.
    pub(super) fn can_start(
        &self,
        item: &PlacedItem,
        runner: RunnerKey,
        reserved: &[RunnerKey],
        now: LocalTime,
    ) -> bool {
        let Some(state) = self.runners.get(runner) else {
            return false;
        };
        let room = if item.target == Some(runner) {
            state.free_beside(&item.demand)
        } else if reserved.contains(&runner) {
            return false;
        } else {
            state.free()
        };
        room.covers(&item.demand) && self.is_eligible(item.key, runner, item.demand, now)
    }

    /// Returns whether a runner has room for the demand once all work has ended that ends by itself.
    pub(super) fn fits_drained(&self, runner: RunnerKey, demand: Capacity) -> bool {
        self.runners
            .get(runner)
            .is_some_and(|state| state.free_when_drained().covers(&demand))
    }

    fn data_rack(&self, key: ItemKey) -> Option<&str> {
        let (job, item) = self.jobs.item(key)?;
        job.step_of(item).data_rack.as_deref()
    }

    fn has_label(&self, runner: RunnerKey, label: &str) -> bool {
        self.runners
            .get(runner)
            .is_some_and(|state| state.has_label(label))
    }

    /// Returns the eligible runner with the least processor time in use: the first that can be expected to be free.
    pub(super) fn least_loaded(
        &self,
        pool: &[RunnerKey],
        reserved: &[RunnerKey],
        eligible: impl Fn(&RunnerKey) -> bool,
    ) -> Option<RunnerKey> {
        let used = |runner: &RunnerKey| self.runners.get(*runner).map(|state| state.used.cpu);
        pool.iter()
            .copied()
            .filter(|runner| !reserved.contains(runner) && eligible(runner))
            .min_by_key(used)
    }

    /// Returns whether a work item may find no runner although one has free capacity.
    pub(super) fn is_constrained(&self, key: ItemKey) -> bool {
        let Some((job, item)) = self.jobs.item(key) else {
            return false;
        };
        let step = job.step_of(item);
        let limited = step.anti_affinity > 0 || step.required_label.is_some();
        limited || item.failed_on.is_some() || job.queue.advice.is_some()
    }

    /// Returns whether a runner may run a work item, regardless of its free capacity.
    pub(super) fn is_eligible(
        &self,
        key: ItemKey,
        runner: RunnerKey,
        demand: Capacity,
        now: LocalTime,
    ) -> bool {
        let Some(state) = self.runners.get(runner) else {
            return false;
        };
        let Some((job, item)) = self.jobs.item(key) else {
            return false;
        };
        let step = job.step_of(item);
        state.report.capacity.covers(&demand)
            && state.takes_runs(1)
            && fits_label(step, state)
            && fits_spread(key, (job, item), &state.items)
            && self.ticket(key, runner, now).is_some()
            && !self.is_avoided(key, runner, demand, now)
    }

    /// Returns whether the last run of a work item has failed on a runner, recently, and another one could take it.
    fn is_avoided(
        &self,
        key: ItemKey,
        runner: RunnerKey,
        demand: Capacity,
        now: LocalTime,
    ) -> bool {
        let Some((job, item)) = self.jobs.item(key) else {
            return false;
        };
        let is_recent = |at: LocalTime| now.since(at) < FAILED_RUNNER_TIMEOUT;
        let failed_here = item
            .failed_on
            .is_some_and(|(failed_on, at)| failed_on == runner && is_recent(at));
        failed_here
            && self.runners.all().any(|(other, state)| {
                other != runner
                    && state.report.service == job.queue.service
                    && state.accepts_work(now)
                    && self.fits_drained(other, demand)
                    && self.is_eligible(key, other, demand, now)
            })
    }

    pub(super) fn failed_on(&self, key: ItemKey) -> Option<RunnerKey> {
        let (_, item) = self.jobs.item(key)?;
        let (runner, _) = item.failed_on?;
        Some(runner)
    }
}

fn fits_label(step: &StepSpec, state: &RunnerState) -> bool {
    step.required_label
        .as_deref()
        .is_none_or(|label| state.has_label(label))
}

/// Returns whether one more work item of a step is allowed beside `items` of a runner by the limit `anti_affinity`. Only
/// these are counted: the step may have thousands.
pub(super) fn fits_spread<'a>(
    key: ItemKey,
    (job, item): (&JobState, &WorkItem),
    items: impl IntoIterator<Item = &'a ItemKey>,
) -> bool {
    let step = job.step_of(item);
    if step.anti_affinity == 0 {
        return true;
    }
    let siblings = job.step_range(item.occurrence, item.step);
    let is_sibling = |other: &&ItemKey| other.job == key.job && siblings.contains(&other.item);
    let count = items.into_iter().filter(is_sibling).count();
    count < step.anti_affinity as usize
}
