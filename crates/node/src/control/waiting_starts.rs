use {goldcreststall_dispatch::owner::RunName, parking_lot::Mutex, std::sync::Arc};

/// Runs whose start commands wait until they may be sent. A stop withdraws them: a start that is sent after its stop would
/// run unless another stop arrives. So does the restart of their runner, whose next instance would execute them.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitingStarts {
    names: Arc<Mutex<Vec<RunName>>>,
}

impl WaitingStarts {
    /// Adds a run whose start command begins to wait.
    pub(super) fn add(&self, name: RunName) {
        self.names.lock().push(name);
    }

    /// Removes a run; returns false if it was withdrawn.
    pub(super) fn remove(&self, name: &RunName) -> bool {
        let mut names = self.names.lock();
        let index = names.iter().position(|other| other == name);
        index.map(|index| names.swap_remove(index)).is_some()
    }
}
