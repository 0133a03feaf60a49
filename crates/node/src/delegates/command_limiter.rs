use {
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
    xxhash_rust::xxh3::xxh3_64,
};

/// Most starts, stops and paces that one entry host has in flight to one runner. Each takes a connection, and a runner
/// accepts a limited number from all entry hosts together; a cancelled job can cause a stop for each of its work items.
const MAX_COMMANDS_PER_RUNNER: usize = 4;
/// More than there are runners, so that two runners rarely share a semaphore.
const SEMAPHORE_COUNT: u64 = 1_024;

/// Limits the commands that this entry host has in flight to each runner. Hold calls are not counted: the owner sends one
/// at a time to each runner.
#[derive(Clone, Debug)]
pub struct CommandLimiter {
    semaphores: Arc<Vec<Arc<Semaphore>>>,
}

impl Default for CommandLimiter {
    fn default() -> Self {
        let semaphores =
            (0..SEMAPHORE_COUNT).map(|_| Arc::new(Semaphore::new(MAX_COMMANDS_PER_RUNNER)));
        Self {
            semaphores: Arc::new(semaphores.collect()),
        }
    }
}

impl CommandLimiter {
    /// Waits until a command may be sent to the runner with the id `runner`; it counts until the permit is dropped. What
    /// allows the command has to be checked after the wait.
    pub(super) async fn acquire(&self, runner: &str) -> Option<OwnedSemaphorePermit> {
        let index = xxh3_64(runner.as_bytes()) % SEMAPHORE_COUNT;
        let semaphore = Arc::clone(&self.semaphores[index as usize]);
        // Fails only for a closed semaphore, and these are never closed.
        semaphore.acquire_owned().await.ok()
    }
}
