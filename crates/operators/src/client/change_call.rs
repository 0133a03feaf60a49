use {
    crate::{
        ChangeRequest, JobSpec, OperatorChange, SeenHostVersion,
        generated::v1::{self as raw, operators_client::OperatorsClient},
    },
    goldcreststall_core::{
        config::ConfigVersion,
        ids::{HostName, PoolName, RecordId},
    },
    tonic::{Response, Status, transport::Channel},
};

type ChangeResult = Result<Response<raw::ChangeReply>, Status>;

/// A call that changes the fleet.
pub(super) struct ChangeCall {
    client: OperatorsClient<Channel>,
    head: Option<raw::ChangeHead>,
}

impl ChangeCall {
    /// Sends a change request.
    pub(super) async fn send(
        client: OperatorsClient<Channel>,
        change_request: ChangeRequest,
    ) -> ChangeResult {
        let head = raw::ChangeHead {
            operator: change_request.operator.as_str().to_owned(),
            request_id: change_request.request_id.to_string(),
        };
        let call = Self {
            client,
            head: Some(head),
        };
        call.send_change(change_request.change).await
    }

    async fn send_change(mut self, change: OperatorChange) -> ChangeResult {
        match change {
            OperatorChange::PublishConfig { base, document } => self.publish(base, document).await,
            OperatorChange::AddHost {
                data_centre,
                host,
                pool,
                rack,
            } => {
                let request = raw::AddHostRequest {
                    data_centre: data_centre.into(),
                    head: self.head,
                    host: host.into(),
                    pool: pool.into(),
                    rack: rack.into(),
                };
                self.client.add_host(request).await
            }
            OperatorChange::RemoveHost { host, seen } => self.remove_host(host, seen).await,
            OperatorChange::DrainHost { host, seen } => self.drain_host(host, seen).await,
            OperatorChange::UndrainHost { host, seen } => self.undrain_host(host, seen).await,
            OperatorChange::MoveHost { host, pool, seen } => self.move_host(host, pool, seen).await,
            OperatorChange::StartWave { max_stopping, pool } => {
                self.start_wave(max_stopping, pool).await
            }
            OperatorChange::PauseWave { seen, wave } => {
                let request = wave_request(self.head, wave, seen);
                self.client.pause_wave(request).await
            }
            OperatorChange::ResumeWave { seen, wave } => {
                let request = wave_request(self.head, wave, seen);
                self.client.resume_wave(request).await
            }
            OperatorChange::CancelWave { seen, wave } => {
                let request = wave_request(self.head, wave, seen);
                self.client.cancel_wave(request).await
            }
            OperatorChange::SubmitJob { spec } => self.submit_job(spec).await,
            OperatorChange::CancelJob { job } => self.cancel_job(job).await,
            OperatorChange::ReadmitWorker { worker } => self.readmit_worker(worker).await,
        }
    }

    async fn publish(mut self, base: ConfigVersion, document: String) -> ChangeResult {
        let request = raw::PublishConfigRequest {
            base_version: base.0,
            document,
            head: self.head,
        };
        self.client.publish_config(request).await
    }

    async fn remove_host(mut self, host: HostName, seen: Option<SeenHostVersion>) -> ChangeResult {
        let request = raw::RemoveHostRequest {
            head: self.head,
            host: host.into(),
            seen: seen.map(raw::HostVersion::from),
        };
        self.client.remove_host(request).await
    }

    async fn drain_host(mut self, host: HostName, seen: Option<SeenHostVersion>) -> ChangeResult {
        let request = raw::DrainHostRequest {
            head: self.head,
            host: host.into(),
            seen: seen.map(raw::HostVersion::from),
        };
        self.client.drain_host(request).await
    }

    async fn undrain_host(mut self, host: HostName, seen: Option<SeenHostVersion>) -> ChangeResult {
        let request = raw::UndrainHostRequest {
            head: self.head,
            host: host.into(),
            seen: seen.map(raw::HostVersion::from),
        };
        self.client.undrain_host(request).await
    }

    async fn move_host(
        mut self,
        host: HostName,
        pool: PoolName,
        seen: Option<SeenHostVersion>,
    ) -> ChangeResult {
        let request = raw::MoveHostRequest {
            head: self.head,
            host: host.into(),
            pool: pool.into(),
            seen: seen.map(raw::HostVersion::from),
        };
        self.client.move_host(request).await
    }

    async fn start_wave(mut self, max_stopping: Option<u32>, pool: PoolName) -> ChangeResult {
        let request = raw::StartWaveRequest {
            head: self.head,
            max_stopping,
            pool: pool.into(),
        };
        self.client.start_wave(request).await
    }

    async fn submit_job(mut self, spec: JobSpec) -> ChangeResult {
        let request = raw::SubmitJobRequest {
            head: self.head,
            spec: Some(spec.into()),
        };
        self.client.submit_job(request).await
    }

    async fn cancel_job(mut self, job: RecordId) -> ChangeResult {
        let request = raw::CancelJobRequest {
            head: self.head,
            job: job.to_string(),
        };
        self.client.cancel_job(request).await
    }

    async fn readmit_worker(mut self, worker: HostName) -> ChangeResult {
        let request = raw::ReadmitWorkerRequest {
            head: self.head,
            worker: worker.into(),
        };
        self.client.readmit_worker(request).await
    }
}

fn wave_request(
    head: Option<raw::ChangeHead>,
    wave: RecordId,
    seen: Option<u64>,
) -> raw::WaveRequest {
    raw::WaveRequest {
        head,
        seen,
        wave: wave.to_string(),
    }
}
