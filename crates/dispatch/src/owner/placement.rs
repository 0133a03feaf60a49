use {
    super::{OwnerOrder, OwnerState, StartOrder},
    crate::{
        jobs::{ItemKey, ItemRun, JobKey, JobState, RunPhase, StepSpec, WorkItem},
        routes::RouteRule,
        runners::{Capacity, RunnerKey, RunnerState},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
    std::{cmp::Reverse, sync::Arc},
};

/// Order in which work items get room: smaller first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PlaceRank {
    tier: PlaceTier,
    priority: u32,
    /// Latest start, in milliseconds of the local clock, at which the job can be in time.
    latest_start: u64,
}

/// Classes of work items, first come first. In a flood a job that was begun is finished before others are begun, and
/// a job that would only just be late gets no room that one in time could use: otherwise every job of the flood starts
/// at its last moment, and all are late.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum PlaceTier {
    /// Work that lasts and serves others.
    Serving,
    /// The job was begun and can be in time.
    Begun,
    /// The job was not begun and can be in time with some reserve.
    Fresh,
    /// The job is late, or will be, but still of use to its caller.
    Late,
    /// The caller has no use for the job any more; it is completed all the same.
    Overdue,
    /// Work that uses what others leave.
    Filling,
}

/// A work item that can start now.
#[derive(Clone, Copy, Debug)]
struct ReadyItem {
    rank: PlaceRank,
    key: ItemKey,
}

/// What one pass of placement works with.
#[derive(Debug, Default)]
struct PlacePass {
    /// Runners that take work, by service; the fullest first at the start of the pass.
    pools: Vec<(Arc<RouteRule>, Vec<RunnerKey>)>,
    /// Queues whose service has no room for the demand beside them.
    full: Vec<(Arc<RouteRule>, Capacity)>,
    /// Runners that are left to empty until a serving work item or a gang fits.
    reserved: Vec<RunnerKey>,
    /// A gang has found no room.
    gang_waits: bool,
}

/// Share of the remaining chain that a job which was not begun needs as reserve, as a divisor.
const RESERVE_DIVISOR: u64 = 8;
/// Least reserve of a job that was not begun: placing, starting and noticing ends take this long.
const LEAST_RESERVE: Millis = Millis(100);

impl OwnerState {
    /// Starts ready work items where there is room.
    pub(super) fn place_items(&mut self, now: LocalTime, wall_ms: u64) {
        let mut ready = self.ready_items(now, wall_ms);
        ready.sort_unstable_by_key(|ready| (ready.rank, ready.key));
        let mut pass = PlacePass::default();
        for ReadyItem { key, rank } in ready {
            self.place_item(key, rank.tier, &mut pass, now);
        }
    }

    fn place_item(&mut self, key: ItemKey, tier: PlaceTier, pass: &mut PlacePass, now: LocalTime) {
        let demand = self.demand(key);
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        let queue = Arc::clone(&job.queue);
        // Without room for a smaller work item of the service there is none for this one.
        let hopeless = pass
            .full
            .iter()
            .any(|(other, least)| other.service == queue.service && demand.holds(least));
        if hopeless {
            return;
        }
        let place = self.pass_pool(&queue, pass, now);
        if let Some(members) = self.gang_of(key) {
            self.place_gang(&members, tier, place, pass, now);
            return;
        }
        let eligible = |runner: &RunnerKey| self.is_eligible(key, *runner, demand, now);
        let fits = |runner: &RunnerKey| {
            let state = self.runners.get(*runner);
            let free = !pass.reserved.contains(runner);
            free && state.is_some_and(|state| state.free().holds(&demand)) && eligible(runner)
        };
        let pool = &pass.pools[place].1;
        let chosen = match self.data_rack(key) {
            None if tier == PlaceTier::Serving => pool
                .iter()
                .copied()
                .filter(fits)
                .min_by_key(|runner| self.runners.get(*runner).is_some_and(|state| state.due)),
            Some(rack) => pool
                .iter()
                .copied()
                .filter(fits)
                .max_by_key(|runner| self.has_label(*runner, rack)),
            None => pool.iter().copied().find(fits),
        };
        if chosen.is_none() && queue.advice.is_some() {
            let pool = pool.clone();
            self.ask_advice(key, &pool, now);
            return;
        }
        match chosen {
            Some(runner) => self.order_start(key, runner, now),
            None if tier == PlaceTier::Serving => {
                let emptiest = self.emptiest(pool, &pass.reserved, eligible);
                pass.reserved.extend(emptiest);
            }
            None if !self.is_picky(key) => pass.full.push((queue, demand)),
            None => {}
        }
    }

    /// Starts all members of a gang, or none. Runners are left to empty for the first gang that finds no room.
    fn place_gang(
        &mut self,
        members: &[ItemKey],
        tier: PlaceTier,
        place: usize,
        pass: &mut PlacePass,
        now: LocalTime,
    ) {
        let reserved = &pass.reserved;
        let pool: Vec<RunnerKey> = pass.pools[place]
            .1
            .iter()
            .copied()
            .filter(|runner| !reserved.contains(runner))
            .collect();
        if let Some(places) = self.gang_places(members, &pool, now) {
            let last_run =
                |key: &ItemKey| self.jobs.item(*key).map_or(0, |(_, item)| item.last_run);
            let run = members.iter().map(last_run).max().unwrap_or(0) + 1;
            for (member, runner) in places {
                self.order_run(member, runner, run, now);
            }
            return;
        }
        if let Some(first) = members.first() {
            self.ask_advice(*first, &pool, now);
        }
        let timely = matches!(tier, PlaceTier::Begun | PlaceTier::Fresh);
        if timely && !pass.gang_waits {
            pass.gang_waits = true;
            for member in members {
                let demand = self.demand(*member);
                let eligible = |runner: &RunnerKey| self.is_eligible(*member, *runner, demand, now);
                let emptiest = self.emptiest(&pool, &pass.reserved, eligible);
                pass.reserved.extend(emptiest);
            }
        }
    }

    /// Returns the place of the queue's pool in the pass, which is formed at its first use.
    fn pass_pool(&self, queue: &Arc<RouteRule>, pass: &mut PlacePass, now: LocalTime) -> usize {
        let known = pass
            .pools
            .iter()
            .position(|(other, _)| other.service == queue.service);
        if let Some(place) = known {
            return place;
        }
        let mut pool: Vec<(u32, RunnerKey)> = self
            .runners
            .all()
            .filter(|(_, state)| state.report.service == queue.service && state.takes_work(now))
            .map(|(runner, state)| (state.used.cpu, runner))
            .collect();
        // The fullest runner first, so that others become empty and can move.
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

    /// Returns the runner that will soonest have room.
    fn emptiest(
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

    /// Returns whether the work item may lack a runner although there is room.
    fn is_picky(&self, key: ItemKey) -> bool {
        let Some((job, item)) = self.jobs.item(key) else {
            return false;
        };
        let step = job.step_of(item);
        let limited = step.anti_affinity > 0 || step.required_label.is_some();
        limited || item.failed_on.is_some() || job.queue.advice.is_some()
    }

    fn ready_items(&self, now: LocalTime, wall_ms: u64) -> Vec<ReadyItem> {
        let roomy = self.roomy_services(now);
        let mut ready = Vec::new();
        for key in self.jobs.open() {
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            let starts = job.accepted && !job.unsettled && !job.phase.is_final();
            let has_room = roomy.binary_search(&job.queue.service.as_str()).is_ok();
            if starts && (has_room || job.lasts()) {
                collect_ready(*key, job, now, wall_ms, &mut ready);
            }
        }
        ready
    }

    /// Returns the services with a runner that has room, so that a pass does not visit the backlog of full pools.
    fn roomy_services(&self, now: LocalTime) -> Vec<&str> {
        let has_room = |state: &RunnerState| {
            let free = state.free();
            state.takes_work(now) && free.cpu > 0 && free.mem_mb > 0
        };
        let mut services: Vec<&str> = self
            .runners
            .all()
            .filter(|(_, state)| has_room(state))
            .map(|(_, state)| state.report.service.as_str())
            .collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Returns whether a runner may run a work item, whether it has room now or not.
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
        state.report.capacity.holds(&demand)
            && label_fits(step, state)
            && spread_fits(step, job, item, runner)
            && (item.failed_on != Some(runner) || self.is_only_runner(job, now))
            && self.ticket(key, runner, now).is_some()
    }

    fn is_only_runner(&self, job: &JobState, now: LocalTime) -> bool {
        let takes = |state: &RunnerState| {
            state.report.service == job.queue.service && state.takes_work(now)
        };
        self.runners.all().filter(|(_, state)| takes(state)).count() <= 1
    }

    fn order_start(&mut self, key: ItemKey, runner: RunnerKey, now: LocalTime) {
        let last_run = self.jobs.item(key).map_or(0, |(_, item)| item.last_run);
        self.order_run(key, runner, last_run + 1, now);
    }

    fn order_run(&mut self, key: ItemKey, runner: RunnerKey, run: u32, now: LocalTime) {
        let Some(ticket) = self.ticket(key, runner, now).map(ToOwned::to_owned) else {
            return;
        };
        let Some(state) = self.runners.get_mut(runner) else {
            return;
        };
        let Some(deadline_ms) = state.clock.grant(now) else {
            return;
        };
        let detail_room = state.free();
        let id = state.report.id.clone();
        let Some((job, item)) = self.jobs.item(key) else {
            return;
        };
        let order = StartOrder {
            runner,
            item: key,
            name: job.item_name(key.item),
            run,
            spec: Arc::from(job.spec.spec.as_str()),
            deadline_ms,
            checkpoint: item.checkpoint.clone(),
            ticket,
        };
        let detail = format!(
            "runner={id} run={} free_cpu={} waited_ms={}",
            order.run,
            detail_room.cpu,
            now.since(job.seen).0
        );
        self.note("place", order.name.to_string(), detail);
        self.attach_run(key, runner, order.run, RunPhase::Starting, now);
        self.orders.push(OwnerOrder::Start(order));
    }
}

fn collect_ready(
    key: JobKey,
    job: &JobState,
    now: LocalTime,
    wall_ms: u64,
    ready: &mut Vec<ReadyItem>,
) {
    // Work items of a step follow each other and have the same rank.
    let mut step: Option<(u32, u32)> = None;
    let mut rank = None;
    for (item, number) in job.items.iter().zip(0_u32..) {
        if !item.is_idle() || !gang_is_idle(job, item) {
            continue;
        }
        let own = (item.occurrence, item.step);
        if step != Some(own) {
            step = Some(own);
            let due = job.due_ms(item.occurrence) <= wall_ms;
            let is_open = due && job.step_is_open(item.occurrence, item.step);
            rank = is_open.then(|| rank_of(job, item, now));
        }
        if let Some(rank) = rank {
            let key = ItemKey {
                job: key,
                item: number,
            };
            ready.push(ReadyItem { rank, key });
        }
    }
}

/// Returns whether a work item is placed now: the first one of a gang stands for all, once none of them runs.
fn gang_is_idle(job: &JobState, item: &WorkItem) -> bool {
    if !job.step_of(item).gang {
        return true;
    }
    let members = job.step_items(item.occurrence, item.step);
    item.index == 0 && members.iter().all(WorkItem::is_idle)
}

fn rank_of(job: &JobState, item: &WorkItem, now: LocalTime) -> PlaceRank {
    let step = job.step_of(item);
    let chain = job.chain_from(item.occurrence, item.step);
    let latest_start = (job.seen + job.objective()).0.saturating_sub(chain);
    let reserve = LEAST_RESERVE.0.max(chain / RESERVE_DIVISOR);
    let tier = if step.fills {
        PlaceTier::Filling
    } else if step.long_running {
        PlaceTier::Serving
    } else if job.begun && latest_start >= now.0 {
        PlaceTier::Begun
    } else if latest_start >= now.0 + reserve {
        PlaceTier::Fresh
    } else if now.0 + chain <= job.useful_until().0 {
        PlaceTier::Late
    } else {
        PlaceTier::Overdue
    };
    PlaceRank {
        tier,
        priority: job.queue.priority,
        latest_start,
    }
}

fn label_fits(step: &StepSpec, state: &RunnerState) -> bool {
    step.required_label
        .as_deref()
        .is_none_or(|label| state.has_label(label))
}

fn spread_fits(step: &StepSpec, job: &JobState, item: &WorkItem, runner: RunnerKey) -> bool {
    if step.anti_affinity == 0 {
        return true;
    }
    let here = |booked: &&ItemRun| booked.runner == runner;
    let siblings = job.step_items(item.occurrence, item.step);
    let count = siblings
        .iter()
        .flat_map(|item| &item.runs)
        .filter(here)
        .count();
    count < step.anti_affinity as usize
}
