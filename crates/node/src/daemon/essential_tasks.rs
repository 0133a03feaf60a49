use {
    std::future::{Future, pending},
    tokio::task::JoinSet,
};

/// Tasks that the process needs as long as it lives.
///
/// The runtime contains a panic in the task that it occurs in. For the task of one call that is right; without one of
/// these, the process would answer callers and the load balancer but miss what the task does.
#[derive(Debug, Default)]
pub(super) struct EssentialTasks {
    tasks: JoinSet<()>,
}

impl EssentialTasks {
    /// Starts a task.
    pub(super) fn spawn(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }

    /// Waits until a task panics, and returns a description of the panic. A task that ends has done its work.
    pub(super) async fn panicked(&mut self) -> String {
        while let Some(ended) = self.tasks.join_next().await {
            if let Err(error) = ended {
                return error.to_string();
            }
        }
        pending().await
    }
}
