use serde::{Deserialize, Serialize};

/// A configuration file as written, before it is checked.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawConfig {
    /// The pools of hosts.
    #[serde(default)]
    pub pools: Vec<RawPool>,
    /// The services that targets offer.
    #[serde(default)]
    pub services: Vec<RawService>,
    /// The tenants.
    #[serde(default)]
    pub tenants: Vec<RawTenant>,
}

/// A pool as written.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawPool {
    /// Fewest hosts that must be available.
    pub min_available: i64,
    /// Name of the pool.
    pub name: String,
    /// Failure domain whose loss the budget must survive: `none`, `rack` or `data_centre`.
    #[serde(default)]
    pub survive: Option<String>,
}

/// A service as written.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Most requests that one entry host queues.
    #[serde(default)]
    pub max_queue: Option<i64>,
    /// Name of the service.
    pub name: String,
    /// Pool whose hosts are the targets of the service.
    pub pool: String,
}

/// A tenant as written.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RawTenant {
    /// Name of the tenant.
    pub name: String,
    /// Share of the tenant relative to the others.
    #[serde(default)]
    pub weight: Option<i64>,
}
