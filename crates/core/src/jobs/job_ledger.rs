use {
    super::{
        FailItem, FinishItem, GrantItem, GrantNumber, Job, JobId, JobRecord, JobSpec, JobState,
        Lease, LeaseRef, PoolMembers, QuarantineReason, ReleaseItem, SizeEstimates,
        UnplaceableItem, WorkerHealthTable, WorkerId, job_record::MAX_BATCH,
        organisation_quota::check_quota,
    },
    crate::{
        collections::SortedMap,
        config::FleetConfig,
        ids::{LogTime, Millis, OrganisationName, PoolName},
        ledger::Rejection,
    },
    serde::{Deserialize, Serialize},
};

/// Time from the grant or renewal of a lease to its expiry.
pub const LEASE_DURATION: Millis = Millis(30 * 1000);
/// Maximum age of a submitted job id. Ended jobs are kept for longer, so that a repeated submission is either
/// recognised or too old.
pub const JOB_ID_MAX_AGE: Millis = Millis(15 * 60 * 1000);
/// How far the timestamp of a submitted job id may be ahead of log time.
pub const JOB_ID_MAX_CLOCK_SKEW: Millis = Millis(60 * 1000);
/// Failures after which a job is quarantined even if they happened on one or two workers, as in a pool of that size.
/// Discounted failures do not count.
pub const MAX_FAILURES: usize = 6;
/// Number of different workers on which a job fails before it is quarantined.
const MAX_FAILED_WORKERS: usize = 3;
/// Lapsed leases after which an idempotent job is quarantined.
pub const MAX_LAPSES: u32 = 8;
/// How often failures of a job are discounted, that is, not counted against the job because their worker is excluded.
/// Without a limit, jobs that fail everywhere would exclude one worker after the other and never be quarantined.
const MAX_DISCOUNTS: u32 = 3;
/// How long jobs that are done or cancelled are kept.
pub const DONE_RETENTION: Millis = Millis(60 * 60 * 1000);
/// How long quarantined and unknown jobs are kept, so that they are still there after a long weekend.
pub const ATTENTION_RETENTION: Millis = Millis(4 * 24 * 60 * 60 * 1000);
/// Maximum number of jobs in the ledger, including ended ones.
pub const MAX_JOBS: usize = 20_000;
/// Ended jobs are evicted before their retention ends until at most this many jobs remain.
const EARLY_EVICTION_THRESHOLD: usize = MAX_JOBS / 4 * 3;
/// Log time between two searches for ended jobs to forget.
const FORGET_INTERVAL: Millis = Millis(60 * 1000);

/// State outside the job ledger that applying a record depends on.
#[derive(Clone, Copy)]
pub struct JobContext<'a> {
    /// Configuration in force at the record.
    pub config: &'a FleetConfig,
    /// Log time of the entry that holds the record.
    pub now: LogTime,
    /// Pool membership of the hosts.
    pub pools: &'a dyn PoolMembers,
}

/// Number of jobs in the ledger by state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JobCounts {
    /// Jobs in [`JobState::Cancelled`].
    pub cancelled: usize,
    /// Jobs in [`JobState::Done`].
    pub done: usize,
    /// Jobs in [`JobState::Leased`].
    pub leased: usize,
    /// Jobs in [`JobState::Quarantined`].
    pub quarantined: usize,
    /// Jobs in [`JobState::Queued`].
    pub queued: usize,
    /// Jobs in [`JobState::Unknown`].
    pub unknown: usize,
}

/// Unfinished jobs and recently ended ones, with size estimates and worker health.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobLedger {
    estimates: SizeEstimates,
    forgotten_at: LogTime,
    latest_grant: GrantNumber,
    worker_health: WorkerHealthTable,
    ignored: SortedMap<Rejection, u64>,
    jobs: SortedMap<JobId, Job>,
    /// Lets a plan walk only the unfinished jobs of its pool, not the ended ones and those of other pools.
    unfinished_by_pool: SortedMap<PoolName, SortedMap<JobId, ()>>,
    unfinished_by_organisation: SortedMap<OrganisationName, u32>,
}

impl JobLedger {
    /// Returns all jobs, sorted by id.
    pub fn jobs(&self) -> &SortedMap<JobId, Job> {
        &self.jobs
    }

    /// Returns a job; `None` if it was never submitted or is no longer kept.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Iterates over the queued and leased jobs of a pool, sorted by id.
    pub fn unfinished(&self, pool: &PoolName) -> impl Iterator<Item = (JobId, &Job)> {
        let ids = self
            .unfinished_by_pool
            .get(pool)
            .into_iter()
            .flat_map(SortedMap::iter);
        ids.filter_map(|(id, ())| Some((*id, self.jobs.get(id)?)))
    }

    /// Iterates over the quarantined and unknown jobs, which need an operator's attention, sorted by id.
    pub fn needing_attention(&self) -> impl Iterator<Item = (JobId, &Job)> {
        let jobs = self.jobs.iter().map(|(id, job)| (*id, job));
        jobs.filter(|(_, job)| needs_attention(job))
    }

    /// Returns the job if this attempt holds its lease.
    pub fn leased(&self, lease: LeaseRef) -> Option<&Job> {
        let job = self.jobs.get(&lease.job)?;
        (job.lease()?.grant == lease.grant).then_some(job)
    }

    /// Returns the number of the latest grant over all jobs.
    pub fn latest_grant(&self) -> GrantNumber {
        self.latest_grant
    }

    /// Returns the size estimates derived from reported usage.
    pub fn estimates(&self) -> &SizeEstimates {
        &self.estimates
    }

    /// Returns the recent failures and exclusions of workers.
    pub fn worker_health(&self) -> &WorkerHealthTable {
        &self.worker_health
    }

    /// Returns the number of rejected batch items by reason.
    pub fn ignored(&self) -> &SortedMap<Rejection, u64> {
        &self.ignored
    }

    /// Counts the jobs by state, walking all of them.
    pub fn counts(&self) -> JobCounts {
        let mut counts = JobCounts::default();
        for job in self.jobs.values() {
            *match job.state {
                JobState::Cancelled => &mut counts.cancelled,
                JobState::Done => &mut counts.done,
                JobState::Leased(_) => &mut counts.leased,
                JobState::Quarantined(_) => &mut counts.quarantined,
                JobState::Queued => &mut counts.queued,
                JobState::Unknown => &mut counts.unknown,
            } += 1;
        }
        counts
    }

    /// Applies a record.
    ///
    /// # Errors
    /// The reason for which the record was rejected. A batch is rejected only when none of its items was accepted, with
    /// the reason of the last rejected one.
    pub fn apply(&mut self, context: &JobContext, record: &JobRecord) -> Result<(), Rejection> {
        self.forget_ended(context.now);
        match record {
            JobRecord::Submit { job, spec } => self.submit(context, *job, spec),
            JobRecord::Grant { grants } => {
                self.batch(grants, |ledger, item| ledger.grant(context, item))
            }
            JobRecord::Renew { leases } => {
                self.batch(leases, |ledger, lease| ledger.renew(context.now, *lease))
            }
            JobRecord::Finish { results } => {
                self.batch(results, |ledger, item| ledger.finish(context.now, item))
            }
            JobRecord::Fail { results } => {
                self.batch(results, |ledger, item| ledger.fail(context, item))
            }
            JobRecord::Release { leases } => {
                self.batch(leases, |ledger, item| ledger.release(context.now, item))
            }
            JobRecord::Lapse { leases } => {
                self.batch(leases, |ledger, lease| ledger.lapse(context.now, *lease))
            }
            JobRecord::Cancel { jobs } => {
                self.batch(jobs, |ledger, job| ledger.cancel(context.now, *job))
            }
            JobRecord::SetUnplaceable { items } => self.batch(items, JobLedger::set_unplaceable),
            JobRecord::Readmit { worker } => self.readmit(worker),
        }
    }

    fn batch<T>(
        &mut self,
        items: &[T],
        mut apply_item: impl FnMut(&mut Self, &T) -> Result<(), Rejection>,
    ) -> Result<(), Rejection> {
        let mut accepted = false;
        let mut last = Rejection::InvalidJob;
        for item in items.iter().take(MAX_BATCH) {
            match apply_item(self, item) {
                Ok(()) => accepted = true,
                Err(rejection) => {
                    last = rejection;
                    self.count_ignored(rejection);
                }
            }
        }
        if accepted { Ok(()) } else { Err(last) }
    }

    fn count_ignored(&mut self, rejection: Rejection) {
        let count = self.ignored.get(&rejection).copied().unwrap_or_default();
        self.ignored.insert(rejection, count + 1);
    }

    fn submit(&mut self, context: &JobContext, id: JobId, spec: &JobSpec) -> Result<(), Rejection> {
        if let Some(job) = self.jobs.get(&id) {
            let is_same = job.digest == spec.digest();
            return if is_same {
                Ok(())
            } else {
                Err(Rejection::JobConflict)
            };
        }
        if id.time() < context.now - JOB_ID_MAX_AGE {
            return Err(Rejection::KeyTooOld);
        }
        if id.time() > context.now + JOB_ID_MAX_CLOCK_SKEW {
            return Err(Rejection::KeyTooNew);
        }
        if !spec.is_valid() {
            return Err(Rejection::InvalidJob);
        }
        if context.config.pool(&spec.pool).is_none() {
            return Err(Rejection::UnknownPool);
        }
        check_quota(
            context.config,
            &self.unfinished_by_organisation,
            &spec.organisation,
        )?;
        if self.jobs.len() >= MAX_JOBS {
            return Err(Rejection::TooManyJobs);
        }
        self.jobs.insert(id, Job::new(context.now, spec.clone()));
        self.adjust_unfinished_count(&spec.organisation, 1);
        self.index_unfinished(id, &spec.pool, true);
        Ok(())
    }

    fn grant(&mut self, context: &JobContext, item: &GrantItem) -> Result<(), Rejection> {
        let now = context.now;
        let pool = context.pools.pool_of(&item.worker.host);
        let pool = pool.ok_or(Rejection::UnknownHost)?;
        if self.worker_health.is_excluded(&item.worker) {
            return Err(Rejection::WorkerExcluded);
        }
        let job = self.jobs.get_mut(&item.job).ok_or(Rejection::UnknownJob)?;
        // The host may have moved to another pool since the author read the state.
        if job.state != JobState::Queued || job.version != item.version || job.spec.pool != *pool {
            return Err(Rejection::StaleVersion);
        }
        self.worker_health.remove_older_incarnation(&item.worker);
        self.latest_grant.0 += 1;
        job.attempts += 1;
        job.unplaceable = false;
        let lease = Lease {
            expiry: now + LEASE_DURATION,
            grant: self.latest_grant,
            granted: now,
            worker: item.worker.clone(),
        };
        job.set_state(now, JobState::Leased(lease));
        Ok(())
    }

    /// Extends a lease. An expired lease can be extended until a record ends it: the job was not granted again, so a
    /// worker that still runs it after an outage of the log need not be interrupted.
    fn renew(&mut self, now: LogTime, lease: LeaseRef) -> Result<(), Rejection> {
        let job = self.leased_mut(lease)?;
        if let JobState::Leased(lease) = &mut job.state {
            lease.expiry = lease.expiry.max(now + LEASE_DURATION);
        }
        Ok(())
    }

    fn finish(&mut self, now: LogTime, item: &FinishItem) -> Result<(), Rejection> {
        let job = self
            .jobs
            .get(&item.lease.job)
            .ok_or(Rejection::UnknownJob)?;
        let accepts_late_result = !matches!(
            job.state,
            JobState::Cancelled | JobState::Done | JobState::Leased(_)
        );
        let lapsed = job.lapsed_lease.as_ref().filter(|_| accepts_late_result);
        let lease = job.lease().or(lapsed);
        let lease = lease.filter(|lease| lease.grant == item.lease.grant);
        let worker = lease.ok_or(Rejection::NotHolder)?.worker.clone();
        self.estimates.observe(now, &job.spec, &item.usage);
        self.worker_health.record_success(&worker);
        self.set_state(now, item.lease.job, JobState::Done);
        Ok(())
    }

    fn fail(&mut self, context: &JobContext, item: &FailItem) -> Result<(), Rejection> {
        let id = item.lease.job;
        let job = self.jobs.get(&id).ok_or(Rejection::UnknownJob)?;
        let lease = job.lease().filter(|lease| lease.grant == item.lease.grant);
        let worker = lease.ok_or(Rejection::NotHolder)?.worker.clone();
        // A non-idempotent job that started may have had side effects, so it must not run again.
        let can_run_again = job.spec.idempotent || !item.started;
        let state = match can_run_again {
            true => JobState::Queued,
            false => JobState::Quarantined(QuarantineReason::FailedAfterStart),
        };
        self.estimates.raise_memory(&job.spec, &item.usage);
        self.set_state(context.now, id, state);
        self.count_failure(context, id, &worker);
        Ok(())
    }

    /// Counts a failure against the job and its worker. A failure on an excluded worker is discounted instead. Once the
    /// job has no discounts left, its failures count against it alone.
    fn count_failure(&mut self, context: &JobContext, id: JobId, worker: &WorkerId) {
        let excluded = self.worker_health.is_excluded(worker);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if excluded && job.discounts < MAX_DISCOUNTS {
            job.discounts += 1;
            return;
        }
        job.failures.push(worker.clone());
        let counts_against_worker = job.discounts < MAX_DISCOUNTS;
        let pool = job.spec.pool.clone();
        if counts_against_worker {
            let size = context.pools.pool_size(&pool);
            if self
                .worker_health
                .record_failure(context.now, worker, id, &pool, size)
            {
                self.discount_failures(context.now, worker);
            }
        }
        self.quarantine_if_due(context.now, id);
    }

    /// Discounts the failures on an excluded worker for all jobs, and queues again the jobs that were quarantined
    /// because of them.
    fn discount_failures(&mut self, now: LogTime, worker: &WorkerId) {
        let mut changed_jobs = Vec::new();
        for (id, job) in self.jobs.iter_mut() {
            let before = job.failures.len();
            if job.discounts < MAX_DISCOUNTS {
                job.failures.retain(|failed| failed != worker);
            }
            if job.failures.len() < before {
                job.discounts += 1;
                changed_jobs.push(*id);
            }
        }
        let quarantined = JobState::Quarantined(QuarantineReason::FailedTooOften);
        for id in changed_jobs {
            let job = self.jobs.get(&id).filter(|job| job.state == quarantined);
            if job.is_some_and(|job| !has_failed_too_often(job)) {
                self.set_state(now, id, JobState::Queued);
            }
        }
    }

    fn quarantine_if_due(&mut self, now: LogTime, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.state != JobState::Queued || !has_failed_too_often(job) {
            return;
        }
        let reason = QuarantineReason::FailedTooOften;
        self.set_state(now, id, JobState::Quarantined(reason));
        self.worker_health.clear_failures(id);
    }

    fn release(&mut self, now: LogTime, item: &ReleaseItem) -> Result<(), Rejection> {
        let job = self.leased_mut(item.lease)?;
        // Work done after the checkpoint may have had side effects, which a resumed run would repeat.
        if item.checkpoint.is_some() && !job.spec.idempotent {
            return Err(Rejection::JobState);
        }
        match item.checkpoint.is_some() {
            true => job.checkpoint.clone_from(&item.checkpoint),
            false => job.avoided_worker = job.lease().map(|lease| lease.worker.host.clone()),
        }
        self.set_state(now, item.lease.job, JobState::Queued);
        Ok(())
    }

    fn lapse(&mut self, now: LogTime, item: LeaseRef) -> Result<(), Rejection> {
        let job = self.leased_mut(item)?;
        let lease = job.lease().cloned().ok_or(Rejection::NotHolder)?;
        if now <= lease.expiry {
            return Err(Rejection::LeaseValid);
        }
        job.lapses += 1;
        job.avoided_worker = Some(lease.worker.host.clone());
        job.lapsed_lease = Some(lease);
        let state = match (job.spec.idempotent, job.lapses >= MAX_LAPSES) {
            (false, _) => JobState::Unknown,
            (true, true) => JobState::Quarantined(QuarantineReason::LapsedTooOften),
            (true, false) => JobState::Queued,
        };
        self.set_state(now, item.job, state);
        Ok(())
    }

    fn cancel(&mut self, now: LogTime, id: JobId) -> Result<(), Rejection> {
        let job = self.jobs.get(&id).ok_or(Rejection::UnknownJob)?;
        if !job.state.is_unfinished() {
            return Err(Rejection::JobState);
        }
        self.set_state(now, id, JobState::Cancelled);
        Ok(())
    }

    fn set_unplaceable(&mut self, item: &UnplaceableItem) -> Result<(), Rejection> {
        let job = self.jobs.get_mut(&item.job).ok_or(Rejection::UnknownJob)?;
        if job.state != JobState::Queued || job.version != item.version {
            return Err(Rejection::StaleVersion);
        }
        job.unplaceable = item.unplaceable;
        job.version.0 += 1;
        Ok(())
    }

    fn readmit(&mut self, worker: &WorkerId) -> Result<(), Rejection> {
        match self.worker_health.readmit(worker) {
            true => Ok(()),
            false => Err(Rejection::StaleVersion),
        }
    }

    /// Returns the job if this attempt holds its lease, else an error.
    fn leased_mut(&mut self, lease: LeaseRef) -> Result<&mut Job, Rejection> {
        let job = self.jobs.get_mut(&lease.job).ok_or(Rejection::UnknownJob)?;
        match job.lease() {
            Some(current) if current.grant == lease.grant => Ok(job),
            _ => Err(Rejection::NotHolder),
        }
    }

    fn set_state(&mut self, now: LogTime, id: JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let before = job.state.is_unfinished();
        let after = state.is_unfinished();
        job.set_state(now, state);
        if before == after {
            return;
        }
        let organisation = job.spec.organisation.clone();
        let pool = job.spec.pool.clone();
        self.adjust_unfinished_count(&organisation, if after { 1 } else { -1 });
        self.index_unfinished(id, &pool, after);
    }

    fn adjust_unfinished_count(&mut self, organisation: &OrganisationName, change: i32) {
        let count = self
            .unfinished_by_organisation
            .get(organisation)
            .copied()
            .unwrap_or_default();
        match count.saturating_add_signed(change) {
            0 => self.unfinished_by_organisation.remove(organisation),
            count => self
                .unfinished_by_organisation
                .insert(organisation.clone(), count),
        };
    }

    fn index_unfinished(&mut self, id: JobId, pool: &PoolName, unfinished: bool) {
        if !self.unfinished_by_pool.contains(pool) {
            self.unfinished_by_pool
                .insert(pool.clone(), SortedMap::default());
        }
        let Some(ids) = self.unfinished_by_pool.get_mut(pool) else {
            return;
        };
        match unfinished {
            true => ids.insert(id, ()),
            false => ids.remove(&id),
        };
        if ids.is_empty() {
            self.unfinished_by_pool.remove(pool);
        }
    }

    /// Removes ended jobs whose retention has passed. Unfinished jobs are never removed.
    fn forget_ended(&mut self, now: LogTime) {
        if now.since(self.forgotten_at) < FORGET_INTERVAL {
            return;
        }
        self.forgotten_at = now;
        self.jobs.retain(|_, job| !is_expired(now, job));
        let excess = self.jobs.len().saturating_sub(EARLY_EVICTION_THRESHOLD);
        if excess > 0 {
            self.evict_early(now, excess);
        }
    }

    /// Removes up to `excess` ended jobs, oldest first, and done and cancelled ones before those that need attention.
    /// Jobs whose id can still be submitted stay.
    fn evict_early(&mut self, now: LogTime, excess: usize) {
        let ended = self
            .jobs
            .iter()
            .filter(|(id, job)| !job.state.is_unfinished() && id.time() < now - JOB_ID_MAX_AGE);
        let mut ended: Vec<_> = ended
            .map(|(id, job)| (needs_attention(job), job.changed, *id))
            .collect();
        ended.sort_unstable();
        ended.truncate(excess);
        let mut ids: Vec<_> = ended.into_iter().map(|(_, _, id)| id).collect();
        ids.sort_unstable();
        self.jobs.retain(|id, _| ids.binary_search(id).is_err());
    }
}

fn has_failed_too_often(job: &Job) -> bool {
    job.failed_worker_count() >= MAX_FAILED_WORKERS || job.failures.len() >= MAX_FAILURES
}

fn needs_attention(job: &Job) -> bool {
    matches!(job.state, JobState::Quarantined(_) | JobState::Unknown)
}

fn is_expired(now: LogTime, job: &Job) -> bool {
    let age = now.since(job.changed);
    match job.state {
        JobState::Cancelled | JobState::Done => age > DONE_RETENTION,
        JobState::Quarantined(_) | JobState::Unknown => age > ATTENTION_RETENTION,
        JobState::Leased(_) | JobState::Queued => false,
    }
}
