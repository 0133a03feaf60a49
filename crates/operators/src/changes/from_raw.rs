//! Converts raw change requests to checked ones.

use {
    super::{ChangeRequest, JobSpec, OperatorChange, OperatorName, SeenHostVersion},
    crate::{OperatorError, generated::v1 as raw, wire::FieldValidator},
    goldcreststall_core::{
        config::ConfigVersion,
        ids::{HostName, RecordId},
    },
};

/// Checks the head of a change request together with its other fields.
struct ChangeValidator {
    fields: FieldValidator,
    operator: Option<OperatorName>,
    request_id: Option<RecordId>,
}

impl ChangeValidator {
    fn new(head: Option<raw::ChangeHead>) -> Self {
        let mut fields = FieldValidator::default();
        // A missing head is reported like a head with empty fields, which names both fields.
        let head = head.unwrap_or_default();
        let operator = fields.operator("head.operator", &head.operator);
        let request_id = fields.id("head.request_id", &head.request_id);
        Self {
            fields,
            operator,
            request_id,
        }
    }

    fn finish(
        self,
        build: impl FnOnce() -> Option<OperatorChange>,
    ) -> Result<ChangeRequest, OperatorError> {
        self.fields.finish_request(|| {
            Some(ChangeRequest {
                change: build()?,
                operator: self.operator?,
                request_id: self.request_id?,
            })
        })
    }

    fn host(&mut self, name: &str) -> Option<HostName> {
        self.fields.name("host", name)
    }
}

impl TryFrom<raw::PublishConfigRequest> for ChangeRequest {
    type Error = OperatorError;

    fn try_from(raw: raw::PublishConfigRequest) -> Result<Self, OperatorError> {
        ChangeValidator::new(raw.head).finish(|| {
            Some(OperatorChange::PublishConfig {
                base: ConfigVersion(raw.base_version),
                document: raw.document,
            })
        })
    }
}

impl TryFrom<raw::AddHostRequest> for ChangeRequest {
    type Error = OperatorError;

    fn try_from(raw: raw::AddHostRequest) -> Result<Self, OperatorError> {
        let mut validator = ChangeValidator::new(raw.head);
        let host = validator.host(&raw.host);
        let pool = validator.fields.name("pool", &raw.pool);
        let data_centre = validator.fields.name("data_centre", &raw.data_centre);
        let rack = validator.fields.name("rack", &raw.rack);
        validator.finish(|| {
            Some(OperatorChange::AddHost {
                data_centre: data_centre?,
                host: host?,
                pool: pool?,
                rack: rack?,
            })
        })
    }
}

macro_rules! implement_host_change {
    ($request:ident, $change:ident) => {
        impl TryFrom<raw::$request> for ChangeRequest {
            type Error = OperatorError;

            fn try_from(raw: raw::$request) -> Result<Self, OperatorError> {
                let mut validator = ChangeValidator::new(raw.head);
                let host = validator.host(&raw.host);
                let seen = raw.seen.map(SeenHostVersion::from);
                validator.finish(|| Some(OperatorChange::$change { host: host?, seen }))
            }
        }
    };
}

implement_host_change!(RemoveHostRequest, RemoveHost);
implement_host_change!(DrainHostRequest, DrainHost);
implement_host_change!(UndrainHostRequest, UndrainHost);

impl TryFrom<raw::MoveHostRequest> for ChangeRequest {
    type Error = OperatorError;

    fn try_from(raw: raw::MoveHostRequest) -> Result<Self, OperatorError> {
        let mut validator = ChangeValidator::new(raw.head);
        let host = validator.host(&raw.host);
        let pool = validator.fields.name("pool", &raw.pool);
        let seen = raw.seen.map(SeenHostVersion::from);
        validator.finish(|| {
            Some(OperatorChange::MoveHost {
                host: host?,
                pool: pool?,
                seen,
            })
        })
    }
}

impl TryFrom<raw::StartWaveRequest> for ChangeRequest {
    type Error = OperatorError;

    fn try_from(raw: raw::StartWaveRequest) -> Result<Self, OperatorError> {
        let mut validator = ChangeValidator::new(raw.head);
        let pool = validator.fields.name("pool", &raw.pool);
        if let Some(count) = raw.max_stopping {
            validator
                .fields
                .range("max_stopping", count, 1, OperatorChange::MAX_STOPPING);
        }
        validator.finish(|| {
            Some(OperatorChange::StartWave {
                max_stopping: raw.max_stopping,
                pool: pool?,
            })
        })
    }
}

/// What a call with a [`raw::WaveRequest`] does to its wave.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WaveAction {
    Pause,
    Resume,
    Cancel,
}

impl ChangeRequest {
    pub(crate) fn wave(raw: raw::WaveRequest, action: WaveAction) -> Result<Self, OperatorError> {
        let mut validator = ChangeValidator::new(raw.head);
        let wave = validator.fields.id("wave", &raw.wave);
        let seen = raw.seen;
        validator.finish(|| {
            let wave = wave?;
            Some(match action {
                WaveAction::Pause => OperatorChange::PauseWave { seen, wave },
                WaveAction::Resume => OperatorChange::ResumeWave { seen, wave },
                WaveAction::Cancel => OperatorChange::CancelWave { seen, wave },
            })
        })
    }
}

impl TryFrom<raw::SubmitJobRequest> for ChangeRequest {
    type Error = OperatorError;

    fn try_from(raw: raw::SubmitJobRequest) -> Result<Self, OperatorError> {
        let mut validator = ChangeValidator::new(raw.head);
        let spec = raw.spec.unwrap_or_default();
        let spec = JobSpec::check(&mut validator.fields, "spec", &spec);
        validator.finish(|| Some(OperatorChange::SubmitJob { spec: spec? }))
    }
}

impl TryFrom<raw::CancelJobRequest> for ChangeRequest {
    type Error = OperatorError;

    fn try_from(raw: raw::CancelJobRequest) -> Result<Self, OperatorError> {
        let mut validator = ChangeValidator::new(raw.head);
        let job = validator.fields.id("job", &raw.job);
        validator.finish(|| Some(OperatorChange::CancelJob { job: job? }))
    }
}

impl TryFrom<raw::ReadmitWorkerRequest> for ChangeRequest {
    type Error = OperatorError;

    fn try_from(raw: raw::ReadmitWorkerRequest) -> Result<Self, OperatorError> {
        let mut validator = ChangeValidator::new(raw.head);
        let worker = validator.fields.name("worker", &raw.worker);
        validator.finish(|| Some(OperatorChange::ReadmitWorker { worker: worker? }))
    }
}
