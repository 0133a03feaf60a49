use {
    super::{
        RenewRequest, StartRequest, TaskReport, TaskRequest, ThrottleRequest, WorkerEndpoint,
        WorkerError, WorkerStatus,
    },
    async_trait::async_trait,
};

/// Controls tasks on workers. Every request may be repeated. `docs/PLATFORM.md` states what is assumed of workers.
#[async_trait]
pub trait WorkerService: Send + Sync {
    /// Returns the tasks of a worker and what they use.
    ///
    /// # Errors
    /// `WorkerError`; the request has no effect.
    async fn status(&self, worker: &WorkerEndpoint) -> Result<WorkerStatus, WorkerError>;

    /// Starts a task. A worker that already knows the attempt returns its state.
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

    /// Stops a task. An attempt that has not arrived at the worker yet will be refused.
    ///
    /// # Errors
    /// `WorkerError`; the task may be stopped unless it is `NotSent` or `Refused`.
    async fn stop(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerError>;

    /// Makes the worker refuse an attempt permanently unless it has started, and returns its state.
    ///
    /// # Errors
    /// `WorkerError`; the attempt may be refused unless it is `NotSent` or `Refused`.
    async fn fence(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerError>;

    /// Removes the report of an attempt that has ended. The worker still refuses to start it again.
    ///
    /// # Errors
    /// `WorkerError`; the report may be removed unless it is `NotSent` or `Refused`.
    async fn forget(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<(), WorkerError>;

    /// Makes a task save a checkpoint and stop.
    ///
    /// # Errors
    /// `WorkerError`; the checkpoint may be saved unless it is `NotSent` or `Refused`.
    async fn checkpoint(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerError>;

    /// Limits the share of processor time that a task may use.
    ///
    /// # Errors
    /// `WorkerError`; the limit may be in force unless it is `NotSent` or `Refused`.
    async fn throttle(
        &self,
        worker: &WorkerEndpoint,
        request: &ThrottleRequest,
    ) -> Result<TaskReport, WorkerError>;
}
