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
const SLOTS: usize = 1_024;

/// Limits the commands to start that are under way to each runner.
#[derive(Clone)]
pub(super) struct StartLimiter {
    slots: Arc<Vec<Arc<Semaphore>>>,
}

impl Default for StartLimiter {
    fn default() -> Self {
        let slots = (0..SLOTS).map(|_| Arc::new(Semaphore::new(STARTS_PER_RUNNER)));
        Self {
            slots: Arc::new(slots.collect()),
        }
    }
}

impl StartLimiter {
    /// Waits for the turn of a command to a runner; the turn ends when the permit is dropped.
    pub(super) async fn enter(&self, runner: RunnerKey) -> Option<OwnedSemaphorePermit> {
        let slot = Arc::clone(&self.slots[runner.0 as usize % SLOTS]);
        // Gates are never closed.
        slot.acquire_owned().await.ok()
    }
}
