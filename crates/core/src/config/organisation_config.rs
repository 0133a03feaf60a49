use {
    super::{RawOrganisation, config_check::ConfigCheck},
    crate::ids::OrganisationName,
    serde::{Deserialize, Serialize},
    toml::Value,
};

/// Weight of an organisation that does not state one.
const DEFAULT_WEIGHT: u32 = 1;
/// Largest weight of an organisation.
const MAX_WEIGHT: u32 = 1_000;
/// Largest quota of an organisation, in requests or jobs.
const MAX_QUOTA: u32 = 1_000_000;
/// The fields of an organisation.
const FIELDS: &str = "max_in_flight, max_jobs, name, weight";

/// A checked organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrganisationConfig {
    /// Most requests in flight in the fleet; `None` for no quota.
    pub max_in_flight: Option<u32>,
    /// Most durable jobs that are queued or leased; `None` for no quota.
    pub max_jobs: Option<u32>,
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Share of the organisation relative to the others.
    pub weight: u32,
}

impl OrganisationConfig {
    pub(super) fn validate_list(check: &mut ConfigCheck, value: Option<Value>) -> Vec<Self> {
        check.list("tenants", value, Self::check)
    }

    fn check(check: &mut ConfigCheck, path: &str, raw: RawOrganisation) -> Option<Self> {
        let field = |name: &str| format!("{path}.{name}");
        let name: Option<OrganisationName> = check.name(&field("name"), raw.name.as_ref());
        if let Some(name) = &name {
            check.unique("tenants", &field("name"), name.as_str());
        }
        let weight = check.number(
            &field("weight"),
            raw.weight.as_ref(),
            Some(DEFAULT_WEIGHT),
            1..=MAX_WEIGHT,
        );
        let flights = raw.max_in_flight.as_ref();
        let flights = check.quota(&field("max_in_flight"), flights, MAX_QUOTA);
        let jobs = check.quota(&field("max_jobs"), raw.max_jobs.as_ref(), MAX_QUOTA);
        check.unknown(&field(""), raw.unknown, FIELDS);
        Some(Self {
            max_in_flight: flights?,
            max_jobs: jobs?,
            name: name?,
            weight: weight?,
        })
    }
}
