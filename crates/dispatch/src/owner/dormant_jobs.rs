use {
    super::OwnerState,
    crate::jobs::{JobId, JobKey, JobState},
};

impl OwnerState {
    /// Creates the work items of all recovered jobs if they fit together, as they did at an earlier owner with as much
    /// memory; else only of those for which there is memory beside new jobs.
    pub(super) fn wake_recovered(&mut self) {
        let dormant = self.dormant_jobs.iter();
        let jobs = dormant.filter_map(|key| self.jobs.get(*key));
        let added: usize = jobs
            .map(|job| job.bytes_with_items() - job.held_bytes())
            .sum();
        if self.jobs.held().total + added > self.job_memory.bytes {
            self.wake_dormant();
            return;
        }
        let last_run = self.last_earlier_run();
        for key in std::mem::take(&mut self.dormant_jobs) {
            self.jobs.wake(key, last_run);
        }
    }

    /// Creates the work items of dormant jobs that would be accepted now as new ones, in the order of their recovery. One job
    /// that ends by itself has them in any case, so that all such jobs have their turn.
    pub(super) fn wake_dormant(&mut self) {
        if self.dormant_jobs.is_empty() {
            return;
        }
        let mut has_ending = self.has_ending_items();
        for key in std::mem::take(&mut self.dormant_jobs) {
            let Some(job) = self.jobs.get(key) else {
                continue;
            };
            if !job.is_dormant || job.phase.is_final() {
                continue;
            }
            let is_next = !has_ending && !job.is_lasting();
            if is_next || self.job_memory.admits(self.jobs.held(), job) {
                has_ending |= !job.is_lasting();
                self.wake(key);
            } else {
                self.dormant_jobs.push(key);
            }
        }
    }

    /// Creates the work items of a dormant job, of which a runner has listed one.
    pub(super) fn wake_listed(&mut self, id: JobId) {
        if self.dormant_jobs.is_empty() {
            return;
        }
        let key = self.jobs.find(id);
        let job = key.and_then(|key| Some((key, self.jobs.get(key)?)));
        if let Some((key, job)) = job
            && job.is_dormant
        {
            self.wake(key);
        }
    }

    /// Returns whether an unfinished job that ends by itself has work items.
    fn has_ending_items(&self) -> bool {
        let has_items =
            |job: &JobState| !job.phase.is_final() && !job.is_lasting() && !job.items.is_empty();
        let unfinished = self.jobs.unfinished().iter();
        let mut jobs = unfinished.filter_map(|key| self.jobs.get(*key));
        jobs.any(has_items)
    }

    fn wake(&mut self, key: JobKey) {
        let last_run = self.last_earlier_run();
        self.jobs.wake(key, last_run);
        self.placement_due = true;
        if let Some(id) = self.jobs.get(key).map(|job| job.id) {
            let detail = format!("job_bytes={}", self.jobs.held().total);
            self.log_event("job woken", id.to_string(), detail);
        }
    }
}
