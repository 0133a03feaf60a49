use {
    super::OwnerState,
    crate::{
        jobs::{ItemKey, JobKey, JobState, WorkItem},
        runners::RunnerState,
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Command in which work items get room: smaller first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct PlacementRank {
    pub(super) tier: PlacementTier,
    priority: u32,
    /// Latest start, in milliseconds of the local clock, at which the job can be in time.
    latest_start: u64,
}

/// Classes of work items, first come first. In a flood a job that was begun is finished before others are begun, and
/// a job that would only just be late gets no room that one in time could use: otherwise every job of the flood starts
/// at its last moment, and all are late.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum PlacementTier {
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
pub(super) struct ReadyItem {
    pub(super) rank: PlacementRank,
    pub(super) key: ItemKey,
}

/// Share of the remaining chain that a job which was not begun needs as reserve, as a divisor.
const RESERVE_DIVISOR: u64 = 8;
/// Least reserve of a job that was not begun: placing, starting and noticing ends take this long.
const LEAST_RESERVE: Millis = Millis(100);

impl OwnerState {
    /// Returns the work items that can start now, where their service has room.
    pub(super) fn ready_items(&self, now: LocalTime, wall_ms: u64) -> Vec<ReadyItem> {
        let roomy = self.roomy_services(now);
        let mut ready = Vec::new();
        for key in self.jobs.open() {
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            let starts = job.accepted && !job.unconfirmed && !job.phase.is_final();
            let has_room = roomy.binary_search(&job.queue.service.as_str()).is_ok();
            if starts && (has_room || job.is_long_running()) {
                collect_ready(*key, job, now, wall_ms, &mut ready);
            }
        }
        ready
    }

    /// Returns the services with a runner that has room, so that a pass does not visit the backlog of full pools.
    fn roomy_services(&self, now: LocalTime) -> Vec<&str> {
        let has_room = |state: &RunnerState| {
            let free = state.free();
            state.accepts_work(now) && free.cpu > 0 && free.mem_mb > 0
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

fn rank_of(job: &JobState, item: &WorkItem, now: LocalTime) -> PlacementRank {
    let step = job.step_of(item);
    let chain = job.chain_from(item.occurrence, item.step);
    let latest_start = job.latest_start(item).0;
    let reserve = LEAST_RESERVE.0.max(chain / RESERVE_DIVISOR);
    let tier = if step.fills {
        PlacementTier::Filling
    } else if step.long_running {
        PlacementTier::Serving
    } else if job.begun && latest_start >= now.0 {
        PlacementTier::Begun
    } else if latest_start >= now.0 + reserve {
        PlacementTier::Fresh
    } else if now.0 + chain <= job.useful_until().0 {
        PlacementTier::Late
    } else {
        PlacementTier::Overdue
    };
    PlacementRank {
        tier,
        priority: job.queue.priority,
        latest_start,
    }
}
