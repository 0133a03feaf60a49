use {
    super::{JobId, WorkerId},
    crate::{
        collections::SortedMap,
        ids::{HostName, Incarnation, LogTime, PoolName},
    },
    serde::{Deserialize, Serialize},
};

/// Failures in a row of different jobs after which a worker is excluded.
pub const FAILURES_TO_EXCLUDE: usize = 3;
/// At most this part of a pool is excluded. Beyond it, jobs that fail everywhere are the likelier cause
/// than workers that fail everything, and excluding the whole pool would stop all its jobs.
const MAX_EXCLUDED_DIVISOR: usize = 4;
/// Most workers that are remembered.
const MAX_HEALTHS: usize = 4096;

/// The end of placements on a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Exclusion {
    /// Log time of the exclusion.
    pub at: LogTime,
    /// The jobs whose failures led to it.
    pub failed_jobs: Vec<JobId>,
    /// The pool whose jobs failed.
    pub pool: PoolName,
}

/// The recent failures of one run of a worker.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerHealth {
    /// Set when the worker gets no more jobs.
    pub exclusion: Option<Exclusion>,
    /// The run that is meant.
    pub incarnation: Incarnation,
    /// Different jobs that failed since the last success.
    pub recent_failures: Vec<JobId>,
    /// Log time of the newest failure.
    pub updated: LogTime,
}

/// The workers that failed lately or are excluded.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerHealths {
    rows: SortedMap<HostName, WorkerHealth>,
}

impl WorkerHealths {
    /// Iterates over the workers in order of name.
    pub fn iter(&self) -> impl Iterator<Item = (&HostName, &WorkerHealth)> {
        self.rows.iter()
    }

    /// Tells whether a run of a worker gets no jobs. A newer run than the excluded one does.
    pub fn is_excluded(&self, worker: &WorkerId) -> bool {
        self.rows
            .get(&worker.host)
            .is_some_and(|row| row.exclusion.is_some() && worker.incarnation <= row.incarnation)
    }

    /// Ends the streak of a worker that finished a job.
    pub(super) fn succeed(&mut self, worker: &WorkerId) {
        let row = self.rows.get(&worker.host);
        let clears =
            row.is_some_and(|row| row.exclusion.is_none() && row.incarnation == worker.incarnation);
        if clears {
            self.rows.remove(&worker.host);
        }
        self.forget_older(worker);
    }

    /// Forgets an older run of a worker.
    pub(super) fn forget_older(&mut self, worker: &WorkerId) {
        let row = self.rows.get(&worker.host);
        if row.is_some_and(|row| row.incarnation < worker.incarnation) {
            self.rows.remove(&worker.host);
        }
    }

    /// Notes a failure and tells whether it excludes the worker.
    pub(super) fn fail(
        &mut self,
        now: LogTime,
        worker: &WorkerId,
        job: JobId,
        pool: &PoolName,
        pool_size: usize,
    ) -> bool {
        let room = self.excluded_in(pool) < (pool_size / MAX_EXCLUDED_DIVISOR).max(1);
        let Some(row) = self.row(now, worker) else {
            return false;
        };
        if row.exclusion.is_some() || row.recent_failures.contains(&job) {
            return false;
        }
        row.recent_failures.push(job);
        if row.recent_failures.len() < FAILURES_TO_EXCLUDE {
            return false;
        }
        if !room {
            // The next failure of a different job asks again.
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

    /// Takes back the exclusion of a run of a worker; false when it is not excluded.
    pub(super) fn readmit(&mut self, worker: &WorkerId) -> bool {
        let excluded = self
            .rows
            .get(&worker.host)
            .is_some_and(|row| row.exclusion.is_some() && row.incarnation == worker.incarnation);
        excluded && self.rows.remove(&worker.host).is_some()
    }

    /// Takes back the exclusions that rest on a job that turned out to fail everywhere.
    pub(super) fn clear_failures(&mut self, job: JobId) {
        self.rows.retain(|_, row| {
            row.recent_failures.retain(|failed| *failed != job);
            let exclusion = row.exclusion.as_ref();
            !exclusion.is_some_and(|exclusion| exclusion.failed_jobs.contains(&job))
        });
    }

    fn excluded_in(&self, pool: &PoolName) -> usize {
        let exclusions = self.rows.values().filter_map(|row| row.exclusion.as_ref());
        exclusions
            .filter(|exclusion| exclusion.pool == *pool)
            .count()
    }

    /// Returns the row of a run of a worker; none when a newer run is known.
    fn row(&mut self, now: LogTime, worker: &WorkerId) -> Option<&mut WorkerHealth> {
        let known = self.rows.get(&worker.host).map(|row| row.incarnation);
        match known {
            Some(incarnation) if incarnation > worker.incarnation => return None,
            Some(incarnation) if incarnation == worker.incarnation => {}
            _ => {
                self.make_room();
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

    fn make_room(&mut self) {
        if self.rows.len() < MAX_HEALTHS {
            return;
        }
        let rows = self.rows.iter();
        let oldest = rows.min_by_key(|(_, row)| (row.exclusion.is_some(), row.updated));
        if let Some(host) = oldest.map(|(host, _)| host.clone()) {
            self.rows.remove(&host);
        }
    }
}
