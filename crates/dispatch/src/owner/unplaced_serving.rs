use {
    crate::{
        jobs::{JobState, StepKey, WorkItem},
        runners::Capacity,
    },
    std::sync::Arc,
};

/// Long-running work items of one step that found no runner in a pass of placement.
#[derive(Clone, Debug)]
pub(super) struct UnplacedServing {
    service: Arc<str>,
    step: StepKey,
    items: u32,
    anti_affinity: u32,
    demand: Capacity,
}

/// Adds a work item to the others of its step.
pub(super) fn add_unplaced(
    unplaced: &mut Vec<UnplacedServing>,
    key: StepKey,
    (job, item): (&JobState, &WorkItem),
    demand: Capacity,
) {
    // The work items of a step are placed one after the other.
    if let Some(last) = unplaced.last_mut().filter(|last| last.step == key) {
        last.items += 1;
        return;
    }
    unplaced.push(UnplacedServing {
        service: Arc::from(job.queue.service.as_str()),
        step: key,
        items: 1,
        anti_affinity: job.step_of(item).anti_affinity,
        demand,
    });
}

/// Returns the number of hosts of this capacity that the unplaced work of a service needs: enough for the spread of each
/// step, and for the demand of all steps together.
pub(super) fn hosts_for_unplaced(
    unplaced: &[UnplacedServing],
    service: &str,
    host: Capacity,
) -> usize {
    let steps = || unplaced.iter().filter(|step| &*step.service == service);
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
