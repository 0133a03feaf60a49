use {
    goldcreststall_dispatch::runners::RunnerKey,
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Most start commands in flight to one runner. Each takes a connection; without a limit a flood of jobs opens one for
/// every work item that it starts at a runner, for which small hosts have neither the memory nor the file descriptors.
const STARTS_PER_RUNNER: usize = 4;
/// Semaphores that the runners share; more than there are runners, so that two rarely share one.
const SLOTS: usize = 1_024;

/// Limits the start commands in flight to each runner.
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
    /// Waits until a start command may be sent to a runner; the command counts until the permit is dropped.
    pub(super) async fn acquire(&self, runner: RunnerKey) -> Option<OwnedSemaphorePermit> {
        let slot = Arc::clone(&self.slots[runner.0 as usize % SLOTS]);
        // Fails only for a closed semaphore, and these are never closed.
        slot.acquire_owned().await.ok()
    }
}
