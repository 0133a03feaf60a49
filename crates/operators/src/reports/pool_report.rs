use {
    crate::{OperatorError, Survive, generated::v1 as raw, wire::FieldValidator},
    goldcreststall_core::ids::PoolName,
    serde::Serialize,
};

/// A pool and the state of its availability budget. All counts are numbers of hosts.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct PoolReport {
    /// Members that are neither down, stopping nor moving out.
    pub available: u32,
    /// Members that failed or did not return from a planned stop in time.
    pub down: u32,
    /// Members of the pool.
    pub members: u32,
    /// Minimum number of members that must be available.
    pub min_available: u32,
    /// Members that move to another pool.
    pub moving: u32,
    /// Name of the pool.
    pub name: PoolName,
    /// Whether the pool lends hosts to other pools.
    pub spare: bool,
    /// Planned stops or moves that the budget, including the `survive` rule, allows now. Negative when unplanned
    /// failures have used up more than the budget.
    pub spare_units: i32,
    /// Members in a planned stop: drained by an operator or stopped by a wave.
    pub stopping: u32,
    /// Failure domain whose loss the budget must survive.
    pub survive: Survive,
}

impl From<PoolReport> for raw::Pool {
    fn from(report: PoolReport) -> Self {
        Self {
            available: report.available,
            down: report.down,
            members: report.members,
            min_available: report.min_available,
            moving: report.moving,
            name: report.name.into(),
            spare: report.spare,
            spare_units: report.spare_units,
            stopping: report.stopping,
            survive: report.survive.to_wire(),
        }
    }
}

impl TryFrom<raw::Pool> for PoolReport {
    type Error = OperatorError;

    fn try_from(raw: raw::Pool) -> Result<Self, OperatorError> {
        let mut validator = FieldValidator::default();
        let name = validator.name("name", &raw.name);
        let survive = Survive::from_wire(raw.survive);
        let survive = validator.choice("survive", raw.survive, survive, &Survive::allowed());
        validator.finish_response(|| {
            Some(Self {
                available: raw.available,
                down: raw.down,
                members: raw.members,
                min_available: raw.min_available,
                moving: raw.moving,
                name: name?,
                spare: raw.spare,
                spare_units: raw.spare_units,
                stopping: raw.stopping,
                survive: survive?,
            })
        })
    }
}
