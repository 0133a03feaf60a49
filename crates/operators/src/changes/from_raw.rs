//! Checks of the raw requests that ask for a change.

use {
    super::{ChangeOrder, JobSpec, OperatorChange, OperatorName, SeenHost},
    crate::{OperatorError, generated::v1 as raw, wire::FieldCheck},
    goldcreststall_core::{
        config::ConfigVersion,
        ids::{HostName, RecordId},
    },
};

/// Checks the head of a request together with its other fields.
struct OrderCheck {
    check: FieldCheck,
    operator: Option<OperatorName>,
    request: Option<RecordId>,
}

impl OrderCheck {
    fn new(head: Option<raw::ChangeHead>) -> Self {
        let mut check = FieldCheck::default();
        // A missing head is reported like a head with empty fields, which names both fields.
        let head = head.unwrap_or_default();
        let operator = check.operator("head.operator", &head.operator);
        let request = check.id("head.request_id", &head.request_id);
        Self {
            check,
            operator,
            request,
        }
    }

    fn finish(
        self,
        build: impl FnOnce() -> Option<OperatorChange>,
    ) -> Result<ChangeOrder, OperatorError> {
        self.check.request(|| {
            Some(ChangeOrder {
                change: build()?,
                operator: self.operator?,
                request: self.request?,
            })
        })
    }

    fn host(&mut self, name: &str) -> Option<HostName> {
        self.check.name("host", name)
    }
}

impl TryFrom<raw::PublishConfigRequest> for ChangeOrder {
    type Error = OperatorError;

    fn try_from(raw: raw::PublishConfigRequest) -> Result<Self, OperatorError> {
        OrderCheck::new(raw.head).finish(|| {
            Some(OperatorChange::PublishConfig {
                base: ConfigVersion(raw.base_version),
                document: raw.document,
            })
        })
    }
}

impl TryFrom<raw::AddHostRequest> for ChangeOrder {
    type Error = OperatorError;

    fn try_from(raw: raw::AddHostRequest) -> Result<Self, OperatorError> {
        let mut order = OrderCheck::new(raw.head);
        let host = order.host(&raw.host);
        let pool = order.check.name("pool", &raw.pool);
        let data_centre = order.check.name("data_centre", &raw.data_centre);
        let rack = order.check.name("rack", &raw.rack);
        order.finish(|| {
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
        impl TryFrom<raw::$request> for ChangeOrder {
            type Error = OperatorError;

            fn try_from(raw: raw::$request) -> Result<Self, OperatorError> {
                let mut order = OrderCheck::new(raw.head);
                let host = order.host(&raw.host);
                let seen = raw.seen.map(SeenHost::from);
                order.finish(|| Some(OperatorChange::$change { host: host?, seen }))
            }
        }
    };
}

host_change!(RemoveHostRequest, RemoveHost);
host_change!(DrainHostRequest, DrainHost);
host_change!(UndrainHostRequest, UndrainHost);

impl TryFrom<raw::MoveHostRequest> for ChangeOrder {
    type Error = OperatorError;

    fn try_from(raw: raw::MoveHostRequest) -> Result<Self, OperatorError> {
        let mut order = OrderCheck::new(raw.head);
        let host = order.host(&raw.host);
        let pool = order.check.name("pool", &raw.pool);
        let seen = raw.seen.map(SeenHost::from);
        order.finish(|| {
            Some(OperatorChange::MoveHost {
                host: host?,
                pool: pool?,
                seen,
            })
        })
    }
}

impl TryFrom<raw::StartWaveRequest> for ChangeOrder {
    type Error = OperatorError;

    fn try_from(raw: raw::StartWaveRequest) -> Result<Self, OperatorError> {
        let mut order = OrderCheck::new(raw.head);
        let pool = order.check.name("pool", &raw.pool);
        if let Some(count) = raw.max_stopping {
            order
                .check
                .range("max_stopping", count, 1, OperatorChange::MAX_STOPPING);
        }
        order.finish(|| {
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

impl ChangeOrder {
    pub(crate) fn wave(raw: raw::WaveRequest, action: WaveAction) -> Result<Self, OperatorError> {
        let mut order = OrderCheck::new(raw.head);
        let wave = order.check.id("wave", &raw.wave);
        let seen = raw.seen;
        order.finish(|| {
            let wave = wave?;
            Some(match action {
                WaveAction::Pause => OperatorChange::PauseWave { seen, wave },
                WaveAction::Resume => OperatorChange::ResumeWave { seen, wave },
                WaveAction::Cancel => OperatorChange::CancelWave { seen, wave },
            })
        })
    }
}

impl TryFrom<raw::SubmitJobRequest> for ChangeOrder {
    type Error = OperatorError;

    fn try_from(raw: raw::SubmitJobRequest) -> Result<Self, OperatorError> {
        let mut order = OrderCheck::new(raw.head);
        let spec = raw.spec.unwrap_or_default();
        let spec = JobSpec::check(&mut order.check, "spec", &spec);
        order.finish(|| Some(OperatorChange::SubmitJob { spec: spec? }))
    }
}

impl TryFrom<raw::CancelJobRequest> for ChangeOrder {
    type Error = OperatorError;

    fn try_from(raw: raw::CancelJobRequest) -> Result<Self, OperatorError> {
        let mut order = OrderCheck::new(raw.head);
        let job = order.check.id("job", &raw.job);
        order.finish(|| Some(OperatorChange::CancelJob { job: job? }))
    }
}

impl TryFrom<raw::ReadmitWorkerRequest> for ChangeOrder {
    type Error = OperatorError;

    fn try_from(raw: raw::ReadmitWorkerRequest) -> Result<Self, OperatorError> {
        let mut order = OrderCheck::new(raw.head);
        let worker = order.check.name("worker", &raw.worker);
        order.finish(|| Some(OperatorChange::ReadmitWorker { worker: worker? }))
    }
}
