use {
    super::{JobId, WorkerId},
    crate::{
        collections::SortedMap,
        ids::{HostName, Incarnation, LogTime, PoolName},
    },
    serde::{Deserialize, Serialize},
};

/// Number of different jobs that fail on a worker in a row before it is excluded.
pub const FAILURES_TO_EXCLUDE: usize = 3;
/// At most one in this many workers of a pool is excluded; in a smaller pool, one. Beyond that, jobs that fail
/// everywhere are a more likely cause than workers that fail every job, and excluding the whole pool would stop all its
/// jobs.
const MAX_EXCLUDED_DIVISOR: usize = 4;
/// Maximum number of workers in the table.
const MAX_RETAINED_WORKERS: usize = 4096;

/// When and why a worker was excluded from placement.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Exclusion {
    /// Log time of the exclusion.
    pub at: LogTime,
    /// Jobs whose failures led to it.
    pub failed_jobs: Vec<JobId>,
    /// Pool whose jobs failed.
    pub pool: PoolName,
}

/// The recent failures of one incarnation of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerHealth {
    /// Set when the worker gets no more jobs.
    pub exclusion: Option<Exclusion>,
    /// Incarnation that the row describes.
    pub incarnation: Incarnation,
    /// Different jobs that failed since the last success; empty once the worker is excluded.
    pub recent_failures: Vec<JobId>,
    /// Log time of the newest failure.
    pub updated: LogTime,
}

/// Workers with recent failures or an exclusion, one incarnation for each host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerHealthTable {
    rows: SortedMap<HostName, WorkerHealth>,
}

impl WorkerHealthTable {
    /// Iterates over the workers, sorted by host name.
    pub fn iter(&self) -> impl Iterator<Item = (&HostName, &WorkerHealth)> {
        self.rows.iter()
    }

    /// Tells whether an incarnation of a worker is excluded. Incarnations newer than the excluded one are not.
    pub fn is_excluded(&self, worker: &WorkerId) -> bool {
        self.rows
            .get(&worker.host)
            .is_some_and(|row| row.exclusion.is_some() && worker.incarnation <= row.incarnation)
    }

    /// Resets the recent failures of a worker that finished a job.
    pub(super) fn record_success(&mut self, worker: &WorkerId) {
        let row = self.rows.get(&worker.host);
        let is_cleared =
            row.is_some_and(|row| row.exclusion.is_none() && row.incarnation == worker.incarnation);
        if is_cleared {
            self.rows.remove(&worker.host);
        }
        self.remove_older_incarnation(worker);
    }

    /// Removes the row of an incarnation older than `worker`.
    pub(super) fn remove_older_incarnation(&mut self, worker: &WorkerId) {
        let row = self.rows.get(&worker.host);
        if row.is_some_and(|row| row.incarnation < worker.incarnation) {
            self.rows.remove(&worker.host);
        }
    }

    /// Records a failure and tells whether it excludes the worker.
    pub(super) fn record_failure(
        &mut self,
        now: LogTime,
        worker: &WorkerId,
        job: JobId,
        pool: &PoolName,
        pool_size: usize,
    ) -> bool {
        let can_exclude = self.count_excluded(pool) < (pool_size / MAX_EXCLUDED_DIVISOR).max(1);
        let Some(row) = self.get_or_insert(now, worker) else {
            return false;
        };
        if row.exclusion.is_some() || row.recent_failures.contains(&job) {
            return false;
        }
        row.recent_failures.push(job);
        if row.recent_failures.len() < FAILURES_TO_EXCLUDE {
            return false;
        }
        if !can_exclude {
            // The next failure of a different job checks again.
            row.recent_failures.remove(0);
            return false;
        }
        row.exclusion = Some(Exclusion {
            at: now,
            failed_jobs: std::mem::take(&mut row.recent_failures),
            pool: pool.clone(),
        });
        true
    }

    /// Ends the exclusion of an incarnation of a worker; false when it is not excluded.
    pub(super) fn readmit(&mut self, worker: &WorkerId) -> bool {
        let excluded = self
            .rows
            .get(&worker.host)
            .is_some_and(|row| row.exclusion.is_some() && row.incarnation == worker.incarnation);
        excluded && self.rows.remove(&worker.host).is_some()
    }

    /// Removes a job that turned out to fail everywhere from the recent failures, and ends the exclusions to which it
    /// contributed.
    pub(super) fn clear_failures(&mut self, job: JobId) {
        self.rows.retain(|_, row| {
            row.recent_failures.retain(|failed| *failed != job);
            let exclusion = row.exclusion.as_ref();
            !exclusion.is_some_and(|exclusion| exclusion.failed_jobs.contains(&job))
        });
    }

    fn count_excluded(&self, pool: &PoolName) -> usize {
        let exclusions = self.rows.values().filter_map(|row| row.exclusion.as_ref());
        exclusions
            .filter(|exclusion| exclusion.pool == *pool)
            .count()
    }

    /// Returns the row of an incarnation of a worker, new if necessary; `None` when a newer one is known.
    fn get_or_insert(&mut self, now: LogTime, worker: &WorkerId) -> Option<&mut WorkerHealth> {
        let known = self.rows.get(&worker.host).map(|row| row.incarnation);
        match known {
            Some(incarnation) if incarnation > worker.incarnation => return None,
            Some(incarnation) if incarnation == worker.incarnation => {}
            _ => {
                // The row of an older incarnation is replaced, so no room is needed.
                if known.is_none() {
                    self.evict_oldest();
                }
                let row = WorkerHealth {
                    exclusion: None,
                    incarnation: worker.incarnation,
                    recent_failures: Vec::new(),
                    updated: now,
                };
                self.rows.insert(worker.host.clone(), row);
            }
        }
        let row = self.rows.get_mut(&worker.host)?;
        row.updated = now;
        Some(row)
    }

    fn evict_oldest(&mut self) {
        if self.rows.len() < MAX_RETAINED_WORKERS {
            return;
        }
        let rows = self.rows.iter();
        let oldest = rows.min_by_key(|(_, row)| (row.exclusion.is_some(), row.updated));
        if let Some(host) = oldest.map(|(host, _)| host.clone()) {
            self.rows.remove(&host);
        }
    }
}
