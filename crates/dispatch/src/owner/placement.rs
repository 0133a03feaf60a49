use {
    super::{
        OwnerCommand, OwnerState, StartCommand,
        fair_order::FairOrder,
        locality_waits::{DataPlacement, RackForecasts},
        ready_items::{PlacementTier, ReadyItem},
        unplaced_serving::{UnplacedServing, add_unplaced},
        unservable_work::UnservableWork,
    },
    crate::{
        jobs::{ItemKey, ItemRun, JobState, StepSpec, WorkItem},
        organisations::ResourceUse,
        routes::RouteRule,
        runners::{Capacity, RunnerKey, RunnerState},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
    std::{cmp::Reverse, sync::Arc},
};

/// How long a work item is kept off the runner where its last run failed, while another runner could take it. After that
/// the runner is used when no other one has free capacity.
const FAILED_RUNNER_TIMEOUT: Millis = Millis(2_000);

/// State of one pass of placement.
#[derive(Debug, Default)]
struct PlacementPass {
    /// Runners that accept work, by service; sorted once, when the pool is first used, by used capacity, fullest first.
    pools: Vec<(Arc<RouteRule>, Vec<RunnerKey>)>,
    /// Queues whose service has no free capacity for the given demand.
    full_queues: Vec<(Arc<RouteRule>, Capacity)>,
    /// Runners that get no other work until a serving work item or a gang fits.
    reserved: Vec<RunnerKey>,
    /// Long-running work that had found no runner in the pass before.
    unplaced_before: Vec<UnplacedServing>,
    /// Long-running work for which no runner was found or can be reserved: neither can one for more of it.
    unservable: UnservableWork,
    /// A gang has found no free capacity in this pass, and runners were reserved for it.
    gang_waiting: bool,
    /// When capacity near data is free.
    forecasts: RackForecasts,
}

/// A work item to be placed, and what decides on which runner.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacedItem {
    pub(super) key: ItemKey,
    pub(super) tier: PlacementTier,
    pub(super) demand: Capacity,
    /// Runner with capacity that is reserved for it.
    pub(super) target: Option<RunnerKey>,
}

impl OwnerState {
    /// Starts ready work items on runners with free capacity.
    pub(super) fn place_items(&mut self, now: LocalTime, wall_ms: u64) {
        self.count_unconfirmed();
        self.organisations.begin_pass(self.present_capacity());
        let ready = self.ready_items(now, wall_ms);
        self.last_pass_items = ready.len();
        let mut pass = PlacementPass {
            unplaced_before: std::mem::take(&mut self.unplaced_serving),
            ..PlacementPass::default()
        };
        self.start_budget.refill(now);
        if self.rules.organisations.is_some() {
            self.place_fairly(ready, &mut pass, now);
            self.short_services = self.find_short_services(&pass, now);
        } else {
            self.short_services.clear();
            self.place_by_rank(ready, &mut pass, now);
        }
        // Copies take what all other work leaves.
        let has_other_work = pass.gang_waiting || !self.unplaced_serving.is_empty();
        if std::mem::take(&mut self.copies_due) && !has_other_work {
            let full = pass.full_queues.iter().map(|(queue, _)| &*queue.service);
            let full: Vec<&str> = full.collect();
            self.start_copies(&full, &pass.reserved, now);
        }
    }

    /// Places work items in the order of their ranks, and within a tier and priority by the shares of organisations.
    fn place_fairly(&mut self, ready: Vec<ReadyItem>, pass: &mut PlacementPass, now: LocalTime) {
        let mut order = FairOrder::new(ready);
        while let Some(ready) = order.pop(|key| self.organisations.weighted_share(key)) {
            if !self.place_next(ready, pass, now) {
                return;
            }
        }
    }

    fn place_by_rank(
        &mut self,
        mut ready: Vec<ReadyItem>,
        pass: &mut PlacementPass,
        now: LocalTime,
    ) {
        ready.sort_unstable_by_key(|ready| (ready.rank, ready.key));
        for ready in ready {
            if !self.place_next(ready, pass, now) {
                return;
            }
        }
    }

    /// Places a work item. Returns false when the link carries no further start command now.
    fn place_next(&mut self, ready: ReadyItem, pass: &mut PlacementPass, now: LocalTime) -> bool {
        if !self.start_budget.is_available() {
            // What is left waits for the link, in its order.
            self.placement_due = true;
            return false;
        }
        self.place_item(&ready, pass, now);
        true
    }

    /// Returns the services that have no free capacity for work that waits after a pass. Work larger than any runner does
    /// not count: no capacity is enough for it.
    fn find_short_services(&self, pass: &PlacementPass, now: LocalTime) -> Vec<String> {
        let largest = self.largest_capacity();
        let with_capacity = self.services_with_capacity(now);
        let names = self.rules.services.iter().map(|service| &service.name);
        let is_short = |name: &&String| {
            let is_unmet = |(queue, unmet): &(Arc<RouteRule>, Capacity)| {
                queue.service == **name && largest.covers(unmet)
            };
            let is_full = with_capacity.binary_search(&name.as_str()).is_err();
            is_full || pass.full_queues.iter().any(is_unmet)
        };
        names.filter(is_short).cloned().collect()
    }

    /// Returns the capacity of all runners that are present.
    fn present_capacity(&self) -> ResourceUse {
        let runners = self.runners.all().map(|(_, state)| state);
        let present = runners.filter(|state| state.is_present());
        present.fold(ResourceUse::default(), |sum, state| {
            sum.plus(&ResourceUse::from(state.report.capacity))
        })
    }

    fn place_item(&mut self, ready: &ReadyItem, pass: &mut PlacementPass, now: LocalTime) {
        let (key, tier) = (ready.key, ready.rank.tier);
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        let queue = Arc::clone(&job.queue);
        let demand = self.demand(key);
        let item = PlacedItem {
            key,
            tier,
            demand,
            target: self.evacuations.target(key),
        };
        // If a smaller work item of the service did not fit, this one does not fit either.
        let cannot_fit = pass
            .full_queues
            .iter()
            .any(|(other, unmet)| other.service == queue.service && demand.covers(unmet));
        if cannot_fit && item.target.is_none() {
            return;
        }
        if !self.fits_quota(ready) {
            return;
        }
        if tier == PlacementTier::Serving && self.is_unservable(&item, &queue, &pass.unservable) {
            self.leave_unplaced(key, demand, None, pass);
            return;
        }
        let pool_index = self.pool_of_pass(&queue, pass, now);
        if let Some(members) = self.gang_of(key) {
            self.place_gang(&members, tier, pool_index, pass, now);
            return;
        }
        let pool = &pass.pools[pool_index].1;
        let near_data = self.place_near_data(&item, pool, &pass.reserved, &mut pass.forecasts, now);
        let chosen = match near_data {
            DataPlacement::Waits => return,
            DataPlacement::Chosen(chosen) => chosen,
            DataPlacement::Anywhere => self.choose_runner(&item, pool, &pass.reserved, now),
        };
        if let Some(runner) = chosen {
            self.issue_start(key, runner, now);
        } else if queue.advice.is_some() {
            let pool = pool.clone();
            self.request_advice(key, &pool, now);
        } else if tier == PlacementTier::Serving {
            let reserved = self.least_loaded(pool, &pass.reserved, |runner| {
                self.fits_drained(*runner, demand) && self.is_eligible(key, *runner, demand, now)
            });
            pass.reserved.extend(reserved);
            if reserved.is_none() {
                self.record_unservable(&item, queue, &mut pass.unservable);
            }
            self.leave_unplaced(key, demand, reserved, pass);
        } else if !self.is_constrained(key) {
            pass.full_queues.push((queue, demand));
        }
    }

    /// Leaves long-running work for a later pass, with the runner that is reserved for it.
    fn leave_unplaced(
        &mut self,
        key: ItemKey,
        demand: Capacity,
        reserved: Option<RunnerKey>,
        pass: &PlacementPass,
    ) {
        let (organisation, quota_demand) = self.quota_demand(key);
        self.organisations.claim(organisation, &quota_demand);
        self.record_unplaced(key, demand, reserved, &pass.unplaced_before);
    }

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

    /// Takes a start command from the budget. The first one of a job carries its text.
    fn take_start_budget(&mut self, key: ItemKey, text_bytes: usize) {
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let carries_text = !std::mem::replace(&mut job.text_sent, true);
        self.start_budget
            .take(if carries_text { text_bytes } else { 0 });
    }

    /// Records long-running work that found no runner. Logs it with the runner that is reserved for it, unless its step had
    /// found none in the pass before either.
    fn record_unplaced(
        &mut self,
        key: ItemKey,
        demand: Capacity,
        reserved: Option<RunnerKey>,
        before: &[UnplacedServing],
    ) {
        let (Some(step), Some((job, item))) = (self.step_key(key), self.jobs.item(key)) else {
            return;
        };
        let is_first = add_unplaced(&mut self.unplaced_serving, step, (job, item), demand);
        if !is_first || before.iter().any(|unplaced| unplaced.step == step) {
            return;
        }
        let name = job.item_name(key.item).to_string();
        let reserved = reserved.and_then(|runner| self.runner_address(runner));
        let detail = format!(
            "cpu={} mem_mb={} reserved={}",
            demand.cpu,
            demand.mem_mb,
            reserved.map_or("none", |(id, _)| id)
        );
        self.log_event("no runner for lasting work", name, detail);
    }

    /// Starts all members of a gang, or none. Runners are reserved for the first gang that finds no free capacity.
    fn place_gang(
        &mut self,
        members: &[ItemKey],
        tier: PlacementTier,
        pool_index: usize,
        pass: &mut PlacementPass,
        now: LocalTime,
    ) {
        let reserved = &pass.reserved;
        let pool: Vec<RunnerKey> = pass.pools[pool_index]
            .1
            .iter()
            .copied()
            .filter(|runner| !reserved.contains(runner))
            .collect();
        if let Some(placement) = self.find_gang_placement(members, &pool, RunnerState::free, now) {
            let may_wait =
                !pass.gang_waiting && matches!(tier, PlacementTier::Started | PlacementTier::New);
            let waits_in = may_wait
                .then(|| self.wait_for_rack(members, &placement, &pool, &mut pass.forecasts, now))
                .flatten();
            if let Some(runners) = waits_in {
                pass.gang_waiting = true;
                pass.reserved.extend(runners);
                return;
            }
            let last_run =
                |key: &ItemKey| self.jobs.item(*key).map_or(0, |(_, item)| item.last_run);
            let run = members
                .iter()
                .map(last_run)
                .max()
                .unwrap_or(0)
                .saturating_add(1);
            for (member, runner) in placement {
                self.issue_run(member, runner, run, now);
            }
            return;
        }
        if let Some(first) = members.first() {
            self.request_advice(*first, &pool, now);
        }
        let can_be_in_time = matches!(tier, PlacementTier::Started | PlacementTier::New);
        if !can_be_in_time || pass.gang_waiting {
            return;
        }
        // Runners with less work can be expected to be free first.
        let least_loaded: Vec<RunnerKey> = pool.into_iter().rev().collect();
        let room = RunnerState::free_when_drained;
        let drained = self.find_gang_placement(members, &least_loaded, room, now);
        if let Some(placement) = drained {
            pass.gang_waiting = true;
            pass.reserved
                .extend(placement.into_iter().map(|(_, runner)| runner));
        }
    }

    /// Returns whether a runner has room for the demand once all work has ended that ends by itself.
    fn fits_drained(&self, runner: RunnerKey, demand: Capacity) -> bool {
        self.runners
            .get(runner)
            .is_some_and(|state| state.free_when_drained().covers(&demand))
    }

    /// Returns the index of the queue's pool in the pass; the pool is added at its first use.
    fn pool_of_pass(
        &self,
        queue: &Arc<RouteRule>,
        pass: &mut PlacementPass,
        now: LocalTime,
    ) -> usize {
        let known = pass
            .pools
            .iter()
            .position(|(other, _)| other.service == queue.service);
        if let Some(pool_index) = known {
            return pool_index;
        }
        let mut pool: Vec<(u32, RunnerKey)> = self
            .runners
            .all()
            .filter(|(_, state)| state.report.service == queue.service && state.accepts_work(now))
            .map(|(runner, state)| (state.used.cpu, runner))
            .collect();
        // The fullest runner comes first, so that other hosts become empty and can move.
        pool.sort_unstable_by_key(|(used, runner)| (Reverse(*used), *runner));
        let pool = pool.into_iter().map(|(_, runner)| runner).collect();
        pass.pools.push((Arc::clone(queue), pool));
        pass.pools.len() - 1
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
    fn least_loaded(
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

    pub(super) fn issue_start(&mut self, key: ItemKey, runner: RunnerKey, now: LocalTime) {
        let last_run = self.jobs.item(key).map_or(0, |(_, item)| item.last_run);
        self.issue_run(key, runner, last_run.saturating_add(1), now);
    }

    fn issue_run(&mut self, key: ItemKey, runner: RunnerKey, run: u32, now: LocalTime) {
        let Some(ticket) = self.ticket(key, runner, now).map(ToOwned::to_owned) else {
            return;
        };
        let Some(state) = self.runners.get_mut(runner) else {
            return;
        };
        let Some(deadline_ms) = state.clock.grant(now) else {
            return;
        };
        let free = state.free();
        let id = state.report.id.clone();
        let Some(spec) = self.jobs.get_mut(key.job).map(JobState::shared_text) else {
            return;
        };
        let Some((job, item)) = self.jobs.item(key) else {
            return;
        };
        let command = StartCommand {
            runner,
            item: key,
            name: job.item_name(key.item),
            run,
            spec,
            deadline_ms,
            checkpoint: item.checkpoint.clone(),
            ticket,
        };
        let detail = format!(
            "runner={id} run={} free_cpu={} waited_ms={}",
            command.run,
            free.cpu,
            now.since(job.first_seen).0
        );
        self.log_event("place", command.name.to_string(), detail);
        self.take_start_budget(key, command.spec.len());
        let recorded_run = ItemRun::starting(command.run, runner, deadline_ms, now);
        let recorded_run = self.with_expectation(key, recorded_run);
        self.attach_run(key, recorded_run);
        self.end_evacuation(key);
        self.commands.push(OwnerCommand::Start(command));
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
