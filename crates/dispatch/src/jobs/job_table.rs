use super::{ItemKey, ItemName, JobId, JobKey, JobState, WorkItem};

/// All jobs that the owner knows: an arena with an index by id.
#[derive(Debug, Default)]
pub struct JobTable {
    by_id: Vec<(JobId, JobKey)>,
    jobs: Vec<Option<JobState>>,
    open: Vec<JobKey>,
}

impl JobTable {
    /// Adds a job; the id must not be in the table.
    pub fn insert(&mut self, job: JobState) -> JobKey {
        let key = JobKey(self.jobs.len() as u32);
        match self.place(job.id) {
            Ok(place) => self.by_id[place].1 = key,
            Err(place) => self.by_id.insert(place, (job.id, key)),
        }
        if !job.phase.is_final() {
            self.open.push(key);
        }
        self.jobs.push(Some(job));
        key
    }

    /// Finds a job by its id.
    pub fn find(&self, id: JobId) -> Option<JobKey> {
        let place = self.place(id).ok()?;
        Some(self.by_id[place].1)
    }

    /// Returns a job.
    pub fn get(&self, key: JobKey) -> Option<&JobState> {
        self.jobs.get(key.0 as usize)?.as_ref()
    }

    /// Returns a job for changes.
    pub fn get_mut(&mut self, key: JobKey) -> Option<&mut JobState> {
        self.jobs.get_mut(key.0 as usize)?.as_mut()
    }

    /// Finds a work item by its wire name.
    pub fn find_item(&self, name: &ItemName) -> Option<ItemKey> {
        let job = self.find(name.job)?;
        let item = self.get(job)?.find_item(name)?;
        Some(ItemKey { job, item })
    }

    /// Returns a work item with its job.
    pub fn item(&self, key: ItemKey) -> Option<(&JobState, &WorkItem)> {
        let job = self.get(key.job)?;
        Some((job, job.items.get(key.item as usize)?))
    }

    /// Returns a work item for changes.
    pub fn item_mut(&mut self, key: ItemKey) -> Option<&mut WorkItem> {
        self.get_mut(key.job)?.items.get_mut(key.item as usize)
    }

    /// Forgets a job.
    pub fn remove(&mut self, key: JobKey) -> Option<JobState> {
        let job = self.jobs.get_mut(key.0 as usize)?.take()?;
        if let Ok(place) = self.place(job.id) {
            self.by_id.remove(place);
        }
        self.open.retain(|open| *open != key);
        Some(job)
    }

    /// Returns the jobs that are not final, in the order of their arrival.
    pub fn open(&self) -> &[JobKey] {
        &self.open
    }

    /// Takes final jobs out of [`JobTable::open`].
    pub fn close_final(&mut self) {
        let jobs = &self.jobs;
        let is_open = |key: &JobKey| {
            let job = jobs[key.0 as usize].as_ref();
            job.is_some_and(|job| !job.phase.is_final())
        };
        self.open.retain(is_open);
    }

    /// Returns all jobs with their keys, by id.
    pub fn all(&self) -> impl Iterator<Item = (JobKey, &JobState)> {
        let job = |(_, key): &(JobId, JobKey)| self.get(*key).map(|job| (*key, job));
        self.by_id.iter().filter_map(job)
    }

    fn place(&self, id: JobId) -> Result<usize, usize> {
        self.by_id.binary_search_by_key(&id, |(id, _)| *id)
    }
}
