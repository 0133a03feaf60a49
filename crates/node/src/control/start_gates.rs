use {
    goldcreststall_dispatch::runners::RunnerKey,
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Commands to start that are under way to one runner at a time. Each takes a connection; without a limit a flood opens
/// as many to each runner as it starts work items there, which small hosts have neither the memory nor the descriptors
/// for.
const STARTS_PER_RUNNER: usize = 4;
/// Gates that the runners share; more than there are runners, so that two seldom share one.
const GATES: usize = 1_024;

/// Limits the commands to start that are under way to each runner.
#[derive(Clone)]
pub(super) struct StartGates {
    gates: Arc<Vec<Arc<Semaphore>>>,
}

impl Default for StartGates {
    fn default() -> Self {
        let gates = (0..GATES).map(|_| Arc::new(Semaphore::new(STARTS_PER_RUNNER)));
        Self {
            gates: Arc::new(gates.collect()),
        }
    }
}

impl StartGates {
    /// Waits for the turn of a command to a runner; the turn ends when the permit is dropped.
    pub(super) async fn enter(&self, runner: RunnerKey) -> Option<OwnedSemaphorePermit> {
        let gate = Arc::clone(&self.gates[runner.0 as usize % GATES]);
        // Gates are never closed.
        gate.acquire_owned().await.ok()
    }
}
