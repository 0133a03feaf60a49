use {
    super::{CallResponse, OwnerState},
    crate::{jobs::JobState, organisations::OrganisationKey, routes::FleetRules},
    goldcreststall_core::ids::{LocalTime, Millis},
};

const MILLIS_PER_SECOND: u64 = 1_000;
/// Shortest and longest time after which the caller of an organisation above its rate is told to retry.
const MIN_RETRY_AFTER: Millis = Millis(1_000);
const MAX_RETRY_AFTER: Millis = Millis(60_000);

/// Why a job is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The jobs that are held leave no memory for it.
    MemoryFull,
    /// The organisation is above its rate, and its pool has no free capacity or its quota does not allow all of its waiting
    /// work to run.
    OverRate,
    /// The job would be placed too late.
    PoolFull,
}

/// Number of refused jobs by reason, in the order of [`RefusalReason::ALL`].
pub type RefusalCounts = [u64; RefusalReason::ALL.len()];

impl RefusalReason {
    /// All reasons.
    pub const ALL: [Self; 3] = [Self::MemoryFull, Self::OverRate, Self::PoolFull];

    /// Returns the name of the reason in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::MemoryFull => "memory_full",
            Self::OverRate => "over_rate",
            Self::PoolFull => "pool_full",
        }
    }

    pub(super) fn response(self, retry_after: Millis) -> CallResponse {
        match self {
            Self::OverRate => CallResponse::OverRate(retry_after),
            Self::MemoryFull | Self::PoolFull => CallResponse::Busy(retry_after),
        }
    }
}

impl OwnerState {
    /// Sets the time over which the rate of an organisation's submissions is measured.
    pub fn set_quota_window(&mut self, quota_window: Millis) {
        self.quota_window = quota_window;
    }

    /// Returns how many jobs were refused in this term.
    pub fn refusal_counts(&self) -> RefusalCounts {
        self.refusals
    }

    /// Decides whether a job that is not known yet is accepted; otherwise returns the reason and the time after which the
    /// caller should retry. Jobs above the rate of their organisation are accepted while they can start.
    pub(super) fn check_submission(
        &mut self,
        job: &JobState,
        now: LocalTime,
    ) -> Result<(), (RefusalReason, Millis)> {
        let key = job.organisation_key;
        let window = self.quota_window;
        let is_rated = is_configured(&self.rules, job);
        if is_rated && !self.organisations.is_within_rate(key, window, now) {
            let is_short = self.short_services.contains(&job.queue.service);
            if is_short || self.organisations.is_at_quota(key) {
                let retry_after = self.retry_over_rate(key);
                self.organisations.count_refused(key, true);
                return Err((RefusalReason::OverRate, retry_after));
            }
        }
        if let Some(retry_after) = self.retry_after(job) {
            self.organisations.count_refused(key, false);
            return Err((RefusalReason::PoolFull, retry_after));
        }
        if let Some(retry_after) = self.retry_without_memory(job) {
            self.organisations.count_refused(key, false);
            return Err((RefusalReason::MemoryFull, retry_after));
        }
        if is_rated {
            self.organisations.record_submission(key, window, now);
        }
        Ok(())
    }

    /// Returns how long an organisation needs for its own waiting jobs at its own rate.
    fn retry_over_rate(&self, key: OrganisationKey) -> Millis {
        let waiting = u64::from(self.organisations.waiting_jobs(key));
        let weight = self.organisations.weight(key);
        let backlog = Millis(waiting.saturating_mul(MILLIS_PER_SECOND) / weight);
        backlog.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER)
    }
}

fn is_configured(rules: &FleetRules, job: &JobState) -> bool {
    let name = job.organisation.as_deref();
    name.is_some_and(|name| rules.organisation(name).is_some())
}
