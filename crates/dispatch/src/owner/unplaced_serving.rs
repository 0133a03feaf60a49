use {
    super::OwnerState,
    crate::{
        jobs::{ItemKey, JobState, StepKey, WorkItem},
        runners::{Capacity, RunnerKey},
    },
    goldcreststall_core::ids::LocalTime,
    std::sync::Arc,
};

/// Long-running work items of one step that found no runner in a pass of placement.
#[derive(Clone, Debug)]
pub(super) struct UnplacedServing {
    service: Arc<str>,
    pub(super) step: StepKey,
    items: u32,
    anti_affinity: u32,
    demand: Capacity,
}

impl OwnerState {
    /// Returns whether a runner accepts work and has room for long-running work that found no runner in the last pass of
    /// placement.
    pub(super) fn is_room_for_unplaced(&self, runner: RunnerKey, now: LocalTime) -> bool {
        let runner_state = self.runners.get(runner);
        let Some(state) = runner_state.filter(|state| state.accepts_work(now)) else {
            return false;
        };
        self.unplaced_serving.iter().any(|step| {
            *step.service == state.report.service
                && state.free().covers(&step.demand)
                && self
                    .idle_item(step.step)
                    .is_some_and(|item| self.is_eligible(item, runner, step.demand, now))
        })
    }

    /// Removes the steps of jobs that have ended since the last pass of placement: with thousands of unfinished jobs,
    /// several rounds of decisions come between two passes.
    pub(super) fn forget_ended_unplaced(&mut self) {
        let jobs = &self.jobs;
        self.unplaced_serving
            .retain(|unplaced| jobs.unfinished_step(unplaced.step).is_some());
    }

    /// Returns a work item of a step that has no run.
    fn idle_item(&self, step: StepKey) -> Option<ItemKey> {
        let (job, mut indexes) = self.jobs.unfinished_step(step)?;
        let item = indexes.find(|index| job.items[*index as usize].is_idle())?;
        Some(ItemKey {
            job: step.job,
            item,
        })
    }
}

/// Removes the long-running work that found no runner; returns its steps, sorted.
pub(super) fn take_steps(unplaced: &mut Vec<UnplacedServing>) -> Vec<StepKey> {
    let mut steps: Vec<StepKey> = unplaced.drain(..).map(|unplaced| unplaced.step).collect();
    steps.sort_unstable();
    steps
}

/// Adds a work item to the others of its step. Returns whether it is the first one.
pub(super) fn add_unplaced(
    unplaced: &mut Vec<UnplacedServing>,
    key: StepKey,
    (job, item): (&JobState, &WorkItem),
    demand: Capacity,
) -> bool {
    // The work items of a step are placed one after the other.
    if let Some(last) = unplaced.last_mut().filter(|last| last.step == key) {
        last.items += 1;
        return false;
    }
    unplaced.push(UnplacedServing {
        service: Arc::from(job.queue.service.as_str()),
        step: key,
        items: 1,
        anti_affinity: job.step_of(item).anti_affinity,
        demand,
    });
    true
}

/// Returns the number of hosts of this capacity that the unplaced work of a service needs: enough for the spread of each
/// step, and for the demand of all steps together. Work that is larger than `largest`, the largest host, is left out: no
/// number of hosts is enough for it.
pub(super) fn hosts_for_unplaced(
    unplaced: &[UnplacedServing],
    service: &str,
    host: Capacity,
    largest: Capacity,
) -> usize {
    let can_fit =
        |step: &&UnplacedServing| &*step.service == service && largest.covers(&step.demand);
    let steps = || unplaced.iter().filter(can_fit);
    let spread = |step: &UnplacedServing| match step.anti_affinity {
        0 => 1,
        max_per_host => step.items.div_ceil(max_per_host),
    };
    let widest = steps().map(spread).max().unwrap_or(0);
    let total = |part: fn(&Capacity) -> u32| {
        let sum: u64 = steps()
            .map(|step| u64::from(step.items) * u64::from(part(&step.demand)))
            .sum();
        sum.div_ceil(u64::from(part(&host).max(1)))
    };
    let by_cpu = total(|capacity| capacity.cpu);
    let by_memory = total(|capacity| capacity.mem_mb);
    u64::from(widest).max(by_cpu).max(by_memory) as usize
}
