//! When the recovered jobs of a pool may start: work of an earlier owner may still run on runners that have not answered this
//! one.

use {
    super::OwnerState,
    crate::jobs::{JobKey, JobState},
    goldcreststall_core::ids::LocalTime,
};

/// Hold calls in a row without a response after which a runner that has never answered counts as unreachable.
const UNREACHABLE_MISSES: u32 = 2;

impl OwnerState {
    /// Allows recovered jobs to start in each pool that can have no unknown work of an earlier owner: all of its
    /// runners have answered, or all earlier leases have lapsed and the runners that can be reached have answered. A
    /// runner lists work that has ended until an owner acknowledges it, whatever became of the lease.
    pub(super) fn recover(&mut self, now: LocalTime) {
        if self.recovered || !self.has_runner_list {
            return;
        }
        let waited = now >= self.started + self.recovery_wait();
        let mut services: Vec<String> = self.unrecovered_services();
        services.retain(|service| {
            let lapsed = waited && !self.has_unsettled_restart(Some(service), now);
            self.has_pool_answered(service) || (lapsed && self.has_pool_been_called(service))
        });
        for service in &services {
            self.recover_pool(service, waited);
        }
        self.recovered =
            self.unrecovered_services().is_empty() && (waited || self.have_all_pools_answered());
    }

    /// Returns whether [`Self::has_pool_answered`] holds for all pools in use. It is false until the configuration,
    /// which names the pools, was read.
    fn have_all_pools_answered(&self) -> bool {
        let pools = &self.rules.services;
        let has_answered = |name: &str| self.has_pool_answered(name);
        let mut in_use = pools.iter().filter(|pool| !pool.spare);
        !pools.is_empty() && in_use.all(|pool| has_answered(&pool.name))
    }

    fn unrecovered_services(&self) -> Vec<String> {
        let jobs = self
            .jobs
            .unfinished()
            .iter()
            .filter_map(|key| self.jobs.get(*key));
        let mut services: Vec<String> = jobs
            .filter(|job| job.unconfirmed)
            .map(|job| job.queue.service.clone())
            .collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    fn recover_pool(&mut self, service: &str, waited: bool) {
        let mut jobs = 0;
        for key in self.jobs.unfinished().to_vec() {
            if let Some(job) = self.jobs.get_mut(key)
                && job.queue.service == service
            {
                jobs += u32::from(job.unconfirmed);
                job.unconfirmed = false;
            }
        }
        self.settle_ended_jobs(service);
        let detail = format!("pool={service} jobs={jobs} lease_waited={waited}");
        self.log_event("recovery settled", format!("token {}", self.token), detail);
    }

    /// Stops counting recovered jobs with a final phase against the quotas: none of their runs is left unlisted.
    fn settle_ended_jobs(&mut self, service: &str) {
        let is_settled = |job: &JobState| {
            job.phase.is_final() && job.unconfirmed && job.queue.service == service
        };
        let ended: Vec<JobKey> = self
            .jobs
            .all()
            .filter(|(_, job)| is_settled(job))
            .map(|(key, _)| key)
            .collect();
        for key in ended {
            if let Some(job) = self.jobs.get_mut(key) {
                job.unconfirmed = false;
            }
        }
    }

    /// Returns whether every runner that may have work of the pool has answered this owner.
    fn has_pool_answered(&self, service: &str) -> bool {
        let all_fenced = || {
            let mut members = self.runners.all().map(|(_, runner)| runner);
            members.all(|runner| {
                runner.fenced || !runner.is_present() || runner.report.service != service
            })
        };
        let answered = self.hosts.pool_answered(service, &self.runners);
        self.hosts.listed_at.is_some() && answered.unwrap_or_else(all_fenced)
    }

    /// Returns whether every listed runner of the pool has answered this owner or cannot be reached.
    fn has_pool_been_called(&self, service: &str) -> bool {
        let mut members = self.runners.all().map(|(_, runner)| runner);
        members.all(|runner| {
            let settled = runner.fenced || runner.missed_holds >= UNREACHABLE_MISSES;
            settled || !runner.is_present() || runner.report.service != service
        })
    }

    /// Returns whether work of an earlier owner may still run on runners that have not answered this owner.
    pub(super) fn is_recovering(&self, now: LocalTime) -> bool {
        let waits =
            now < self.started + self.recovery_wait() || self.has_unsettled_restart(None, now);
        !self.recovered && waits
    }
}
