use {
    super::PageLimit,
    crate::{JobState, OperatorError, generated::v1 as raw, wire::FieldValidator},
    goldcreststall_core::ids::{OrganisationName, PoolName, RecordId},
};

/// Selects the hosts to list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HostQuery {
    /// Only hosts of this pool.
    pub pool: Option<PoolName>,
}

/// Selects the waves to list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WaveQuery {
    /// Only waves over this pool.
    pub pool: Option<PoolName>,
}

/// Selects the jobs to list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobQuery {
    /// Only jobs whose id comes after this one.
    pub after: Option<RecordId>,
    /// Maximum number of jobs to return.
    pub limit: PageLimit,
    /// Only jobs of this pool.
    pub pool: Option<PoolName>,
    /// Only jobs in this state.
    pub state: Option<JobState>,
    /// Only jobs of this organisation.
    pub organisation: Option<OrganisationName>,
}

impl TryFrom<raw::ListHostsRequest> for HostQuery {
    type Error = OperatorError;

    fn try_from(raw: raw::ListHostsRequest) -> Result<Self, OperatorError> {
        let mut validator = FieldValidator::default();
        let pool = validator.optional_name("pool", raw.pool.as_deref());
        validator.finish_request(|| Some(Self { pool: pool? }))
    }
}

impl From<HostQuery> for raw::ListHostsRequest {
    fn from(query: HostQuery) -> Self {
        Self {
            pool: query.pool.map(String::from),
        }
    }
}

impl TryFrom<raw::ListWavesRequest> for WaveQuery {
    type Error = OperatorError;

    fn try_from(raw: raw::ListWavesRequest) -> Result<Self, OperatorError> {
        let mut validator = FieldValidator::default();
        let pool = validator.optional_name("pool", raw.pool.as_deref());
        validator.finish_request(|| Some(Self { pool: pool? }))
    }
}

impl From<WaveQuery> for raw::ListWavesRequest {
    fn from(query: WaveQuery) -> Self {
        Self {
            pool: query.pool.map(String::from),
        }
    }
}

impl TryFrom<raw::ListJobsRequest> for JobQuery {
    type Error = OperatorError;

    fn try_from(raw: raw::ListJobsRequest) -> Result<Self, OperatorError> {
        let mut validator = FieldValidator::default();
        let pool = validator.optional_name("pool", raw.pool.as_deref());
        let organisation = validator.optional_name("tenant", raw.tenant.as_deref());
        let state = JobState::from_wire(raw.state);
        if state.is_none() && raw.state != raw::JobState::Unspecified as i32 {
            validator.reject("state", &raw.state.to_string(), &JobState::allowed());
        }
        let after = validator.optional_id("after", raw.after.as_deref());
        let limit = PageLimit::check(&mut validator, "limit", raw.limit);
        validator.finish_request(|| {
            Some(Self {
                after: after?,
                limit: limit?,
                pool: pool?,
                state,
                organisation: organisation?,
            })
        })
    }
}

impl From<JobQuery> for raw::ListJobsRequest {
    fn from(query: JobQuery) -> Self {
        Self {
            after: query.after.map(|id| id.to_string()),
            limit: query.limit.to_wire(),
            pool: query.pool.map(String::from),
            state: query.state.map(JobState::to_wire).unwrap_or_default(),
            tenant: query.organisation.map(String::from),
        }
    }
}
