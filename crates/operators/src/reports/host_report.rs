use {
    crate::{
        OperatorError, SeenHostVersion,
        generated::v1 as raw,
        wire::{FieldValidator, wire_enum},
    },
    goldcreststall_core::ids::{DataCentre, HostName, LogTime, PoolName, RackName},
    serde::Serialize,
};

wire_enum!(
    /// Whether a host accepts work, and if not, why.
    HostCondition, crate::generated::v1::HostCondition {
        /// It accepts work.
        Active = "active",
        /// An operator drained it.
        Drained = "drained",
        /// A wave has stopped it.
        Stopping = "stopping",
        /// It failed or did not return from a planned stop in time.
        Down = "down",
        /// It is finishing its work before it moves to another pool.
        Moving = "moving",
    }
);

/// A host and its pool; every host belongs to exactly one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct HostReport {
    /// Whether the host accepts work, and if not, why.
    pub condition: HostCondition,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Whether the host gets no jobs because it failed several different ones in a row.
    pub excluded: bool,
    /// End of the last maintenance, if there was one.
    #[serde(rename = "maintained_ms")]
    pub maintained: Option<LogTime>,
    /// The pool that a moving host moves to.
    pub moving_to: Option<PoolName>,
    /// Name of the host.
    pub name: HostName,
    /// Pool of the host.
    pub pool: PoolName,
    /// Rack of the host.
    pub rack: RackName,
    /// Version of the host.
    pub version: SeenHostVersion,
}

impl From<HostReport> for raw::Host {
    fn from(report: HostReport) -> Self {
        Self {
            condition: report.condition.to_wire(),
            data_centre: report.data_centre.into(),
            excluded: report.excluded,
            maintained_ms: report.maintained.map(|time| time.0),
            moving_to: report.moving_to.map(String::from),
            name: report.name.into(),
            pool: report.pool.into(),
            rack: report.rack.into(),
            version: Some(report.version.into()),
        }
    }
}

impl TryFrom<raw::Host> for HostReport {
    type Error = OperatorError;

    fn try_from(raw: raw::Host) -> Result<Self, OperatorError> {
        let mut validator = FieldValidator::default();
        let name = validator.name("name", &raw.name);
        let pool = validator.name("pool", &raw.pool);
        let data_centre = validator.name("data_centre", &raw.data_centre);
        let rack = validator.name("rack", &raw.rack);
        let moving_to = validator.optional_name("moving_to", raw.moving_to.as_deref());
        let condition = HostCondition::from_wire(raw.condition);
        let allowed = HostCondition::allowed();
        let condition = validator.choice("condition", raw.condition, condition, &allowed);
        let version = validator.required("version", raw.version);
        validator.finish_response(|| {
            Some(Self {
                condition: condition?,
                data_centre: data_centre?,
                excluded: raw.excluded,
                maintained: raw.maintained_ms.map(LogTime),
                moving_to: moving_to?,
                name: name?,
                pool: pool?,
                rack: rack?,
                version: version?.into(),
            })
        })
    }
}
