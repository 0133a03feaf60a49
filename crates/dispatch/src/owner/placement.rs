use {
    super::{
        OwnerState,
        fair_order::FairOrder,
        locality_waits::DataPlacement,
        rack_forecasts::RackForecasts,
        ready_items::{PlacementTier, ReadyItem},
        unplaced_serving::{add_unplaced, take_steps},
        unservable_work::UnservableWork,
    },
    crate::{
        jobs::{ItemKey, StepKey},
        organisations::ResourceUse,
        routes::RouteRule,
        runners::{Capacity, RunnerKey, RunnerState},
    },
    goldcreststall_core::ids::LocalTime,
    std::{cmp::Reverse, sync::Arc},
};

/// State of one pass of placement.
#[derive(Debug, Default)]
struct PlacementPass {
    /// Runners that accept work, by service; sorted once, when the pool is first used, by used capacity, fullest first.
    pools: Vec<(Arc<RouteRule>, Vec<RunnerKey>)>,
    /// Queues whose service has no free capacity for the given demand.
    full_queues: Vec<(Arc<RouteRule>, Capacity)>,
    /// Runners that get no other work until a serving work item or a gang fits.
    reserved: Vec<RunnerKey>,
    /// Steps with long-running work that had found no runner in the pass before, sorted.
    unplaced_before: Vec<StepKey>,
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
            unplaced_before: take_steps(&mut self.unplaced_serving),
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

    /// Records long-running work that found no runner. Logs it with the runner that is reserved for it, unless its step had
    /// found none in the pass before either.
    fn record_unplaced(
        &mut self,
        key: ItemKey,
        demand: Capacity,
        reserved: Option<RunnerKey>,
        before: &[StepKey],
    ) {
        let (Some(step), Some((job, item))) = (self.step_key(key), self.jobs.item(key)) else {
            return;
        };
        let is_first = add_unplaced(&mut self.unplaced_serving, step, (job, item), demand);
        if !is_first || before.binary_search(&step).is_ok() {
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
}
