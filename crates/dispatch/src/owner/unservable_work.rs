use {
    super::{OwnerState, placement::PlacedItem},
    crate::{jobs::StepKey, routes::RouteRule, runners::Capacity},
    std::sync::Arc,
};

/// Most kinds of work that are kept; the latest are, because work of one kind is placed one after the other.
const MAX_KINDS: usize = 16;

/// Kinds of long-running work for which a pass of placement has found no runner and can reserve none: there is none for more
/// of them either. Without this, each of thousands of equal work items would be compared with each runner.
#[derive(Debug, Default)]
pub(super) struct UnservableWork {
    kinds: Vec<WorkKind>,
}

#[derive(Debug)]
struct WorkKind {
    queue: Arc<RouteRule>,
    demand: Capacity,
    /// The step, if something other than its demand may keep its work from a runner.
    step: Option<StepKey>,
}

impl UnservableWork {
    fn record(&mut self, kind: WorkKind) {
        if self.kinds.len() >= MAX_KINDS {
            self.kinds.remove(0);
        }
        self.kinds.push(kind);
    }

    fn includes(&self, queue: &RouteRule, demand: Capacity, step: StepKey) -> bool {
        let is_included = |kind: &WorkKind| {
            kind.step.is_none_or(|own_step| own_step == step)
                && kind.queue.service == queue.service
                && demand.covers(&kind.demand)
        };
        self.kinds.iter().rev().any(is_included)
    }
}

impl OwnerState {
    /// Records that there is no runner for a long-running work item.
    pub(super) fn record_unservable(
        &self,
        item: &PlacedItem,
        queue: Arc<RouteRule>,
        unservable: &mut UnservableWork,
    ) {
        // What keeps this one from a runner says nothing about others.
        if item.target.is_some() || self.failed_on(item.key).is_some() {
            return;
        }
        let step = self.step_key(item.key);
        unservable.record(WorkKind {
            queue,
            demand: item.demand,
            step: step.filter(|_| self.is_constrained(item.key)),
        });
    }

    /// Returns whether a long-running work item is known to find no runner.
    pub(super) fn is_unservable(
        &self,
        item: &PlacedItem,
        queue: &RouteRule,
        unservable: &UnservableWork,
    ) -> bool {
        let step = self.step_key(item.key).filter(|_| item.target.is_none());
        step.is_some_and(|step| unservable.includes(queue, item.demand, step))
    }
}
