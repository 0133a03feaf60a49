use {
    super::OwnerState,
    crate::{
        jobs::JobState,
        pools::work_left,
        runners::{Capacity, RunnerStatus},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// A job is refused when the backlog exceeds this multiple of the time for which the job is useful. New jobs are placed
/// before late ones, so that a backlog alone does not make them late; with a backlog far beyond that time, the owner
/// would keep more jobs than it can serve.
const BACKLOG_FACTOR: u64 = 4;
/// Minimum capacity that is assumed for a pool, in thousandths of a core: hosts can move to a pool without capacity.
const MIN_POOL_CAPACITY: u64 = 100_000;
/// One in this many: the fraction of the fleet's capacity that a pool can be expected to get in a flood.
const SHARE_DIVISOR: u64 = 3;

/// Work that waits for a pool, and the capacity of the pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct PoolBacklog {
    service: String,
    /// Thousandths of a core times milliseconds.
    work: u64,
    /// Thousandths of a core.
    capacity: u64,
}

impl PoolBacklog {
    fn waiting_time(&self) -> Millis {
        Millis(self.work / self.capacity.max(1))
    }
}

impl OwnerState {
    /// Returns the largest capacity of any known host, part by part; without a limit while none is known. The report
    /// of a runner counts once it has answered.
    pub(super) fn largest_capacity(&self) -> Capacity {
        let hosts = self.hosts.hosts.iter().map(|state| state.report.capacity);
        let runners = self.runners.all().filter(|(_, state)| state.fenced);
        let runners = runners.map(|(_, state)| state.report.capacity);
        let largest = hosts
            .chain(runners)
            .fold(Capacity::default(), |largest, capacity| {
                largest.max(&capacity)
            });
        if largest == Capacity::default() {
            return Capacity {
                cpu: u32::MAX,
                mem_mb: u32::MAX,
                gpu: u32::MAX,
            };
        }
        largest
    }

    /// Sums the work that waits for each pool.
    pub(super) fn measure_backlogs(&mut self, now: LocalTime) {
        let mut backlogs: Vec<PoolBacklog> = self
            .rules
            .services
            .iter()
            .map(|service| PoolBacklog {
                service: service.name.clone(),
                work: 0,
                capacity: 0,
            })
            .collect();
        let mut fleet_capacity = 0;
        for (_, state) in self.runners.all() {
            let is_ready = state.is_present() && state.report.status == RunnerStatus::Ready;
            let pool = backlogs
                .iter_mut()
                .find(|pool| pool.service == state.report.service);
            if let (true, Some(pool)) = (is_ready, pool) {
                pool.capacity += u64::from(state.report.capacity.cpu);
                fleet_capacity += u64::from(state.report.capacity.cpu);
            }
        }
        let largest = self.largest_capacity();
        self.organisations.clear_waiting();
        for key in self.jobs.unfinished() {
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            let organisation = job.organisation_key;
            if job.accepted && !job.started && !job.phase.is_final() {
                self.organisations.add_waiting(organisation, job.first_seen);
            }
            // Jobs that are no longer useful to their callers are placed last and delay no other job.
            if now > job.useful_until() {
                continue;
            }
            // What a quota keeps waiting delays no job of another organisation.
            if self.organisations.is_at_quota(organisation) {
                self.organisations
                    .add_backlog(organisation, work_left(job, largest));
                continue;
            }
            let pool = backlogs
                .iter_mut()
                .find(|pool| pool.service == job.queue.service);
            if let Some(pool) = pool {
                pool.work = pool.work.saturating_add(work_left(job, largest));
            }
        }
        for pool in &mut backlogs {
            pool.capacity = pool
                .capacity
                .max(fleet_capacity / SHARE_DIVISOR)
                .max(MIN_POOL_CAPACITY);
        }
        self.backlogs = backlogs;
    }

    /// Returns the time that the work which waits for a service takes its pool.
    pub(super) fn waiting_time(&self, service: &str) -> Millis {
        let pool = self.backlogs.iter().find(|pool| pool.service == service);
        pool.map_or(Millis(0), PoolBacklog::waiting_time)
    }

    /// Returns the time after which the caller should retry, when the job would no longer be useful to it by the time
    /// it is placed; none when the job can be accepted.
    pub(super) fn retry_after(&self, job: &JobState) -> Option<Millis> {
        if job.is_lasting() {
            return None;
        }
        let pool = self
            .backlogs
            .iter()
            .find(|pool| pool.service == job.queue.service)?;
        let useful_time = job.useful_until().since(job.first_seen);
        let limit = Millis(useful_time.0.saturating_mul(BACKLOG_FACTOR));
        let waiting_time = if self.organisations.is_at_quota(job.organisation_key) {
            self.organisations.backlog_time(job.organisation_key)
        } else {
            pool.waiting_time()
        };
        (waiting_time > limit).then(|| Millis(waiting_time.0 - limit.0))
    }
}
