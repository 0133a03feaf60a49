use {
    super::OwnerState,
    crate::{
        jobs::{ItemKey, JobKey, JobState, WorkItem},
        organisations::OrganisationKey,
        runners::RunnerState,
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Order in which work items are placed; the smallest rank comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct PlacementRank {
    pub(super) tier: PlacementTier,
    priority: u32,
    /// Latest start, in milliseconds of the local clock, at which the job can be in time.
    pub(super) latest_start: u64,
}

impl PlacementRank {
    /// Returns the part of the rank that goes before shares of organisations.
    pub(super) fn group(&self) -> (PlacementTier, u32) {
        (self.tier, self.priority)
    }
}

/// Classes of work items, in the order in which they are placed. In a flood, started jobs are finished before new ones
/// are started, and a job that would be just late gets no capacity that a job in time could use: otherwise every job of
/// the flood would start at the last moment, and all would be late.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum PlacementTier {
    /// Long-running work.
    Serving,
    /// The job has started and can be in time.
    Started,
    /// The job has not started and can be in time with some reserve.
    New,
    /// The job is late, or will be, but still useful to its caller.
    Late,
    /// The job is no longer useful to its caller, but is still completed.
    Overdue,
    /// Work that only uses what other work leaves unused.
    Filling,
}

/// A work item that can start now.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadyItem {
    pub(super) rank: PlacementRank,
    pub(super) key: ItemKey,
    pub(super) organisation: OrganisationKey,
}

/// One in this many: the fraction of the remaining critical path that a job which has not started needs as reserve.
const RESERVE_DIVISOR: u64 = 8;
/// Minimum reserve of a job that has not started: the time for placing and starting it and noticing its end.
const MIN_RESERVE: Millis = Millis(100);

impl OwnerState {
    /// Returns the work items that can start now and whose service has free capacity. Those of long-running jobs are
    /// included in any case.
    pub(super) fn ready_items(&self, now: LocalTime, wall_ms: u64) -> Vec<ReadyItem> {
        let services = self.services_with_capacity(now);
        let mut ready = Vec::new();
        for key in self.jobs.unfinished() {
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            let can_start =
                job.accepted && job.has_text && !job.unconfirmed && !job.phase.is_final();
            let has_capacity = services.binary_search(&job.queue.service.as_str()).is_ok();
            if can_start && (has_capacity || job.is_long_running()) {
                collect_ready(*key, job, now, wall_ms, &mut ready);
            }
        }
        ready
    }

    /// Returns the services that have a runner with free capacity, so that a pass does not visit the backlog of full
    /// pools.
    pub(super) fn services_with_capacity(&self, now: LocalTime) -> Vec<&str> {
        let has_capacity = |state: &RunnerState| {
            let free = state.free();
            state.accepts_work(now) && free.cpu > 0 && free.mem_mb > 0
        };
        let mut services: Vec<&str> = self
            .runners
            .all()
            .filter(|(_, state)| has_capacity(state))
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
    // The work items of a step are adjacent and have the same rank.
    let mut step: Option<(u32, u32)> = None;
    let mut rank = None;
    for (item, number) in job.items.iter().zip(0_u32..) {
        if !item.is_idle() || !gang_allows_start(job, item) {
            continue;
        }
        let current = (item.occurrence, item.step);
        if step != Some(current) {
            step = Some(current);
            let due = job.due_ms(item.occurrence) <= wall_ms;
            let is_ready = due && job.is_step_ready(item.occurrence, item.step);
            rank = is_ready.then(|| rank_of(job, item, now));
        }
        if let Some(rank) = rank {
            let key = ItemKey {
                job: key,
                item: number,
            };
            ready.push(ReadyItem {
                rank,
                key,
                organisation: job.organisation_key,
            });
        }
    }
}

/// Returns whether a work item can be placed as far as its gang is concerned: the first member represents the gang,
/// once no member has a run.
fn gang_allows_start(job: &JobState, item: &WorkItem) -> bool {
    if !job.step_of(item).gang {
        return true;
    }
    let members = job.step_items(item.occurrence, item.step);
    item.index == 0 && members.iter().all(WorkItem::is_idle)
}

fn rank_of(job: &JobState, item: &WorkItem, now: LocalTime) -> PlacementRank {
    let step = job.step_of(item);
    let critical_path = job.critical_path_from(item.occurrence, item.step);
    let latest_start = job.latest_start(item).0;
    let reserve = MIN_RESERVE.0.max(critical_path / RESERVE_DIVISOR);
    let tier = if step.fills {
        PlacementTier::Filling
    } else if step.long_running {
        PlacementTier::Serving
    } else if job.started && latest_start >= now.0 {
        PlacementTier::Started
    } else if latest_start >= now.0 + reserve {
        PlacementTier::New
    } else if now.0 + critical_path <= job.useful_until().0 {
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
