use {
    super::{RawOrganisation, config_validator::ConfigValidator},
    crate::ids::OrganisationName,
    serde::{Deserialize, Serialize},
    toml::Value,
};

/// Weight of an organisation that does not set one.
const DEFAULT_WEIGHT: u32 = 1;
const MAX_WEIGHT: u32 = 1_000;
/// Maximum quota of an organisation, in requests or jobs.
const MAX_QUOTA: u32 = 1_000_000;
const FIELDS: &str = "max_in_flight, max_jobs, name, weight";

/// A validated organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrganisationConfig {
    /// Maximum number of requests in flight in the fleet; `None` for no quota.
    pub max_in_flight: Option<u32>,
    /// Maximum number of durable jobs that are queued or leased; `None` for no quota.
    pub max_jobs: Option<u32>,
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Share of the organisation relative to the others.
    pub weight: u32,
}

impl OrganisationConfig {
    pub(super) fn validate_all(validator: &mut ConfigValidator, value: Option<Value>) -> Vec<Self> {
        validator.list("tenants", value, Self::validate)
    }

    fn validate(validator: &mut ConfigValidator, path: &str, raw: RawOrganisation) -> Option<Self> {
        let field = |name: &str| format!("{path}.{name}");
        let name: Option<OrganisationName> = validator.name(&field("name"), raw.name.as_ref());
        if let Some(name) = &name {
            validator.unique("tenants", &field("name"), name.as_str());
        }
        let weight = validator.number(
            &field("weight"),
            raw.weight.as_ref(),
            Some(DEFAULT_WEIGHT),
            1..=MAX_WEIGHT,
        );
        let requests = raw.max_in_flight.as_ref();
        let requests = validator.quota(&field("max_in_flight"), requests, MAX_QUOTA);
        let jobs = validator.quota(&field("max_jobs"), raw.max_jobs.as_ref(), MAX_QUOTA);
        validator.reject_unknown(&field(""), raw.unknown, FIELDS);
        Some(Self {
            max_in_flight: requests?,
            max_jobs: jobs?,
            name: name?,
            weight: weight?,
        })
    }
}
