use {
    super::{ItemKey, ItemName, JobId, JobKey, JobState, StepKey, WorkItem, job_arena::JobArena},
    std::ops::Range,
};

/// Memory that jobs hold, in bytes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HeldMemory {
    /// Memory of all jobs.
    pub total: usize,
    /// Memory of the jobs that are long-running or recur.
    pub lasting: usize,
}

impl HeldMemory {
    fn of_job(job: &JobState) -> Self {
        let total = job.held_bytes();
        let lasting = if job.is_lasting() { total } else { 0 };
        Self { total, lasting }
    }

    fn add(&mut self, other: Self) {
        self.total += other.total;
        self.lasting += other.lasting;
    }

    fn remove(&mut self, other: Self) {
        self.total = self.total.saturating_sub(other.total);
        self.lasting = self.lasting.saturating_sub(other.lasting);
    }
}

/// All jobs known to the owner, in an arena with an index by id.
#[derive(Debug, Default)]
pub struct JobTable {
    by_id: Vec<(JobId, JobKey)>,
    jobs: JobArena,
    unfinished: Vec<JobKey>,
    held: HeldMemory,
}

impl JobTable {
    /// Adds a job. The id must not be in the table.
    pub fn insert(&mut self, job: JobState) -> JobKey {
        let key = self.jobs.next_key();
        match self.index_of(job.id) {
            Ok(index) => self.by_id[index].1 = key,
            Err(index) => self.by_id.insert(index, (job.id, key)),
        }
        if !job.phase.is_final() {
            self.unfinished.push(key);
        }
        self.held.add(HeldMemory::of_job(&job));
        self.jobs.push(job);
        key
    }

    /// Returns the memory that the jobs in the table hold.
    pub fn held(&self) -> HeldMemory {
        self.held
    }

    /// Creates the work items of a dormant job, see [`JobState::create_items`].
    pub fn wake(&mut self, key: JobKey, last_run: u32) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        self.held.remove(HeldMemory::of_job(job));
        job.create_items(last_run);
        self.held.add(HeldMemory::of_job(job));
    }

    /// Frees the data that only an unfinished job needs, see [`JobState::shrink`].
    pub fn shrink(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key).filter(|job| !job.is_shrunk()) else {
            return;
        };
        self.held.remove(HeldMemory::of_job(job));
        job.shrink();
        self.held.add(HeldMemory::of_job(job));
    }

    /// Sets the text of a recovered job, which is read after the other records.
    pub fn set_text(&mut self, key: JobKey, text: String) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        self.held.remove(HeldMemory::of_job(job));
        job.spec.spec = text;
        job.has_text = true;
        self.held.add(HeldMemory::of_job(job));
    }

    /// Finds a job by its id.
    pub fn find(&self, id: JobId) -> Option<JobKey> {
        let index = self.index_of(id).ok()?;
        Some(self.by_id[index].1)
    }

    /// Returns a job; none when it was removed.
    pub fn get(&self, key: JobKey) -> Option<&JobState> {
        self.jobs.get(key)
    }

    /// Returns a job for changes; none when it was removed.
    pub fn get_mut(&mut self, key: JobKey) -> Option<&mut JobState> {
        self.jobs.get_mut(key)
    }

    /// Finds a work item by its wire name.
    pub fn find_item(&self, name: &ItemName) -> Option<ItemKey> {
        let job = self.find(name.job)?;
        let item = self.get(job)?.find_item(name)?;
        Some(ItemKey { job, item })
    }

    /// Returns a work item and its job.
    pub fn item(&self, key: ItemKey) -> Option<(&JobState, &WorkItem)> {
        let job = self.get(key.job)?;
        Some((job, job.items.get(key.item as usize)?))
    }

    /// Returns the job of a step and the indexes of its work items; none when the job has ended or was removed. A key that
    /// was kept from an earlier round must be looked up here, because [`JobState::shrink`] removes the steps.
    pub fn unfinished_step(&self, key: StepKey) -> Option<(&JobState, Range<u32>)> {
        let job = self.get(key.job).filter(|job| !job.phase.is_final())?;
        Some((job, job.step_range(key.occurrence, key.step)))
    }

    /// Returns a work item for changes.
    pub fn item_mut(&mut self, key: ItemKey) -> Option<&mut WorkItem> {
        self.get_mut(key.job)?.items.get_mut(key.item as usize)
    }

    /// Removes a job; its key is not used again.
    pub fn remove(&mut self, key: JobKey) -> Option<JobState> {
        let job = self.jobs.take(key)?;
        if let Ok(index) = self.index_of(job.id) {
            self.by_id.remove(index);
        }
        self.unfinished.retain(|other| *other != key);
        self.held.remove(HeldMemory::of_job(&job));
        Some(job)
    }

    /// Returns the jobs without a final phase, in the order of their arrival; jobs that have reached one are still
    /// among them until [`JobTable::prune_unfinished`] is called.
    pub fn unfinished(&self) -> &[JobKey] {
        &self.unfinished
    }

    /// Removes the jobs with a final phase from [`JobTable::unfinished`].
    pub fn prune_unfinished(&mut self) {
        let jobs = &self.jobs;
        let is_unfinished = |key: &JobKey| {
            let job = jobs.get(*key);
            job.is_some_and(|job| !job.phase.is_final())
        };
        self.unfinished.retain(is_unfinished);
    }

    /// Returns all jobs with their keys, ordered by id.
    pub fn all(&self) -> impl Iterator<Item = (JobKey, &JobState)> {
        let job = |(_, key): &(JobId, JobKey)| self.get(*key).map(|job| (*key, job));
        self.by_id.iter().filter_map(job)
    }

    fn index_of(&self, id: JobId) -> Result<usize, usize> {
        self.by_id.binary_search_by_key(&id, |(id, _)| *id)
    }
}
