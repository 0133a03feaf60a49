use {
    super::{
        RenewRequest, StartRequest, TaskReport, TaskRequest, ThrottleRequest, WorkerEndpoint,
        WorkerError, WorkerStatus,
    },
    async_trait::async_trait,
};

/// Runs tasks on workers. Every request may be repeated; `docs/PLATFORM.md` states what is
/// assumed of workers.
#[async_trait]
pub trait WorkerService: Send + Sync {
    /// Returns the tasks of a worker and what they use.
    ///
    /// # Errors
    /// `WorkerError`; the request has no effect.
    async fn status(&self, worker: &WorkerEndpoint) -> Result<WorkerStatus, WorkerError>;

    /// Starts a task. When the attempt is known, the worker answers with its state.
    ///
    /// # Errors
    /// `WorkerError`; the task may have started unless it is `NotSent` or `Refused`.
    async fn start(
        &self,
        worker: &WorkerEndpoint,
        request: &StartRequest,
    ) -> Result<TaskReport, WorkerError>;

    /// Extends the lease of a task.
    ///
    /// # Errors
    /// `WorkerError`; the lease may be extended unless it is `NotSent` or `Refused`.
    async fn renew(
        &self,
        worker: &WorkerEndpoint,
        request: &RenewRequest,
    ) -> Result<TaskReport, WorkerError>;

    /// Stops a task, or refuses an attempt that has not arrived yet.
    ///
    /// # Errors
    /// `WorkerError`; the task may be stopped unless it is `NotSent` or `Refused`.
    async fn stop(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerError>;

    /// Refuses an attempt for good unless it has begun, and returns its state.
    ///
    /// # Errors
    /// `WorkerError`; the attempt may be refused unless it is `NotSent` or `Refused`.
    async fn fence(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerError>;

    /// Drops the report of an attempt that has ended. The worker still refuses to start it again.
    ///
    /// # Errors
    /// `WorkerError`; the report may be dropped unless it is `NotSent` or `Refused`.
    async fn forget(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<(), WorkerError>;

    /// Saves the progress of a task and stops it.
    ///
    /// # Errors
    /// `WorkerError`; the task may be saved unless it is `NotSent` or `Refused`.
    async fn checkpoint(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerError>;

    /// Limits the processor time of a task.
    ///
    /// # Errors
    /// `WorkerError`; the limit may be in force unless it is `NotSent` or `Refused`.
    async fn throttle(
        &self,
        worker: &WorkerEndpoint,
        request: &ThrottleRequest,
    ) -> Result<TaskReport, WorkerError>;
}
