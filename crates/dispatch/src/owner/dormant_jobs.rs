use {
    super::OwnerState,
    crate::jobs::{JobId, JobKey, JobState},
};

impl OwnerState {
    /// Creates the work items of dormant jobs for which there is memory, in the order of their recovery. One that would never
    /// fit gets them when it is the only unfinished job that has any.
    pub(super) fn wake_dormant(&mut self) {
        let jobs = &self.jobs;
        let is_dormant = |key: &JobKey| {
            let job = jobs.get(*key);
            job.is_some_and(|job| job.is_dormant && !job.phase.is_final())
        };
        self.dormant_jobs.retain(is_dormant);
        while let Some(key) = self.dormant_jobs.first().copied() {
            let Some(job) = self.jobs.get(key) else {
                return;
            };
            if !self.job_memory.admits(self.jobs.held(), job) && self.has_items() {
                return;
            }
            self.dormant_jobs.remove(0);
            self.wake(key);
        }
    }

    /// Creates the work items of a dormant job, of which a runner has listed one.
    pub(super) fn wake_listed(&mut self, id: JobId) {
        let key = self.jobs.find(id);
        let job = key.and_then(|key| Some((key, self.jobs.get(key)?)));
        if let Some((key, job)) = job
            && job.is_dormant
        {
            self.wake(key);
        }
    }

    /// Returns whether an unfinished job has work items.
    fn has_items(&self) -> bool {
        let unfinished = self.jobs.unfinished().iter();
        let mut jobs = unfinished.filter_map(|key| self.jobs.get(*key));
        jobs.any(|job: &JobState| !job.phase.is_final() && !job.items.is_empty())
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
