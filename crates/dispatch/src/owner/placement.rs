use {
    super::{OwnerOrder, OwnerState, StartOrder},
    crate::{
        jobs::{ItemKey, ItemRun, JobKey, JobState, RunPhase, StepSpec, WorkItem},
        runners::{Capacity, RunnerKey, RunnerState},
    },
    goldcreststall_core::ids::LocalTime,
    std::{cmp::Reverse, sync::Arc},
};

/// Order in which work items of one service get room: smaller first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct PlaceRank {
    /// Work that serves goes first, then work that can be in time, then late work.
    tier: u8,
    priority: u32,
    /// Latest start, in milliseconds of the local clock, at which the job can be in time.
    latest_start: u64,
}

/// A work item that can start now.
#[derive(Clone, Copy, Debug)]
struct ReadyItem {
    rank: PlaceRank,
    key: ItemKey,
}

const TIER_SERVING: u8 = 0;
const TIER_IN_TIME: u8 = 1;
const TIER_LATE: u8 = 2;
const TIER_FILLING: u8 = 3;

impl OwnerState {
    /// Starts ready work items where there is room.
    pub(super) fn place_items(&mut self, now: LocalTime, wall_ms: u64) {
        let mut ready = self.ready_items(now, wall_ms);
        ready.sort_unstable_by_key(|ready| (ready.rank, ready.key));
        let mut full: Vec<(Arc<crate::routes::RouteRule>, Capacity)> = Vec::new();
        for ReadyItem { key, .. } in ready {
            let demand = self.demand(key);
            let Some(job) = self.jobs.get(key.job) else {
                continue;
            };
            let queue = Arc::clone(&job.queue);
            // Without room for a smaller work item of the service there is none for this one.
            let hopeless = full
                .iter()
                .any(|(other, least)| other.service == queue.service && demand.holds(least));
            if hopeless {
                continue;
            }
            match self.choose_runner(key, demand, now) {
                Some(runner) => self.order_start(key, runner, now),
                None if !self.is_picky(key) => full.push((queue, demand)),
                None => {}
            }
        }
    }

    /// Returns whether the work item may lack a runner although there is room.
    fn is_picky(&self, key: ItemKey) -> bool {
        let Some((job, item)) = self.jobs.item(key) else {
            return false;
        };
        let step = job.step_of(item);
        step.anti_affinity > 0 || step.required_label.is_some() || item.failed_on.is_some()
    }

    fn ready_items(&self, now: LocalTime, wall_ms: u64) -> Vec<ReadyItem> {
        let mut ready = Vec::new();
        for key in self.jobs.open() {
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            if job.accepted && !job.unsettled && !job.phase.is_final() {
                collect_ready(*key, job, now, wall_ms, &mut ready);
            }
        }
        ready
    }

    fn choose_runner(&self, key: ItemKey, demand: Capacity, now: LocalTime) -> Option<RunnerKey> {
        let (job, item) = self.jobs.item(key)?;
        let step = job.step_of(item);
        let siblings = job.step_items(item.occurrence, item.step);
        self.runners
            .all()
            .filter(|(_, state)| state.report.service == job.queue.service)
            .filter(|(_, state)| state.takes_work(now) && state.free().holds(&demand))
            .filter(|(_, state)| label_fits(step, state))
            .filter(|(runner, _)| spread_fits(step, siblings, *runner))
            .filter(|(runner, _)| item.failed_on != Some(*runner) || self.is_only_runner(job, now))
            .max_by_key(|(runner, state)| (near_data(step, state), fit(state), Reverse(*runner)))
            .map(|(runner, _)| runner)
    }

    fn is_only_runner(&self, job: &JobState, now: LocalTime) -> bool {
        let takes = |state: &RunnerState| {
            state.report.service == job.queue.service && state.takes_work(now)
        };
        self.runners.all().filter(|(_, state)| takes(state)).count() <= 1
    }

    fn order_start(&mut self, key: ItemKey, runner: RunnerKey, now: LocalTime) {
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
            run: item.last_run + 1,
            spec: Arc::from(job.spec.spec.as_str()),
            deadline_ms,
            checkpoint: item.checkpoint.clone(),
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
    let mut open: Option<(u32, u32, bool)> = None;
    for (item, number) in job.items.iter().zip(0_u32..) {
        if !item.is_idle() {
            continue;
        }
        let is_open = match open {
            Some((occurrence, step, is_open))
                if (occurrence, step) == (item.occurrence, item.step) =>
            {
                is_open
            }
            _ => {
                let due = job.due_ms(item.occurrence) <= wall_ms;
                let is_open = due && job.step_is_open(item.occurrence, item.step);
                open = Some((item.occurrence, item.step, is_open));
                is_open
            }
        };
        if is_open {
            let rank = rank(job, item, now);
            let key = ItemKey {
                job: key,
                item: number,
            };
            ready.push(ReadyItem { rank, key });
        }
    }
}

fn rank(job: &JobState, item: &WorkItem, now: LocalTime) -> PlaceRank {
    let step = job.step_of(item);
    let chain = job.spec.chain_from(item.step as usize);
    let due = job.seen + job.objective();
    let latest_start = due.0.saturating_sub(chain);
    let tier = if step.fills {
        TIER_FILLING
    } else if step.long_running {
        TIER_SERVING
    } else if latest_start >= now.0 {
        TIER_IN_TIME
    } else {
        TIER_LATE
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

fn spread_fits(step: &StepSpec, siblings: &[WorkItem], runner: RunnerKey) -> bool {
    if step.anti_affinity == 0 {
        return true;
    }
    let here = |booked: &&ItemRun| booked.runner == runner;
    let count = siblings
        .iter()
        .flat_map(|item| &item.runs)
        .filter(here)
        .count();
    count < step.anti_affinity as usize
}

fn near_data(step: &StepSpec, state: &RunnerState) -> bool {
    step.data_rack
        .as_deref()
        .is_none_or(|rack| state.has_label(rack))
}

/// Prefers the fullest runner, so that others become empty and can move.
fn fit(state: &RunnerState) -> u32 {
    state.used.cpu
}
