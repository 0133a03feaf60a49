use {
    super::{
        FailItem, FinishItem, GrantItem, GrantNumber, Job, JobId, JobRecord, JobSpec, JobState,
        Lease, LeaseRef, MarkItem, PoolMembers, QuarantineReason, ReleaseItem, SizeEstimates,
        WorkerHealths, WorkerId, job_record::MAX_BATCH, organisation_quota::check_quota,
    },
    crate::{
        collections::SortedMap,
        config::FleetConfig,
        ids::{LogTime, Millis, OrganisationName, PoolName},
        ledger::Rejection,
    },
    serde::{Deserialize, Serialize},
};

/// How long a lease lasts after its grant or renewal.
pub const LEASE_DURATION: Millis = Millis(30 * 1000);
/// Oldest job id that can be submitted. Ended jobs are remembered for longer, so that a repeated
/// submission is either recognised or too old.
pub const JOB_ID_MAX_AGE: Millis = Millis(15 * 60 * 1000);
/// How far the clock of a submitter may run ahead of the log.
pub const JOB_ID_MAX_CLOCK_SKEW: Millis = Millis(60 * 1000);
/// Counted failures after which a job is quarantined even in a pool of one or two workers.
pub const MAX_FAILURES: usize = 6;
/// Different workers on which a job fails before it is quarantined.
const MAX_FAILED_WORKERS: usize = 3;
/// Lapsed leases after which a job is quarantined.
pub const MAX_LAPSES: u32 = 8;
/// How often failures are taken off a job. Without a limit, jobs that fail everywhere would exclude one
/// worker after the other and never be quarantined.
const MAX_DISCOUNTS: u32 = 3;
/// How long jobs that are done or cancelled are remembered.
pub const MAX_DONE_AGE: Millis = Millis(60 * 60 * 1000);
/// How long quarantined and unknown jobs are remembered, so that they outlast a long weekend.
pub const MAX_ATTENTION_AGE: Millis = Millis(4 * 24 * 60 * 60 * 1000);
/// Most jobs that are remembered, ended ones included.
pub const MAX_JOBS: usize = 20_000;
/// Ended jobs are forgotten early until at most this many jobs are remembered.
const EARLY_FORGET_JOBS: usize = MAX_JOBS / 4 * 3;
/// Log time between two searches for ended jobs that can be forgotten.
const FORGET_INTERVAL: Millis = Millis(60 * 1000);

/// What the fold knows besides the jobs.
#[derive(Clone, Copy)]
pub struct JobContext<'a> {
    /// The configuration in force.
    pub config: &'a FleetConfig,
    /// Log time of the record.
    pub now: LogTime,
    /// Members of the pools.
    pub pools: &'a dyn PoolMembers,
}

/// Number of remembered jobs by state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JobCounts {
    /// Cancelled jobs.
    pub cancelled: usize,
    /// Jobs that ran to their end.
    pub done: usize,
    /// Leased jobs.
    pub leased: usize,
    /// Quarantined jobs.
    pub quarantined: usize,
    /// Queued jobs.
    pub queued: usize,
    /// Jobs with an unknown outcome.
    pub unknown: usize,
}

/// All jobs that are remembered.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobLedger {
    estimates: SizeEstimates,
    forgotten_at: LogTime,
    grants: GrantNumber,
    healths: WorkerHealths,
    ignored: SortedMap<Rejection, u64>,
    jobs: SortedMap<JobId, Job>,
    /// Unfinished jobs by pool, so that a plan does not walk the ended jobs and the other pools.
    unfinished_by_pool: SortedMap<PoolName, SortedMap<JobId, ()>>,
    unfinished: SortedMap<OrganisationName, u32>,
}

impl JobLedger {
    /// Returns the jobs in order of id.
    pub fn jobs(&self) -> &SortedMap<JobId, Job> {
        &self.jobs
    }

    /// Returns a job.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Iterates over the unfinished jobs of a pool in order of id.
    pub fn unfinished(&self, pool: &PoolName) -> impl Iterator<Item = (JobId, &Job)> {
        let ids = self
            .unfinished_by_pool
            .get(pool)
            .into_iter()
            .flat_map(SortedMap::iter);
        ids.filter_map(|(id, ())| Some((*id, self.jobs.get(id)?)))
    }

    /// Iterates over the jobs that ended without a result and need attention, in order of id.
    pub fn needing_attention(&self) -> impl Iterator<Item = (JobId, &Job)> {
        let jobs = self.jobs.iter().map(|(id, job)| (*id, job));
        jobs.filter(|(_, job)| needs_attention(job))
    }

    /// Returns the job that is leased under this attempt.
    pub fn leased(&self, lease: LeaseRef) -> Option<&Job> {
        let job = self.jobs.get(&lease.job)?;
        (job.lease()?.grant == lease.grant).then_some(job)
    }

    /// Returns the number of the latest grant.
    pub fn latest_grant(&self) -> GrantNumber {
        self.grants
    }

    /// Returns the sizes learned from reported usage.
    pub fn estimates(&self) -> &SizeEstimates {
        &self.estimates
    }

    /// Returns the health of the workers.
    pub fn healths(&self) -> &WorkerHealths {
        &self.healths
    }

    /// Returns how many items of batches were ignored, by reason.
    pub fn ignored(&self) -> &SortedMap<Rejection, u64> {
        &self.ignored
    }

    /// Returns the number of remembered jobs by state.
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

    /// Applies a change.
    ///
    /// # Errors
    /// The reason for which the record, or the last item of a batch without any accepted item, was
    /// ignored.
    pub fn apply(&mut self, context: &JobContext, record: &JobRecord) -> Result<(), Rejection> {
        self.forget(context.now);
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
            JobRecord::Mark { marks } => self.batch(marks, JobLedger::mark),
            JobRecord::Readmit { worker } => self.readmit(worker),
        }
    }

    fn batch<T>(
        &mut self,
        items: &[T],
        mut apply: impl FnMut(&mut Self, &T) -> Result<(), Rejection>,
    ) -> Result<(), Rejection> {
        let mut accepted = false;
        let mut last = Rejection::InvalidJob;
        for item in items.iter().take(MAX_BATCH) {
            match apply(self, item) {
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
            let same = job.digest == spec.digest();
            return if same {
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
        check_quota(context.config, &self.unfinished, &spec.organisation)?;
        if self.jobs.len() >= MAX_JOBS {
            return Err(Rejection::TooManyJobs);
        }
        self.jobs.insert(id, Job::new(context.now, spec.clone()));
        self.count_unfinished(&spec.organisation, 1);
        self.index_unfinished(id, &spec.pool, true);
        Ok(())
    }

    fn grant(&mut self, context: &JobContext, item: &GrantItem) -> Result<(), Rejection> {
        let now = context.now;
        let pool = context.pools.pool_of(&item.worker.host);
        let pool = pool.ok_or(Rejection::UnknownHost)?;
        if self.healths.is_excluded(&item.worker) {
            return Err(Rejection::WorkerExcluded);
        }
        let job = self.jobs.get_mut(&item.job).ok_or(Rejection::UnknownJob)?;
        // The host may have moved since the author looked.
        if job.state != JobState::Queued || job.version != item.version || job.spec.pool != *pool {
            return Err(Rejection::StaleVersion);
        }
        self.healths.forget_older(&item.worker);
        self.grants.0 += 1;
        job.attempts += 1;
        job.unplaceable = false;
        let lease = Lease {
            expiry: now + LEASE_DURATION,
            grant: self.grants,
            granted: now,
            worker: item.worker.clone(),
        };
        job.enter(now, JobState::Leased(lease));
        Ok(())
    }

    /// Extends a lease. An expired lease may be extended while nobody has ended it: the job was not
    /// granted again, so a worker that still runs it need not be interrupted after an outage of the log.
    fn renew(&mut self, now: LogTime, lease: LeaseRef) -> Result<(), Rejection> {
        let job = self.leased_job(lease)?;
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
        let late = !matches!(
            job.state,
            JobState::Cancelled | JobState::Done | JobState::Leased(_)
        );
        let lapsed = job.lapsed.as_ref().filter(|_| late);
        let lease = job.lease().or(lapsed);
        let lease = lease.filter(|lease| lease.grant == item.lease.grant);
        let worker = lease.ok_or(Rejection::NotHolder)?.worker.clone();
        self.estimates.observe(now, &job.spec, &item.usage);
        self.healths.succeed(&worker);
        self.change(now, item.lease.job, JobState::Done);
        Ok(())
    }

    fn fail(&mut self, context: &JobContext, item: &FailItem) -> Result<(), Rejection> {
        let id = item.lease.job;
        let job = self.jobs.get(&id).ok_or(Rejection::UnknownJob)?;
        let lease = job.lease().filter(|lease| lease.grant == item.lease.grant);
        let worker = lease.ok_or(Rejection::NotHolder)?.worker.clone();
        // A non-idempotent job that started may have had effects, so it must not run again.
        let runs_again = job.spec.idempotent || !item.started;
        let state = match runs_again {
            true => JobState::Queued,
            false => JobState::Quarantined(QuarantineReason::FailedAfterStart),
        };
        self.estimates.raise_memory(&job.spec, &item.usage);
        self.change(context.now, id, state);
        self.record_worker_failure(context, id, &worker);
        Ok(())
    }

    /// Decides whether a failure counts against the job or against the worker.
    fn record_worker_failure(&mut self, context: &JobContext, id: JobId, worker: &WorkerId) {
        let excluded = self.healths.is_excluded(worker);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if excluded && job.discounts < MAX_DISCOUNTS {
            job.discounts += 1;
            return;
        }
        job.failures.push(worker.clone());
        let suspects_worker = job.discounts < MAX_DISCOUNTS;
        let pool = job.spec.pool.clone();
        if suspects_worker {
            let size = context.pools.pool_size(&pool);
            if self.healths.fail(context.now, worker, id, &pool, size) {
                self.discount_failures(context.now, worker);
            }
        }
        self.quarantine_if_due(context.now, id);
    }

    /// Takes the failures on an excluded worker off all jobs, and queues those again that were
    /// quarantined because of them.
    fn discount_failures(&mut self, now: LogTime, worker: &WorkerId) {
        let mut cleared = Vec::new();
        for (id, job) in self.jobs.iter_mut() {
            let before = job.failures.len();
            if job.discounts < MAX_DISCOUNTS {
                job.failures.retain(|failed| failed != worker);
            }
            if job.failures.len() < before {
                job.discounts += 1;
                cleared.push(*id);
            }
        }
        let reason = JobState::Quarantined(QuarantineReason::FailedTooOften);
        for id in cleared {
            let job = self.jobs.get(&id).filter(|job| job.state == reason);
            if job.is_some_and(|job| !has_failed_too_often(job)) {
                self.change(now, id, JobState::Queued);
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
        self.change(now, id, JobState::Quarantined(reason));
        self.healths.clear_failures(id);
    }

    fn release(&mut self, now: LogTime, item: &ReleaseItem) -> Result<(), Rejection> {
        let job = self.leased_job(item.lease)?;
        // Work after the checkpoint was saved may have had effects that a resumed run repeats.
        if item.checkpoint.is_some() && !job.spec.idempotent {
            return Err(Rejection::JobState);
        }
        match item.checkpoint.is_some() {
            true => job.checkpoint.clone_from(&item.checkpoint),
            false => job.passed_over = job.lease().map(|lease| lease.worker.host.clone()),
        }
        self.change(now, item.lease.job, JobState::Queued);
        Ok(())
    }

    fn lapse(&mut self, now: LogTime, item: LeaseRef) -> Result<(), Rejection> {
        let job = self.leased_job(item)?;
        let lease = job.lease().cloned().ok_or(Rejection::NotHolder)?;
        if now <= lease.expiry {
            return Err(Rejection::LeaseValid);
        }
        job.lapses += 1;
        job.passed_over = Some(lease.worker.host.clone());
        job.lapsed = Some(lease);
        let state = match (job.spec.idempotent, job.lapses >= MAX_LAPSES) {
            (false, _) => JobState::Unknown,
            (true, true) => JobState::Quarantined(QuarantineReason::LapsedTooOften),
            (true, false) => JobState::Queued,
        };
        self.change(now, item.job, state);
        Ok(())
    }

    fn cancel(&mut self, now: LogTime, id: JobId) -> Result<(), Rejection> {
        let job = self.jobs.get(&id).ok_or(Rejection::UnknownJob)?;
        if !job.state.is_unfinished() {
            return Err(Rejection::JobState);
        }
        self.change(now, id, JobState::Cancelled);
        Ok(())
    }

    fn mark(&mut self, item: &MarkItem) -> Result<(), Rejection> {
        let job = self.jobs.get_mut(&item.job).ok_or(Rejection::UnknownJob)?;
        if job.state != JobState::Queued || job.version != item.version {
            return Err(Rejection::StaleVersion);
        }
        job.unplaceable = item.unplaceable;
        job.version.0 += 1;
        Ok(())
    }

    fn readmit(&mut self, worker: &WorkerId) -> Result<(), Rejection> {
        match self.healths.readmit(worker) {
            true => Ok(()),
            false => Err(Rejection::StaleVersion),
        }
    }

    /// Returns the job that is leased under this attempt for modification.
    fn leased_job(&mut self, lease: LeaseRef) -> Result<&mut Job, Rejection> {
        let job = self.jobs.get_mut(&lease.job).ok_or(Rejection::UnknownJob)?;
        match job.lease() {
            Some(held) if held.grant == lease.grant => Ok(job),
            _ => Err(Rejection::NotHolder),
        }
    }

    fn change(&mut self, now: LogTime, id: JobId, state: JobState) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let before = job.state.is_unfinished();
        let after = state.is_unfinished();
        job.enter(now, state);
        if before == after {
            return;
        }
        let organisation = job.spec.organisation.clone();
        let pool = job.spec.pool.clone();
        self.count_unfinished(&organisation, if after { 1 } else { -1 });
        self.index_unfinished(id, &pool, after);
    }

    fn count_unfinished(&mut self, organisation: &OrganisationName, change: i32) {
        let count = self
            .unfinished
            .get(organisation)
            .copied()
            .unwrap_or_default();
        match count.saturating_add_signed(change) {
            0 => self.unfinished.remove(organisation),
            count => self.unfinished.insert(organisation.clone(), count),
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

    /// Forgets jobs that ended long ago. Unfinished jobs are never forgotten.
    fn forget(&mut self, now: LogTime) {
        if now.since(self.forgotten_at) < FORGET_INTERVAL {
            return;
        }
        self.forgotten_at = now;
        self.jobs.retain(|_, job| !is_forgettable(now, job));
        let excess = self.jobs.len().saturating_sub(EARLY_FORGET_JOBS);
        if excess > 0 {
            self.forget_early(now, excess);
        }
    }

    /// Forgets `excess` ended jobs, done and cancelled ones before those that need attention, the
    /// oldest first. Jobs whose id can still be submitted stay.
    fn forget_early(&mut self, now: LogTime, excess: usize) {
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
    job.failed_workers() >= MAX_FAILED_WORKERS || job.failures.len() >= MAX_FAILURES
}

fn needs_attention(job: &Job) -> bool {
    matches!(job.state, JobState::Quarantined(_) | JobState::Unknown)
}

fn is_forgettable(now: LogTime, job: &Job) -> bool {
    let age = now.since(job.changed);
    match job.state {
        JobState::Cancelled | JobState::Done => age > MAX_DONE_AGE,
        JobState::Quarantined(_) | JobState::Unknown => age > MAX_ATTENTION_AGE,
        JobState::Leased(_) | JobState::Queued => false,
    }
}
