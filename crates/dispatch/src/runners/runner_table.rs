use {
    super::{DEFAULT_MAX_LEASE, RunnerKey, RunnerReport, RunnerState},
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Instances of runners, in an arena with an index of the newest instance by id.
#[derive(Debug)]
pub struct RunnerTable {
    by_id: Vec<(String, RunnerKey)>,
    runners: Vec<Option<RunnerState>>,
    /// Longest lease that a runner accepts.
    max_lease: Millis,
    /// Highest token of commands to instances that were removed.
    removed_token: u64,
}

impl Default for RunnerTable {
    fn default() -> Self {
        Self {
            by_id: Vec::new(),
            runners: Vec::new(),
            max_lease: DEFAULT_MAX_LEASE,
            removed_token: 0,
        }
    }
}

impl RunnerTable {
    /// Sets the longest lease that a runner accepts, for instances that are added from now on.
    pub fn set_max_lease(&mut self, max_lease: Millis) {
        self.max_lease = max_lease;
    }

    /// Returns the longest lease that a runner accepts.
    pub fn max_lease(&self) -> Millis {
        self.max_lease
    }

    /// Adds an instance as the newest of its id; returns its key and that of the instance that it replaces. `owner_token` is the
    /// lowest token of the owner's commands.
    pub fn insert(
        &mut self,
        report: RunnerReport,
        owner_token: u64,
        now: LocalTime,
    ) -> (RunnerKey, Option<RunnerKey>) {
        let key = RunnerKey(self.runners.len() as u32);
        let replaced = match self.index_of(&report.id) {
            Ok(index) => Some(std::mem::replace(&mut self.by_id[index].1, key)),
            Err(index) => {
                self.by_id.insert(index, (report.id.clone(), key));
                None
            }
        };
        let mut earlier_token = self.removed_token;
        if let Some(old) = replaced.and_then(|key| self.get_mut(key)) {
            old.listed = false;
            earlier_token = earlier_token.max(old.token);
        }
        let token = earlier_token.max(owner_token);
        let state = RunnerState::new(report, token, earlier_token, self.max_lease, now);
        self.runners.push(Some(state));
        (key, replaced)
    }

    /// Finds the newest instance of an id.
    pub fn find(&self, id: &str) -> Option<RunnerKey> {
        let index = self.index_of(id).ok()?;
        Some(self.by_id[index].1)
    }

    /// Returns an instance; none when it was removed.
    pub fn get(&self, key: RunnerKey) -> Option<&RunnerState> {
        self.runners.get(key.0 as usize)?.as_ref()
    }

    /// Returns an instance for changes; none when it was removed.
    pub fn get_mut(&mut self, key: RunnerKey) -> Option<&mut RunnerState> {
        self.runners.get_mut(key.0 as usize)?.as_mut()
    }

    /// Removes an instance; its key is not used again.
    pub fn remove(&mut self, key: RunnerKey) -> Option<RunnerState> {
        let runner = self.runners.get_mut(key.0 as usize)?.take()?;
        if let Ok(index) = self.index_of(&runner.report.id)
            && self.by_id[index].1 == key
        {
            self.by_id.remove(index);
        }
        // The next instance under the id would not know of the commands to this one.
        self.removed_token = self.removed_token.max(runner.token);
        Some(runner)
    }

    /// Returns all instances in the order in which they were first listed.
    pub fn all(&self) -> impl Iterator<Item = (RunnerKey, &RunnerState)> {
        let keys = (0_u32..).map(RunnerKey);
        keys.zip(&self.runners)
            .filter_map(|(key, runner)| runner.as_ref().map(|runner| (key, runner)))
    }

    /// Returns the keys of all instances.
    pub fn keys(&self) -> Vec<RunnerKey> {
        self.all().map(|(key, _)| key).collect()
    }

    fn index_of(&self, id: &str) -> Result<usize, usize> {
        self.by_id
            .binary_search_by(|(runner_id, _)| runner_id.as_str().cmp(id))
    }
}
