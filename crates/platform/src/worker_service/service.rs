use {
    super::{
        RenewRequest, StartRequest, TaskReport, TaskRequest, ThrottleRequest, WorkerEndpoint,
        WorkerError, WorkerStatus,
    },
    async_trait::async_trait,
};

/// Controls tasks on workers. Every request can safely be repeated. `docs/PLATFORM.md` states what is assumed of workers.
#[async_trait]
pub trait WorkerService: Send + Sync {
    /// Returns the tasks of a worker and what they use.
    ///
    /// # Errors
    /// `WorkerError`; the request changes nothing in any case.
    async fn status(&self, worker: &WorkerEndpoint) -> Result<WorkerStatus, WorkerError>;

    /// Starts a task. A worker that already knows the attempt returns its state.
    ///
    /// # Errors
    /// `WorkerError`; unless it is `NotSent` or `Refused`, the task may have started.
    async fn start(
        &self,
        worker: &WorkerEndpoint,
        request: &StartRequest,
    ) -> Result<TaskReport, WorkerError>;

    /// Extends the lease of a task.
    ///
    /// # Errors
    /// `WorkerError`; unless it is `NotSent` or `Refused`, the lease may have been extended.
    async fn renew(
        &self,
        worker: &WorkerEndpoint,
        request: &RenewRequest,
    ) -> Result<TaskReport, WorkerError>;

    /// Stops a task. An attempt that has not arrived at the worker yet will be refused.
    ///
    /// # Errors
    /// `WorkerError`; unless it is `NotSent` or `Refused`, the task may have been stopped.
    async fn stop(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerError>;

    /// Makes the worker refuse an attempt permanently unless it has started, and returns its state.
    ///
    /// # Errors
    /// `WorkerError`; unless it is `NotSent` or `Refused`, the attempt may have been refused permanently.
    async fn fence(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerError>;

    /// Removes the report of an attempt that has ended. The worker still refuses to start it again.
    ///
    /// # Errors
    /// `WorkerError`; unless it is `NotSent` or `Refused`, the report may have been removed.
    async fn forget(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<(), WorkerError>;

    /// Makes a task save a checkpoint and stop.
    ///
    /// # Errors
    /// `WorkerError`; unless it is `NotSent` or `Refused`, the task may save the checkpoint and stop.
    async fn checkpoint(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerError>;

    /// Limits the share of processor time that a task may use.
    ///
    /// # Errors
    /// `WorkerError`; unless it is `NotSent` or `Refused`, the limit may be in force.
    async fn throttle(
        &self,
        worker: &WorkerEndpoint,
        request: &ThrottleRequest,
    ) -> Result<TaskReport, WorkerError>;
}
