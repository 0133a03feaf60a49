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

/// Handles the calls of operators.
///
/// Every method may fail with `NotReady` while the entry host has no state, and with `Internal`.
#[async_trait]
pub trait OperatorBackend: Send + Sync {
    /// Appends a change to the log and waits until its record has been read back.
    ///
    /// `change_request.request_id` is the id of the log record. When the log already holds a record with this id, the
    /// outcome of that record is returned and nothing is appended. A change that depends on the state must not be
    /// rejected because of the state before its record has been searched for: an earlier attempt may have changed the
    /// state. When the id is too old for the log to recognise and its record is not found, the outcome is
    /// [`ChangeOutcome::NotConfirmed`], because an earlier attempt may have been accepted.
    ///
    /// # Errors
    /// `StoreUnavailable` and `Draining` only when this attempt appended nothing; otherwise the outcome is
    /// [`ChangeOutcome::NotConfirmed`].
    async fn change(&self, change_request: ChangeRequest) -> Result<ChangeOutcome, OperatorError>;

    /// Returns every mistake in a configuration; none means that it is valid.
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
    /// `NotFound` when no job has this id.
    async fn job(&self, id: RecordId) -> Result<JobReport, OperatorError>;

    /// Returns a page of an audit trail in the order of the log.
    ///
    /// # Errors
    /// `NotFound` when the host, wave or version was never known.
    async fn audit(&self, query: AuditQuery) -> Result<AuditPage, OperatorError>;

    /// Returns the state of the entry host.
    async fn status(&self) -> Result<StatusReport, OperatorError>;
}
