use {
    parking_lot::Mutex,
    std::sync::Arc,
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Most starts, stops and paces that one entry host has in flight to one runner. Each takes a connection, and a runner
/// accepts a limited number from all entry hosts together; a cancelled job can cause a stop for each of its work items.
pub const MAX_COMMANDS_PER_RUNNER: usize = 4;
/// Number of semaphores from which on those without permits in use are removed before one is added.
const PRUNE_LENGTH: usize = 1_024;

/// Id of a runner and its permits.
type LimiterRow = (String, Arc<Semaphore>);

/// Limits the commands in flight to each runner. Hold calls are not counted: the owner sends one at a time to each runner.
#[derive(Clone, Debug)]
pub struct CommandLimiter {
    max_commands: usize,
    /// Sorted by id.
    rows: Arc<Mutex<Vec<LimiterRow>>>,
}

impl CommandLimiter {
    /// Creates a limiter of `max_commands` in flight to each runner.
    pub fn new(max_commands: usize) -> Self {
        Self {
            max_commands,
            rows: Arc::default(),
        }
    }

    /// Waits until a command may be sent to the runner with the id `runner`; it counts until the permit is dropped. What
    /// allows the command has to be checked after the wait.
    pub async fn acquire(&self, runner: &str) -> Option<OwnedSemaphorePermit> {
        // Fails only for a closed semaphore, and these are never closed.
        self.semaphore(runner).acquire_owned().await.ok()
    }

    fn semaphore(&self, runner: &str) -> Arc<Semaphore> {
        let mut rows = self.rows.lock();
        if rows.len() >= PRUNE_LENGTH {
            // Permits and waiting commands hold a reference each.
            rows.retain(|(_, semaphore)| Arc::strong_count(semaphore) > 1);
        }
        match rows.binary_search_by(|(id, _)| id.as_str().cmp(runner)) {
            Ok(index) => Arc::clone(&rows[index].1),
            Err(index) => {
                let semaphore = Arc::new(Semaphore::new(self.max_commands));
                rows.insert(index, (runner.to_owned(), Arc::clone(&semaphore)));
                semaphore
            }
        }
    }
}
