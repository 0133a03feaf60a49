use {
    crate::{
        AuditQuery, ChangeOutcome, ChangeRequest, HostQuery, JobQuery, OperatorBackend,
        OperatorChange, OperatorError, WaveQuery,
        changes::WaveAction,
        generated::v1::{
            self as raw,
            operators_server::{Operators, OperatorsServer},
        },
        wire::{FieldValidator, raw_mistakes},
    },
    goldcreststall_core::config::FleetConfig,
    std::sync::Arc,
    tonic::{Request, Response, Status, async_trait},
};

/// Serves a backend over gRPC.
pub struct OperatorServer {
    backend: Arc<dyn OperatorBackend>,
}

type RpcResult<T> = Result<Response<T>, Status>;

impl OperatorServer {
    /// Creates the service that is added to a tonic server.
    pub fn service(backend: Arc<dyn OperatorBackend>) -> OperatorsServer<Self> {
        OperatorsServer::new(Self { backend })
    }

    async fn change(
        &self,
        change_request: Result<ChangeRequest, OperatorError>,
    ) -> RpcResult<raw::ChangeReply> {
        let change_request = change_request?;
        let outcome = match rejected_config(&change_request.change) {
            Some(rejected) => rejected,
            None => self.backend.change(change_request).await?,
        };
        Ok(Response::new(outcome.into()))
    }

    async fn audit(&self, query: Result<AuditQuery, OperatorError>) -> RpcResult<raw::AuditReply> {
        let page = self.backend.audit(query?).await?;
        Ok(Response::new(page.into()))
    }
}

/// Rejects a configuration that is not valid. The check does not depend on the state, so it rejects the first call and
/// every repeated one alike.
fn rejected_config(change: &OperatorChange) -> Option<ChangeOutcome> {
    let OperatorChange::PublishConfig { document, .. } = change else {
        return None;
    };
    let error = FleetConfig::try_from(document.as_str()).err()?;
    Some(ChangeOutcome::Rejected {
        mistakes: error.mistakes,
        reason: "the configuration is not valid".to_owned(),
    })
}

/// Implements the calls that only check a request and hand it to `change` or `audit`, and the methods in `$rest`.
macro_rules! implement_operators {
    (changes { $($change:ident($change_request:ident),)+ } waves { $($wave:ident = $action:ident,)+ } audits { $($audit:ident($audit_request:ident),)+ } $($rest:item)+) => {
        #[async_trait]
        impl Operators for OperatorServer {
            $(async fn $change(&self, request: Request<raw::$change_request>) -> RpcResult<raw::ChangeReply> {
                self.change(request.into_inner().try_into()).await
            })+

            $(async fn $wave(&self, request: Request<raw::WaveRequest>) -> RpcResult<raw::ChangeReply> {
                self.change(ChangeRequest::wave(request.into_inner(), WaveAction::$action)).await
            })+

            $(async fn $audit(&self, request: Request<raw::$audit_request>) -> RpcResult<raw::AuditReply> {
                self.audit(request.into_inner().try_into()).await
            })+

            $($rest)+
        }
    };
}

implement_operators! {
    changes {
        publish_config(PublishConfigRequest),
        add_host(AddHostRequest),
        remove_host(RemoveHostRequest),
        drain_host(DrainHostRequest),
        undrain_host(UndrainHostRequest),
        move_host(MoveHostRequest),
        start_wave(StartWaveRequest),
        submit_job(SubmitJobRequest),
        cancel_job(CancelJobRequest),
        readmit_worker(ReadmitWorkerRequest),
    }
    waves {
        pause_wave = Pause,
        resume_wave = Resume,
        cancel_wave = Cancel,
    }
    audits {
        audit_host(AuditHostRequest),
        audit_wave(AuditWaveRequest),
        audit_config(AuditConfigRequest),
    }

    async fn validate_config(
        &self,
        request: Request<raw::ValidateConfigRequest>,
    ) -> RpcResult<raw::ValidateConfigReply> {
        let document = request.into_inner().document;
        let mistakes = self.backend.validate_config(document).await?;
        let mistakes = raw_mistakes(mistakes);
        Ok(Response::new(raw::ValidateConfigReply { mistakes }))
    }

    async fn get_config(&self, _: Request<raw::GetConfigRequest>) -> RpcResult<raw::GetConfigReply> {
        Ok(Response::new(self.backend.config().await?.into()))
    }

    async fn list_pools(&self, _: Request<raw::ListPoolsRequest>) -> RpcResult<raw::ListPoolsReply> {
        let pools = self.backend.pools().await?;
        let pools = pools.into_iter().map(raw::Pool::from).collect();
        Ok(Response::new(raw::ListPoolsReply { pools }))
    }

    async fn list_hosts(&self, request: Request<raw::ListHostsRequest>) -> RpcResult<raw::ListHostsReply> {
        let query = HostQuery::try_from(request.into_inner())?;
        let hosts = self.backend.hosts(query).await?;
        let hosts = hosts.into_iter().map(raw::Host::from).collect();
        Ok(Response::new(raw::ListHostsReply { hosts }))
    }

    async fn list_waves(&self, request: Request<raw::ListWavesRequest>) -> RpcResult<raw::ListWavesReply> {
        let query = WaveQuery::try_from(request.into_inner())?;
        let waves = self.backend.waves(query).await?;
        let waves = waves.into_iter().map(raw::Wave::from).collect();
        Ok(Response::new(raw::ListWavesReply { waves }))
    }

    async fn list_jobs(&self, request: Request<raw::ListJobsRequest>) -> RpcResult<raw::ListJobsReply> {
        let query = JobQuery::try_from(request.into_inner())?;
        Ok(Response::new(self.backend.jobs(query).await?.into()))
    }

    async fn get_job(&self, request: Request<raw::GetJobRequest>) -> RpcResult<raw::GetJobReply> {
        let mut validator = FieldValidator::default();
        let id = validator.id("id", &request.into_inner().id);
        let id = validator.finish_request(|| id)?;
        let job = self.backend.job(id).await?;
        Ok(Response::new(raw::GetJobReply { job: Some(job.into()) }))
    }

    async fn get_status(&self, _: Request<raw::GetStatusRequest>) -> RpcResult<raw::GetStatusReply> {
        Ok(Response::new(self.backend.status().await?.into()))
    }
}
