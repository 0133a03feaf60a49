//! Checks of the raw requests that ask for a change.

use {
    super::{ChangeRequest, JobSpec, OperatorChange, OperatorName, SeenHostVersion},
    crate::{OperatorError, generated::v1 as raw, wire::FieldCheck},
    goldcreststall_core::{
        config::ConfigVersion,
        ids::{HostName, RecordId},
    },
};

/// Checks the head of a request together with its other fields.
struct ChangeCheck {
    check: FieldCheck,
    operator: Option<OperatorName>,
    request_id: Option<RecordId>,
}

impl ChangeCheck {
    fn new(head: Option<raw::ChangeHead>) -> Self {
        let mut check = FieldCheck::default();
        // A missing head is reported like a head with empty fields, which names both fields.
        let head = head.unwrap_or_default();
        let operator = check.operator("head.operator", &head.operator);
        let request_id = check.id("head.request_id", &head.request_id);
        Self {
            check,
            operator,
            request_id,
        }
    }

    fn finish(
        self,
        build: impl FnOnce() -> Option<OperatorChange>,
    ) -> Result<ChangeRequest, OperatorError> {
        self.check.request(|| {
            Some(ChangeRequest {
                change: build()?,
                operator: self.operator?,
                request_id: self.request_id?,
            })
        })
    }

    fn host(&mut self, name: &str) -> Option<HostName> {
        self.check.name("host", name)
    }
}

impl TryFrom<raw::PublishConfigRequest> for ChangeRequest {
    type Error = OperatorError;

    fn try_from(raw: raw::PublishConfigRequest) -> Result<Self, OperatorError> {
        ChangeCheck::new(raw.head).finish(|| {
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
        let mut change_check = ChangeCheck::new(raw.head);
        let host = change_check.host(&raw.host);
        let pool = change_check.check.name("pool", &raw.pool);
        let data_centre = change_check.check.name("data_centre", &raw.data_centre);
        let rack = change_check.check.name("rack", &raw.rack);
        change_check.finish(|| {
            Some(OperatorChange::AddHost {
                data_centre: data_centre?,
                host: host?,
                pool: pool?,
                rack: rack?,
            })
        })
    }
}

macro_rules! host_change {
    ($request:ident, $change:ident) => {
        impl TryFrom<raw::$request> for ChangeRequest {
            type Error = OperatorError;

            fn try_from(raw: raw::$request) -> Result<Self, OperatorError> {
                let mut change_check = ChangeCheck::new(raw.head);
                let host = change_check.host(&raw.host);
                let seen = raw.seen.map(SeenHostVersion::from);
                change_check.finish(|| Some(OperatorChange::$change { host: host?, seen }))
            }
        }
    };
}

host_change!(RemoveHostRequest, RemoveHost);
host_change!(DrainHostRequest, DrainHost);
host_change!(UndrainHostRequest, UndrainHost);

impl TryFrom<raw::MoveHostRequest> for ChangeRequest {
    type Error = OperatorError;

    fn try_from(raw: raw::MoveHostRequest) -> Result<Self, OperatorError> {
        let mut change_check = ChangeCheck::new(raw.head);
        let host = change_check.host(&raw.host);
        let pool = change_check.check.name("pool", &raw.pool);
        let seen = raw.seen.map(SeenHostVersion::from);
        change_check.finish(|| {
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
        let mut change_check = ChangeCheck::new(raw.head);
        let pool = change_check.check.name("pool", &raw.pool);
        if let Some(count) = raw.max_stopping {
            change_check
                .check
                .range("max_stopping", count, 1, OperatorChange::MAX_STOPPING);
        }
        change_check.finish(|| {
            Some(OperatorChange::StartWave {
                max_stopping: raw.max_stopping,
                pool: pool?,
            })
        })
    }
}

/// What a call with a [`raw::WaveRequest`] does to the wave.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WaveAction {
    Pause,
    Resume,
    Cancel,
}

impl ChangeRequest {
    pub(crate) fn wave(raw: raw::WaveRequest, action: WaveAction) -> Result<Self, OperatorError> {
        let mut change_check = ChangeCheck::new(raw.head);
        let wave = change_check.check.id("wave", &raw.wave);
        let seen = raw.seen;
        change_check.finish(|| {
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
        let mut change_check = ChangeCheck::new(raw.head);
        let spec = raw.spec.unwrap_or_default();
        let spec = JobSpec::check(&mut change_check.check, "spec", &spec);
        change_check.finish(|| Some(OperatorChange::SubmitJob { spec: spec? }))
    }
}

impl TryFrom<raw::CancelJobRequest> for ChangeRequest {
    type Error = OperatorError;

    fn try_from(raw: raw::CancelJobRequest) -> Result<Self, OperatorError> {
        let mut change_check = ChangeCheck::new(raw.head);
        let job = change_check.check.id("job", &raw.job);
        change_check.finish(|| Some(OperatorChange::CancelJob { job: job? }))
    }
}

impl TryFrom<raw::ReadmitWorkerRequest> for ChangeRequest {
    type Error = OperatorError;

    fn try_from(raw: raw::ReadmitWorkerRequest) -> Result<Self, OperatorError> {
        let mut change_check = ChangeCheck::new(raw.head);
        let worker = change_check.check.name("worker", &raw.worker);
        change_check.finish(|| Some(OperatorChange::ReadmitWorker { worker: worker? }))
    }
}
