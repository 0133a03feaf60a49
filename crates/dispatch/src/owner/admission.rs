use {
    super::OwnerState,
    crate::{jobs::JobState, pools::work_left, runners::RunnerStatus},
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Multiple of the time in which a job is of use beyond which it is refused. Fresh jobs go before late ones, so that a
/// backlog alone does not make them late; far beyond it the owner would keep more jobs than it can serve.
const BACKLOG_FACTOR: u64 = 4;
/// Least room of a pool that is assumed, in thousandths of a core: hosts can move to a pool that has none.
const LEAST_ROOM: u64 = 100_000;
/// Part of the fleet's room that a pool can be expected to get in a flood, as a divisor.
const SHARE_DIVISOR: u64 = 3;

/// The work that waits for a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct PoolBacklog {
    service: String,
    /// Thousandths of a core times milliseconds.
    work: u64,
    /// Thousandths of a core.
    room: u64,
}

impl PoolBacklog {
    fn wait(&self) -> Millis {
        Millis(self.work / self.room.max(1))
    }
}

impl OwnerState {
    /// Adds up the work that waits for each pool.
    pub(super) fn measure_backlogs(&mut self, now: LocalTime) {
        let mut backlogs: Vec<PoolBacklog> = self
            .rules
            .services
            .iter()
            .map(|service| PoolBacklog {
                service: service.name.clone(),
                work: 0,
                room: 0,
            })
            .collect();
        let mut fleet = 0;
        for (_, state) in self.runners.all() {
            let works = state.listed && state.report.status == RunnerStatus::Ready;
            let pool = backlogs
                .iter_mut()
                .find(|pool| pool.service == state.report.service);
            if let (true, Some(pool)) = (works, pool) {
                pool.room += u64::from(state.report.capacity.cpu);
                fleet += u64::from(state.report.capacity.cpu);
            }
        }
        for key in self.jobs.open() {
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            // Work that nobody waits for any more comes last and delays nobody.
            if now > job.useful_until() {
                continue;
            }
            let pool = backlogs
                .iter_mut()
                .find(|pool| pool.service == job.queue.service);
            if let Some(pool) = pool {
                pool.work += work_left(job);
            }
        }
        for pool in &mut backlogs {
            pool.room = pool.room.max(fleet / SHARE_DIVISOR).max(LEAST_ROOM);
        }
        self.backlogs = backlogs;
    }

    /// Returns when the caller should come back with a job that would be of no use to it any more when its turn
    /// comes; none when the job can be taken.
    pub(super) fn refusal(&self, job: &JobState) -> Option<Millis> {
        if job.is_long_running() || job.spec.times > 0 {
            return None;
        }
        let pool = self
            .backlogs
            .iter()
            .find(|pool| pool.service == job.queue.service)?;
        let useful = job.useful_until().since(job.first_seen);
        let limit = Millis(useful.0 * BACKLOG_FACTOR);
        let wait = pool.wait();
        (wait > limit).then(|| Millis(wait.0 - limit.0))
    }
}
