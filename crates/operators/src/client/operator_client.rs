use {
    super::change_call::ChangeCall,
    crate::{
        AuditPage, AuditQuery, AuditSubject, ChangeOutcome, ChangeRequest, ConfigReport, HostQuery,
        HostReport, JobPage, JobQuery, JobReport, OperatorBackend, OperatorError,
        OperatorErrorKind, PoolReport, StatusReport, WaveQuery, WaveReport,
        generated::v1::{self as raw, operators_client::OperatorsClient},
        wire::config_mistake,
    },
    async_trait::async_trait,
    goldcreststall_core::{config::ConfigMistake, ids::RecordId},
    std::{net::SocketAddr, time::Duration},
    tonic::transport::{Channel, Endpoint},
};

/// Calls one entry host.
///
/// The client implements [`OperatorBackend`], so that code written against the trait can also call a remote entry
/// host.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    client: OperatorsClient<Channel>,
}

impl OperatorClient {
    /// Connects to an entry host. `timeout` limits the connection attempt and, separately, each call.
    ///
    /// # Errors
    /// `Unreachable` when no connection can be opened; in this case nothing was sent.
    pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<Self, OperatorError> {
        let unreachable = |error: tonic::transport::Error| unreachable(&error);
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(unreachable)?
            .connect_timeout(timeout)
            .timeout(timeout);
        let channel = endpoint.connect().await.map_err(unreachable)?;
        Ok(Self {
            client: OperatorsClient::new(channel),
        })
    }
}

fn unreachable(error: &tonic::transport::Error) -> OperatorError {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    OperatorError::new(
        OperatorErrorKind::Unreachable,
        format!("no connection: {cause}"),
    )
}

/// Converts every row of a response.
fn convert_rows<R, T: TryFrom<R, Error = OperatorError>>(
    raw: Vec<R>,
) -> Result<Vec<T>, OperatorError> {
    raw.into_iter().map(T::try_from).collect()
}

#[async_trait]
impl OperatorBackend for OperatorClient {
    async fn change(&self, change_request: ChangeRequest) -> Result<ChangeOutcome, OperatorError> {
        let response = ChangeCall::send(self.client.clone(), change_request).await?;
        response.into_inner().try_into()
    }

    async fn validate_config(&self, document: String) -> Result<Vec<ConfigMistake>, OperatorError> {
        let request = raw::ValidateConfigRequest { document };
        let response = self.client.clone().validate_config(request).await?;
        let mistakes = response.into_inner().mistakes.into_iter();
        Ok(mistakes.map(config_mistake).collect())
    }

    async fn config(&self) -> Result<ConfigReport, OperatorError> {
        let response = self
            .client
            .clone()
            .get_config(raw::GetConfigRequest {})
            .await?;
        Ok(response.into_inner().into())
    }

    async fn pools(&self) -> Result<Vec<PoolReport>, OperatorError> {
        let response = self
            .client
            .clone()
            .list_pools(raw::ListPoolsRequest {})
            .await?;
        convert_rows(response.into_inner().pools)
    }

    async fn hosts(&self, query: HostQuery) -> Result<Vec<HostReport>, OperatorError> {
        let request = raw::ListHostsRequest::from(query);
        let response = self.client.clone().list_hosts(request).await?;
        convert_rows(response.into_inner().hosts)
    }

    async fn waves(&self, query: WaveQuery) -> Result<Vec<WaveReport>, OperatorError> {
        let request = raw::ListWavesRequest::from(query);
        let response = self.client.clone().list_waves(request).await?;
        convert_rows(response.into_inner().waves)
    }

    async fn jobs(&self, query: JobQuery) -> Result<JobPage, OperatorError> {
        let request = raw::ListJobsRequest::from(query);
        let response = self.client.clone().list_jobs(request).await?;
        response.into_inner().try_into()
    }

    async fn job(&self, id: RecordId) -> Result<JobReport, OperatorError> {
        let request = raw::GetJobRequest { id: id.to_string() };
        let response = self.client.clone().get_job(request).await?;
        response.into_inner().job.unwrap_or_default().try_into()
    }

    async fn audit(&self, query: AuditQuery) -> Result<AuditPage, OperatorError> {
        let mut client = self.client.clone();
        let range = Some(query.range.into());
        let response = match query.subject {
            AuditSubject::Host(host) => {
                let host = host.into();
                client
                    .audit_host(raw::AuditHostRequest { host, range })
                    .await?
            }
            AuditSubject::Wave(wave) => {
                let wave = wave.to_string();
                client
                    .audit_wave(raw::AuditWaveRequest { range, wave })
                    .await?
            }
            AuditSubject::Config(version) => {
                let version = version.map(|version| version.0);
                client
                    .audit_config(raw::AuditConfigRequest { range, version })
                    .await?
            }
        };
        response.into_inner().try_into()
    }

    async fn status(&self) -> Result<StatusReport, OperatorError> {
        let response = self
            .client
            .clone()
            .get_status(raw::GetStatusRequest {})
            .await?;
        response.into_inner().try_into()
    }
}
