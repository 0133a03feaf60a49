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

/// Longest wait for a change to be read back from the log.
const CHANGE_WAIT: Millis = Millis(5_000);

/// Answers operators from the control state.
pub struct EntryBackend {
    clock: BootClock,
    control: ControlHandle,
    data_centre: DataCentre,
    logger: Logger,
}

impl EntryBackend {
    /// Creates a backend.
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

    /// Returns the outcome of a record that is in the log already.
    async fn known(&self, request: RecordId) -> Result<Option<RecordOutcome>, OperatorError> {
        self.read(move |state, _| state.outcome(request)).await
    }

    async fn outcome(
        &self,
        change_request: &ChangeRequest,
    ) -> Result<Option<ChangeOutcome>, OperatorError> {
        let known = self.known(change_request.request_id).await?;
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
        let asked = change_request.clone();
        let record = self
            .read(move |state, hosts| change_record(state, hosts, &asked))
            .await??;
        let deadline = self.clock.now() + CHANGE_WAIT;
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
            // Accepting a limit that no wave keeps would mislead the operator.
            return Ok(ChangeOutcome::Rejected {
                mistakes: Vec::new(),
                reason: "max_stopping is not supported; the budget limits the stops".to_owned(),
            });
        }
        if !self.control.log_is_up() {
            return Err(OperatorError::new(
                OperatorErrorKind::StoreUnavailable,
                "the log service cannot be reached from this entry host",
            ));
        }
        let outcome = self.propose(&change_request).await;
        info!(self.logger, "ledger: an operator asked for a change"; "operator" => change_request.operator.as_str(), "change" => change_name(&change_request.change), "outcome" => ?outcome);
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
        self.read(move |state, hosts| fleet_reports::waves(state, hosts, &query))
            .await
    }

    async fn jobs(&self, query: JobQuery) -> Result<JobPage, OperatorError> {
        self.read(move |state, _| job_reports::page(state, &query))
            .await
    }

    async fn job(&self, id: RecordId) -> Result<JobReport, OperatorError> {
        self.read(move |state, _| job_reports::one(state, id))
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
        let report = self.control.read(move |state, hosts| {
            status_reports::status(state, hosts, &peer_state, &entry, data_centre, ready)
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

/// Returns a change in short for the log; a configuration document would fill many lines.
fn change_name(change: &OperatorChange) -> String {
    match change {
        OperatorChange::PublishConfig { base, .. } => format!("publish after {}", base.0),
        other => format!("{other:?}"),
    }
}
