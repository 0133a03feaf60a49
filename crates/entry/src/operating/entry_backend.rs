use {
    super::{change_record::change_record, fleet_reports, job_reports, status_reports},
    crate::{
        clock::BootClock,
        control::{ControlHandle, ProposeError},
    },
    async_trait::async_trait,
    goldcreststall_core::{
        config::{ConfigMistake, FleetConfig},
        ids::{DataCentre, Millis, RecordId},
        ledger::{FleetState, RecordOutcome, Rejection},
    },
    goldcreststall_operators::{
        AuditPage, AuditQuery, ChangeOutcome, ChangeRequest, ConfigReport, HostQuery, HostReport,
        JobPage, JobQuery, JobReport, OperatorBackend, OperatorChange, OperatorError,
        OperatorErrorKind, PoolReport, StatusReport, WaveQuery, WaveReport,
    },
    goldcreststall_platform::hosts::HostListing,
    slog::{Logger, info},
};

/// How long to wait for a change to be read back from the log.
const CHANGE_TIMEOUT: Millis = Millis(5_000);

/// Handles operators' requests: answers queries from the fleet state and appends changes to the log.
pub struct EntryBackend {
    clock: BootClock,
    control: ControlHandle,
    data_centre: DataCentre,
    logger: Logger,
}

impl EntryBackend {
    /// Creates a backend of the entry host in `data_centre`.
    pub fn new(control: ControlHandle, data_centre: DataCentre, logger: Logger) -> Self {
        Self {
            clock: BootClock,
            control,
            data_centre,
            logger,
        }
    }

    async fn read<T: Send + 'static>(
        &self,
        read: impl FnOnce(&FleetState, &HostListing) -> T + Send + 'static,
    ) -> Result<T, OperatorError> {
        if self.control.view().is_none() {
            return Err(OperatorError::new(
                OperatorErrorKind::NotReady,
                "this entry host has no state yet",
            ));
        }
        let result = self.control.read(read).await;
        result.ok_or_else(|| {
            OperatorError::new(
                OperatorErrorKind::Draining,
                "this entry host is shutting down",
            )
        })
    }

    /// Returns the outcome of a record that is already in the log.
    async fn known_outcome(
        &self,
        request: RecordId,
    ) -> Result<Option<RecordOutcome>, OperatorError> {
        self.read(move |state, _| state.outcome(request)).await
    }

    async fn outcome(
        &self,
        change_request: &ChangeRequest,
    ) -> Result<Option<ChangeOutcome>, OperatorError> {
        let known = self.known_outcome(change_request.request_id).await?;
        Ok(known.map(|known| match known.result {
            Ok(()) => ChangeOutcome::Accepted {
                offset: known.offset,
            },
            Err(rejection) => rejected(change_request, rejection),
        }))
    }

    async fn propose(
        &self,
        change_request: &ChangeRequest,
    ) -> Result<ChangeOutcome, OperatorError> {
        let request = change_request.clone();
        let record = self
            .read(move |state, listing| change_record(state, listing, &request))
            .await??;
        let deadline = self.clock.now() + CHANGE_TIMEOUT;
        match self.control.propose_record(record, deadline).await {
            Err(ProposeError::Unconfirmed) => Ok(ChangeOutcome::NotConfirmed {
                reason: ProposeError::Unconfirmed.to_string(),
            }),
            Err(ProposeError::Rejected(rejection)) => Ok(rejected(change_request, rejection)),
            Ok(()) => {
                let outcome = self.outcome(change_request).await?;
                Ok(outcome.unwrap_or(ChangeOutcome::NotConfirmed {
                    reason: "the record is in the log, its offset is not known".to_owned(),
                }))
            }
        }
    }
}

#[async_trait]
impl OperatorBackend for EntryBackend {
    async fn change(&self, change_request: ChangeRequest) -> Result<ChangeOutcome, OperatorError> {
        if let Some(outcome) = self.outcome(&change_request).await? {
            return Ok(outcome);
        }
        if let OperatorChange::StartWave {
            max_stopping: Some(_),
            ..
        } = change_request.change
        {
            // Accepting a limit that waves do not observe would mislead the operator.
            return Ok(ChangeOutcome::Rejected {
                mistakes: Vec::new(),
                reason: "max_stopping is not supported; the budget limits the stops".to_owned(),
            });
        }
        if !self.control.is_log_available() {
            return Err(OperatorError::new(
                OperatorErrorKind::StoreUnavailable,
                "the log service cannot be reached from this entry host",
            ));
        }
        let outcome = self.propose(&change_request).await;
        info!(self.logger, "ledger: an operator requested a change"; "operator" => change_request.operator.as_str(), "change" => change_summary(&change_request.change), "outcome" => ?outcome);
        outcome
    }

    async fn validate_config(&self, document: String) -> Result<Vec<ConfigMistake>, OperatorError> {
        Ok(mistakes(&document))
    }

    async fn config(&self) -> Result<ConfigReport, OperatorError> {
        self.read(|state, _| ConfigReport {
            document: state.config.document().to_owned(),
            version: state.config.version(),
        })
        .await
    }

    async fn pools(&self) -> Result<Vec<PoolReport>, OperatorError> {
        self.read(|state, _| fleet_reports::pools(state)).await
    }

    async fn hosts(&self, query: HostQuery) -> Result<Vec<HostReport>, OperatorError> {
        self.read(move |state, _| fleet_reports::hosts(state, &query))
            .await
    }

    async fn waves(&self, query: WaveQuery) -> Result<Vec<WaveReport>, OperatorError> {
        self.read(move |state, listing| fleet_reports::waves(state, listing, &query))
            .await
    }

    async fn jobs(&self, query: JobQuery) -> Result<JobPage, OperatorError> {
        self.read(move |state, _| job_reports::page(state, &query))
            .await
    }

    async fn job(&self, id: RecordId) -> Result<JobReport, OperatorError> {
        self.read(move |state, _| job_reports::find(state, id))
            .await?
    }

    async fn audit(&self, query: AuditQuery) -> Result<AuditPage, OperatorError> {
        self.read(move |state, _| fleet_reports::audit(state, &query))
            .await?
    }

    async fn status(&self) -> Result<StatusReport, OperatorError> {
        let peer_state = std::sync::Arc::clone(self.control.peer_state());
        let entry = self.control.entry().clone();
        let data_centre = self.data_centre.clone();
        let ready = self.control.view().is_some();
        let report = self.control.read(move |state, listing| {
            status_reports::status(state, listing, &peer_state, &entry, data_centre, ready)
        });
        report.await.ok_or_else(|| {
            OperatorError::new(OperatorErrorKind::Draining, "this entry host is stopping")
        })
    }
}

fn mistakes(document: &str) -> Vec<ConfigMistake> {
    match FleetConfig::try_from(document) {
        Ok(_) => Vec::new(),
        Err(error) => error.mistakes,
    }
}

fn rejected(change_request: &ChangeRequest, rejection: Rejection) -> ChangeOutcome {
    let mistakes = match &change_request.change {
        OperatorChange::PublishConfig { document, .. } => mistakes(document),
        _ => Vec::new(),
    };
    ChangeOutcome::Rejected {
        mistakes,
        reason: rejection.to_string(),
    }
}

/// Returns a short form of a change for log lines, without the configuration document, which would fill many lines.
fn change_summary(change: &OperatorChange) -> String {
    match change {
        OperatorChange::PublishConfig { base, .. } => format!("publish after {}", base.0),
        other => format!("{other:?}"),
    }
}
