use {
    crate::{
        OperatorError, OperatorName,
        generated::v1 as raw,
        wire::{FieldValidator, id_text, wire_enum},
    },
    goldcreststall_core::ids::{LogTime, PoolName, RecordId},
    serde::Serialize,
};

wire_enum!(
    /// State of a wave.
    WaveState, crate::generated::v1::WaveState {
        /// It stops hosts as far as the budget allows.
        Running = "running",
        /// An operator paused it.
        Paused = "paused",
        /// Every host was maintained.
        Done = "done",
        /// An operator cancelled it.
        Cancelled = "cancelled",
    }
);

/// A maintenance roll-out over a pool. All counts are numbers of hosts.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct WaveReport {
    /// Hosts that were maintained.
    pub done: u32,
    /// Hosts that the wave covers.
    pub hosts: u32,
    /// Id of the wave.
    #[serde(serialize_with = "id_text")]
    pub id: RecordId,
    /// Pool that is maintained.
    pub pool: PoolName,
    /// Start of the wave.
    #[serde(rename = "started_ms")]
    pub started: LogTime,
    /// The operator who started the wave.
    pub started_by: OperatorName,
    /// State of the wave.
    pub state: WaveState,
    /// Hosts that the wave has stopped at the moment.
    pub stopping: u32,
    /// Increases with each change of the wave.
    pub version: u64,
    /// Why no further host is stopped now; empty when nothing delays the wave.
    pub waits_for: String,
}

impl From<WaveReport> for raw::Wave {
    fn from(report: WaveReport) -> Self {
        Self {
            done: report.done,
            hosts: report.hosts,
            id: report.id.to_string(),
            pool: report.pool.into(),
            started_by: report.started_by.as_str().to_owned(),
            started_ms: report.started.0,
            state: report.state.to_wire(),
            stopping: report.stopping,
            version: report.version,
            waits_for: report.waits_for,
        }
    }
}

impl TryFrom<raw::Wave> for WaveReport {
    type Error = OperatorError;

    fn try_from(raw: raw::Wave) -> Result<Self, OperatorError> {
        let mut validator = FieldValidator::default();
        let id = validator.id("id", &raw.id);
        let pool = validator.name("pool", &raw.pool);
        let started_by = validator.operator("started_by", &raw.started_by);
        let state = WaveState::from_wire(raw.state);
        let state = validator.choice("state", raw.state, state, &WaveState::allowed());
        validator.finish_response(|| {
            Some(Self {
                done: raw.done,
                hosts: raw.hosts,
                id: id?,
                pool: pool?,
                started: LogTime(raw.started_ms),
                started_by: started_by?,
                state: state?,
                stopping: raw.stopping,
                version: raw.version,
                waits_for: raw.waits_for,
            })
        })
    }
}
