use {
    goldcreststall_dispatch::runners::RunnerKey,
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Most start commands in flight to one runner. Each takes a connection; without a limit a flood of jobs opens one for
/// every work item that it starts at a runner, for which small hosts have neither the memory nor the file descriptors.
const MAX_STARTS_PER_RUNNER: usize = 4;
/// More than there are runners, so that two runners rarely share a semaphore.
const SEMAPHORE_COUNT: usize = 1_024;

/// Limits the start commands in flight to each runner.
#[derive(Clone)]
pub(super) struct StartLimiter {
    semaphores: Arc<Vec<Arc<Semaphore>>>,
}

impl Default for StartLimiter {
    fn default() -> Self {
        let semaphores =
            (0..SEMAPHORE_COUNT).map(|_| Arc::new(Semaphore::new(MAX_STARTS_PER_RUNNER)));
        Self {
            semaphores: Arc::new(semaphores.collect()),
        }
    }
}

impl StartLimiter {
    /// Waits until a start command may be sent to a runner; the command counts until the permit is dropped.
    pub(super) async fn acquire(&self, runner: RunnerKey) -> Option<OwnedSemaphorePermit> {
        let semaphore = Arc::clone(&self.semaphores[runner.0 as usize % SEMAPHORE_COUNT]);
        // Fails only for a closed semaphore, and these are never closed.
        semaphore.acquire_owned().await.ok()
    }
}
