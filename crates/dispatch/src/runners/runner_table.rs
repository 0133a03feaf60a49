use {
    super::{RunnerKey, RunnerReport, RunnerState},
    goldcreststall_core::ids::LocalTime,
};

/// All lifetimes of runners that matter: an arena with an index of the newest lifetime by id.
#[derive(Debug, Default)]
pub struct RunnerTable {
    by_id: Vec<(String, RunnerKey)>,
    runners: Vec<Option<RunnerState>>,
}

impl RunnerTable {
    /// Adds a lifetime as the newest of its id and returns it with the one that it replaces.
    pub fn insert(
        &mut self,
        report: RunnerReport,
        now: LocalTime,
    ) -> (RunnerKey, Option<RunnerKey>) {
        let key = RunnerKey(self.runners.len() as u32);
        let replaced = match self.place(&report.id) {
            Ok(place) => Some(std::mem::replace(&mut self.by_id[place].1, key)),
            Err(place) => {
                self.by_id.insert(place, (report.id.clone(), key));
                None
            }
        };
        self.runners.push(Some(RunnerState::new(report, now)));
        (key, replaced)
    }

    /// Finds the newest lifetime of an id.
    pub fn find(&self, id: &str) -> Option<RunnerKey> {
        let place = self.place(id).ok()?;
        Some(self.by_id[place].1)
    }

    /// Returns a runner.
    pub fn get(&self, key: RunnerKey) -> Option<&RunnerState> {
        self.runners.get(key.0 as usize)?.as_ref()
    }

    /// Returns a runner for changes.
    pub fn get_mut(&mut self, key: RunnerKey) -> Option<&mut RunnerState> {
        self.runners.get_mut(key.0 as usize)?.as_mut()
    }

    /// Forgets a lifetime.
    pub fn remove(&mut self, key: RunnerKey) -> Option<RunnerState> {
        let runner = self.runners.get_mut(key.0 as usize)?.take()?;
        if let Ok(place) = self.place(&runner.report.id)
            && self.by_id[place].1 == key
        {
            self.by_id.remove(place);
        }
        Some(runner)
    }

    /// Returns all lifetimes in the order in which they were seen.
    pub fn all(&self) -> impl Iterator<Item = (RunnerKey, &RunnerState)> {
        let keys = (0_u32..).map(RunnerKey);
        keys.zip(&self.runners)
            .filter_map(|(key, runner)| runner.as_ref().map(|runner| (key, runner)))
    }

    /// Returns the keys of all lifetimes.
    pub fn keys(&self) -> Vec<RunnerKey> {
        self.all().map(|(key, _)| key).collect()
    }

    fn place(&self, id: &str) -> Result<usize, usize> {
        self.by_id.binary_search_by(|(own, _)| own.as_str().cmp(id))
    }
}
