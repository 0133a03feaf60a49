use goldcreststall_core::ids::Millis;

/// Figures of one organisation for operators.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OrganisationReport {
    /// Its name; empty for work without an organisation, and `None` for the sum of those that are not reported one by one.
    pub name: Option<String>,
    /// Processor time of its runs, in thousandths of a core.
    pub running_cpu: u64,
    /// Jobs of which no work item has started.
    pub waiting_jobs: u64,
    /// Work items that its quota kept from starting in the last pass of placement.
    pub over_quota: u64,
    /// Jobs refused in this term because it was above its rate.
    pub refused_over_rate: u64,
    /// Jobs refused in this term because they would have been placed too late.
    pub refused_pool_full: u64,
    /// Age of its oldest waiting job.
    pub oldest_wait: Millis,
}

impl OrganisationReport {
    /// Adds the figures of another organisation.
    pub(super) fn add(&mut self, other: &Self) {
        self.running_cpu += other.running_cpu;
        self.waiting_jobs += other.waiting_jobs;
        self.over_quota += other.over_quota;
        self.refused_over_rate += other.refused_over_rate;
        self.refused_pool_full += other.refused_pool_full;
        self.oldest_wait = self.oldest_wait.max(other.oldest_wait);
    }
}
