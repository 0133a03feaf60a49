use {
    super::{OwnerState, runner_choice::fits_spread},
    crate::{
        jobs::{ItemKey, ItemRun, JobState, RunPhase, WorkItem},
        runners::{Capacity, RunnerKey},
    },
    goldcreststall_core::ids::LocalTime,
    std::cmp::Reverse,
};

/// Reported percentage at which a long-running work item has completed its start-up and counts as serving.
const SERVING_PERCENT: u32 = 100;

/// A long-running work item on its way to another runner, where capacity is reserved for it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EvacuatedItem {
    item: ItemKey,
    target: RunnerKey,
}

/// Long-running work items that were stopped because their hosts are to be maintained, until they start again; sorted.
#[derive(Debug, Default)]
pub(super) struct EvacuationTable {
    items: Vec<EvacuatedItem>,
}

impl EvacuationTable {
    /// Returns the runner on which capacity is reserved for a work item.
    pub(super) fn target(&self, item: ItemKey) -> Option<RunnerKey> {
        let index = self.find(item).ok()?;
        Some(self.items[index].target)
    }

    fn find(&self, item: ItemKey) -> Result<usize, usize> {
        self.items
            .binary_search_by_key(&item, |evacuated| evacuated.item)
    }
}

/// A runner that can take long-running work of other hosts.
#[derive(Clone, Copy, Debug)]
struct TargetRunner {
    runner: RunnerKey,
    /// Free capacity that no plan of the round uses.
    room: Capacity,
}

/// Plans of one round of decisions. All waves share it, so that no two hosts are emptied into the same free capacity.
#[derive(Debug, Default)]
pub(super) struct EvacuationRound {
    /// Runners by service; those of hosts that are not due for maintenance come first, fuller ones before emptier ones.
    services: Vec<(String, Vec<TargetRunner>)>,
    planned: Vec<EvacuatedItem>,
}

impl OwnerState {
    /// Starts a round of plans. Forgets the reservations of work items that run again or are not wanted any more, and
    /// replaces those on runners that accept no work or may not run them.
    pub(super) fn renew_evacuations(&mut self, now: LocalTime) -> EvacuationRound {
        let items = std::mem::take(&mut self.evacuations.items);
        for EvacuatedItem { target, .. } in &items {
            if let Some(state) = self.runners.get_mut(*target) {
                state.reserved = Capacity::default();
            }
        }
        let mut without_target = Vec::new();
        for evacuated in items {
            if !self.is_between_runs(evacuated.item) {
                continue;
            }
            if self.can_still_take(evacuated, now) {
                self.reserve(evacuated);
            } else {
                without_target.push(evacuated);
            }
        }
        let mut round = EvacuationRound {
            planned: self.evacuations.items.clone(),
            ..EvacuationRound::default()
        };
        for EvacuatedItem { item, target } in without_target {
            if let Some(target) = self.find_target(item, target, &mut round, now) {
                round.planned.push(EvacuatedItem { item, target });
                self.reserve(EvacuatedItem { item, target });
            }
        }
        round
    }

    /// Returns whether the target of a work item accepts work and may run it.
    fn can_still_take(
        &self,
        EvacuatedItem { item, target }: EvacuatedItem,
        now: LocalTime,
    ) -> bool {
        let state = self.runners.get(target);
        state.is_some_and(|state| state.accepts_work(now))
            && self.is_eligible(item, target, self.demand(item), now)
    }

    /// Returns whether capacity of a runner is reserved for work that is on its way there.
    pub(super) fn has_reservation(&self, runner: RunnerKey) -> bool {
        let items = &self.evacuations.items;
        items.iter().any(|evacuated| evacuated.target == runner)
    }

    /// Returns whether a work item is wanted and has no run but stopped ones.
    fn is_between_runs(&self, key: ItemKey) -> bool {
        let Some((job, item)) = self.jobs.item(key) else {
            return false;
        };
        let is_stopped =
            |run: &ItemRun| matches!(run.phase, RunPhase::Stopping | RunPhase::Stopped { .. });
        !job.phase.is_final() && !item.done && item.runs.iter().all(is_stopped)
    }

    fn reserve(&mut self, evacuated: EvacuatedItem) {
        let demand = self.demand(evacuated.item);
        let Err(index) = self.evacuations.find(evacuated.item) else {
            return;
        };
        if let Some(state) = self.runners.get_mut(evacuated.target) {
            state.reserved = state.reserved.plus(&demand);
            self.evacuations.items.insert(index, evacuated);
        }
    }

    /// Releases the capacity that is reserved for a work item, which starts again.
    pub(super) fn end_evacuation(&mut self, key: ItemKey) {
        let Ok(index) = self.evacuations.find(key) else {
            return;
        };
        let EvacuatedItem { target, .. } = self.evacuations.items.remove(index);
        let demand = self.demand(key);
        if let Some(state) = self.runners.get_mut(target) {
            state.reserved = state.reserved.minus(&demand);
        }
    }

    /// Keeps new work off a runner and stops its long-running work, within the limit `may_miss` of each step. Does
    /// nothing and returns false unless other runners have room for all of it: the host would wait without end for what
    /// cannot leave, and keep its free capacity from work that has no other place.
    pub(super) fn evacuate_runner(
        &mut self,
        key: RunnerKey,
        round: &mut EvacuationRound,
        now: LocalTime,
    ) -> bool {
        let leaving: Vec<(ItemKey, ItemRun)> = self
            .runs_on(key)
            .into_iter()
            .filter(|(item, run)| {
                let is_stopped = matches!(run.phase, RunPhase::Stopping | RunPhase::Stopped { .. });
                !is_stopped && self.is_long_running(*item)
            })
            .collect();
        let items = leaving.iter().map(|(item, _)| *item).collect();
        let Some(plan) = self.plan_evacuation(key, items, round, now) else {
            return false;
        };
        if let Some(state) = self.runners.get_mut(key) {
            state.cordoned = true;
        }
        for (item, run) in leaving {
            let is_running = matches!(run.phase, RunPhase::Running { .. });
            let planned = plan.iter().find(|planned| planned.item == item);
            if let Some(evacuated) = planned.filter(|_| is_running && self.may_miss(item)) {
                self.stop_run(item, key, run.run);
                self.reserve(*evacuated);
            }
        }
        true
    }

    /// Finds a runner for each of the work items, the largest first, beside what the round has planned before. Adds the
    /// plan to the round.
    fn plan_evacuation(
        &mut self,
        leaving: RunnerKey,
        mut items: Vec<ItemKey>,
        round: &mut EvacuationRound,
        now: LocalTime,
    ) -> Option<Vec<EvacuatedItem>> {
        items.sort_by_key(|item| (Reverse(self.demand(*item).mem_mb), *item));
        let planned_before = round.planned.len();
        let services = round.services.clone();
        for item in items {
            let Some(target) = self.find_target(item, leaving, round, now) else {
                round.planned.truncate(planned_before);
                round.services = services;
                return None;
            };
            round.planned.push(EvacuatedItem { item, target });
        }
        Some(round.planned[planned_before..].to_vec())
    }

    /// Finds a runner for a work item and takes the room for it.
    fn find_target(
        &mut self,
        item: ItemKey,
        leaving: RunnerKey,
        round: &mut EvacuationRound,
        now: LocalTime,
    ) -> Option<RunnerKey> {
        let demand = self.demand(item);
        let service = self.jobs.get(item.job)?.queue.service.clone();
        let known = round.services.iter().position(|(name, _)| *name == service);
        let index = known.unwrap_or_else(|| {
            let targets = self.target_runners(&service, now);
            round.services.push((service, targets));
            round.services.len() - 1
        });
        let planned = &round.planned;
        let targets = &mut round.services[index].1;
        let found = targets.iter_mut().find(|target| {
            target.room.covers(&demand)
                && target.runner != leaving
                && self.can_take(target.runner, item, planned, now)
        });
        if let Some(target) = found {
            target.room = target.room.minus(&demand);
            return Some(target.runner);
        }
        let pool: Vec<RunnerKey> = targets.iter().map(|target| target.runner).collect();
        self.request_advice(item, &pool, now);
        None
    }

    fn target_runners(&self, service: &str, now: LocalTime) -> Vec<TargetRunner> {
        let mut targets: Vec<((bool, Reverse<u32>), TargetRunner)> = self
            .runners
            .all()
            .filter(|(_, state)| state.report.service == service && state.accepts_work(now))
            .map(|(runner, state)| {
                let room = state.free();
                (
                    (state.due, Reverse(state.used.cpu)),
                    TargetRunner { runner, room },
                )
            })
            .collect();
        targets.sort_by_key(|(rank, target)| (*rank, target.runner));
        targets.into_iter().map(|(_, target)| target).collect()
    }

    fn can_take(
        &self,
        runner: RunnerKey,
        item: ItemKey,
        planned: &[EvacuatedItem],
        now: LocalTime,
    ) -> bool {
        let accepts = self
            .runners
            .get(runner)
            .is_some_and(|state| state.accepts_work(now));
        let arriving = planned.iter().filter(|other| other.target == runner);
        let items: Vec<ItemKey> = arriving.map(|other| other.item).collect();
        accepts
            && self.is_eligible(item, runner, self.demand(item), now)
            && self.fits_beside(item, runner, &items)
    }

    /// Returns whether the spread limit of a work item's step also holds beside `arriving`, which are planned for the
    /// runner.
    fn fits_beside(&self, key: ItemKey, runner: RunnerKey, arriving: &[ItemKey]) -> bool {
        let (Some(found), Some(state)) = (self.jobs.item(key), self.runners.get(runner)) else {
            return false;
        };
        fits_spread(key, found, state.items.iter().chain(arriving))
    }

    pub(super) fn is_long_running(&self, key: ItemKey) -> bool {
        self.jobs
            .item(key)
            .is_some_and(|(job, item)| job.step_of(item).long_running)
    }

    /// Returns whether a long-running work item may be stopped now without exceeding the limit `may_miss` of its step.
    fn may_miss(&self, key: ItemKey) -> bool {
        let Some((job, item)) = self.jobs.item(key) else {
            return false;
        };
        let step = job.step_of(item);
        step.may_miss == 0 || self.items_away(job, item) < step.may_miss
    }

    /// Returns the number of other work items of a step that are not known to serve.
    fn items_away(&self, job: &JobState, item: &WorkItem) -> u32 {
        let siblings = job.step_items(item.occurrence, item.step);
        let others = siblings.iter().filter(|other| other.index != item.index);
        let is_away = |other: &&WorkItem| !other.runs.iter().any(|run| self.is_serving(run));
        others.filter(is_away).count() as u32
    }

    /// Returns whether a run of long-running work is known to have completed its start-up: its runner responds and
    /// has listed it with the full percentage.
    fn is_serving(&self, recorded_run: &ItemRun) -> bool {
        let runner = self.runners.get(recorded_run.runner);
        let answers = runner.is_some_and(|runner| runner.missed_holds == 0 && runner.fenced);
        let running = matches!(recorded_run.phase, RunPhase::Running { .. });
        answers && running && recorded_run.percent >= SERVING_PERCENT
    }
}
