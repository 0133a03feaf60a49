use {
    crate::{
        AuditPage, AuditQuery, ChangeOutcome, ChangeRequest, ConfigReport, HostQuery, HostReport,
        JobPage, JobQuery, JobReport, OperatorError, PoolReport, StatusReport, WaveQuery,
        WaveReport,
    },
    async_trait::async_trait,
    goldcreststall_core::{
        config::{ConfigMistake, FleetConfig},
        ids::RecordId,
    },
};

/// Answers the calls of operators.
///
/// Every method may fail with `NotReady` while there is no state, and with `Internal`.
#[async_trait]
pub trait OperatorBackend: Send + Sync {
    /// Makes a change and waits until it was read back from the log.
    ///
    /// `change_request.request_id` is the id of the log record. When the log already holds a record with this id, the
    /// outcome of that record is returned and nothing is appended. A change that depends on the state must
    /// not be rejected from the state before its record was looked for: the state may have changed because
    /// of the first attempt. An id that the log no longer recognises and whose record is not found is
    /// answered with [`ChangeOutcome::NotConfirmed`], because an earlier attempt may have been accepted.
    ///
    /// # Errors
    /// `StoreUnavailable` and `Draining` only when this attempt appended nothing; otherwise the outcome is
    /// [`ChangeOutcome::NotConfirmed`].
    async fn change(&self, change_request: ChangeRequest) -> Result<ChangeOutcome, OperatorError>;

    /// Returns every mistake in a configuration.
    async fn validate_config(&self, document: String) -> Result<Vec<ConfigMistake>, OperatorError> {
        let error = FleetConfig::try_from(document.as_str()).err();
        Ok(error.map(|error| error.mistakes).unwrap_or_default())
    }

    /// Returns the configuration in force.
    async fn config(&self) -> Result<ConfigReport, OperatorError>;

    /// Returns the pools in order of name.
    async fn pools(&self) -> Result<Vec<PoolReport>, OperatorError>;

    /// Returns hosts in order of name.
    async fn hosts(&self, query: HostQuery) -> Result<Vec<HostReport>, OperatorError>;

    /// Returns waves, the latest first.
    async fn waves(&self, query: WaveQuery) -> Result<Vec<WaveReport>, OperatorError>;

    /// Returns a page of jobs in order of id.
    async fn jobs(&self, query: JobQuery) -> Result<JobPage, OperatorError>;

    /// Returns one job.
    ///
    /// # Errors
    /// `NotFound` when there is none with this id.
    async fn job(&self, id: RecordId) -> Result<JobReport, OperatorError>;

    /// Returns a page of an audit trail in the order of the log.
    ///
    /// # Errors
    /// `NotFound` when the host, wave or version was never known.
    async fn audit(&self, query: AuditQuery) -> Result<AuditPage, OperatorError>;

    /// Returns the state of the entry host.
    async fn status(&self) -> Result<StatusReport, OperatorError>;
}
