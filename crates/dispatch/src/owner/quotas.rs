use {
    super::{OwnerState, ready_items::ReadyItem},
    crate::{
        jobs::{ItemKey, JobState, WorkItem},
        organisations::{OrganisationKey, ResourceUse},
    },
};

/// Use that runs of an earlier owner may have in one pool.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedUse<'a> {
    service: &'a str,
    organisation: OrganisationKey,
    /// Use that takes capacity of runners.
    counted: ResourceUse,
    /// Processor time of filling work, which takes no capacity.
    filling_cpu: u64,
}

impl OwnerState {
    /// Returns the organisation of a work item and the capacity that one run of it takes of the quota.
    pub(super) fn quota_demand(&self, key: ItemKey) -> (OrganisationKey, ResourceUse) {
        match self.jobs.item(key) {
            Some((job, item)) => (
                job.organisation_key,
                ResourceUse::of_step(job.step_of(item), 1),
            ),
            None => (OrganisationKey::NONE, ResourceUse::default()),
        }
    }

    /// Returns whether the quota of its organisation lets a work item start now, and with it all members of its gang.
    /// Logs an organisation that has reached its quota.
    pub(super) fn fits_quota(&mut self, ready: &ReadyItem) -> bool {
        let organisation = ready.organisation;
        if organisation == OrganisationKey::NONE {
            return true;
        }
        let Some((job, item)) = self.jobs.item(ready.key) else {
            return false;
        };
        let step = job.step_of(item);
        let count = if step.gang { step.count } else { 1 };
        let demand = ResourceUse::of_step(step, count);
        // An owner that has not read the configuration knows no quotas.
        let has_rules = self.rules.version > 0;
        if has_rules && self.organisations.allows(organisation, &demand) {
            return true;
        }
        if self.organisations.record_over_quota(organisation, count) {
            let used = self.organisations.total_use(organisation);
            let cap = self.organisations.cap(organisation);
            let detail = format!(
                "used_cpu={} used_mem_mb={} used_gpu={} cap_cpu={} cap_mem_mb={} cap_gpu={} demand_cpu={} has_rules={has_rules}",
                used.cpu, used.mem_mb, used.gpu, cap.cpu, cap.mem_mb, cap.gpu, demand.cpu
            );
            let name = job.organisation.clone().unwrap_or_default();
            self.log_event("quota reached", name, detail);
        }
        false
    }

    /// Counts what runs of an earlier owner may use on runners that have not answered this one: all work items of recovered
    /// jobs that are not done and that no runner has listed, but no more than the capacity of those runners.
    pub(super) fn count_unconfirmed(&mut self) {
        if self.recovered && !self.has_assumed_use {
            return;
        }
        let mut uses: Vec<UnconfirmedUse> = Vec::new();
        if !self.recovered {
            let jobs = self.jobs.all().map(|(_, job)| job);
            let jobs = jobs.filter(|job| job.unconfirmed && job.organisation.is_some());
            uses.extend(jobs.map(unconfirmed_use));
        }
        uses.sort_unstable_by_key(|part| (part.service, part.organisation));
        let assumed: Vec<(OrganisationKey, ResourceUse)> = uses
            .chunk_by(|left, right| {
                (left.service, left.organisation) == (right.service, right.organisation)
            })
            .map(|parts| {
                let mut counted = ResourceUse::default();
                let mut filling_cpu = 0_u64;
                for part in parts {
                    counted = counted.plus(&part.counted);
                    filling_cpu = filling_cpu.saturating_add(part.filling_cpu);
                }
                let service = parts[0].service;
                if let Some(limit) = self.hosts.unanswered_capacity(service, &self.runners) {
                    counted = counted.min(&limit);
                    if limit == ResourceUse::default() {
                        filling_cpu = 0;
                    }
                }
                counted.cpu = counted.cpu.saturating_add(filling_cpu);
                (parts[0].organisation, counted)
            })
            .collect();
        self.has_assumed_use = !assumed.is_empty();
        self.organisations.set_assumed(assumed);
    }
}

fn unconfirmed_use(job: &JobState) -> UnconfirmedUse<'_> {
    let mut counted = ResourceUse::default();
    let mut filling_cpu = 0_u64;
    if job.is_dormant {
        // What an earlier owner has started of it is not known.
        for step in &job.spec.steps {
            let count = step.count.saturating_mul(job.spec.occurrences());
            counted = counted.plus(&ResourceUse::of_step(step, count));
        }
    }
    // The members of a gang that is done may still be stopping.
    let may_run = |item: &&WorkItem| item.runs.is_empty() && (!item.done || job.step_of(item).gang);
    for item in job.items.iter().filter(may_run) {
        let step = job.step_of(item);
        counted = counted.plus(&ResourceUse::from(step.demand()));
        filling_cpu = filling_cpu.saturating_add(u64::from(step.cpu - step.counted_cpu()));
    }
    UnconfirmedUse {
        service: &job.queue.service,
        organisation: job.organisation_key,
        counted,
        filling_cpu,
    }
}
