use {
    serde::{Deserialize, Serialize},
    toml::{Table, Value},
};

/// A configuration file as written, before it is validated.
///
/// The fields accept any type and unknown fields are kept, so that all mistakes can be reported at once.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RawConfig {
    /// The limits of the fleet.
    pub limits: Option<Value>,
    /// The pools of hosts.
    pub pools: Option<Value>,
    /// The services that targets offer.
    pub services: Option<Value>,
    /// The organisations.
    #[serde(rename = "tenants")]
    pub organisations: Option<Value>,
    /// Unknown fields.
    #[serde(flatten)]
    pub unknown: Table,
}

/// The limits of the fleet as written.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RawLimits {
    /// Maximum number of rows that each audit trail keeps.
    pub audit_max_rows: Option<Value>,
    /// Maximum time that a host may take to drain, in seconds.
    pub drain_limit_s: Option<Value>,
    /// Unknown fields.
    #[serde(flatten)]
    pub unknown: Table,
}

/// A pool as written.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RawPool {
    /// Minimum number of hosts that must be available.
    pub min_available: Option<Value>,
    /// Name of the pool.
    pub name: Option<Value>,
    /// Maximum time from the stop of a host to its return, in seconds.
    pub reboot_limit_s: Option<Value>,
    /// Whether the pool lends hosts to other pools.
    pub spare: Option<Value>,
    /// Failure domain whose loss the budget must survive: `none`, `rack` or `data_centre`.
    pub survive: Option<Value>,
    /// Unknown fields.
    #[serde(flatten)]
    pub unknown: Table,
}

/// A service as written.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RawService {
    /// Maximum number of requests that one entry host queues.
    pub max_queue: Option<Value>,
    /// Name of the service.
    pub name: Option<Value>,
    /// Pool whose hosts are the targets of the service.
    pub pool: Option<Value>,
    /// Number of requests that a target handles at a time.
    pub slots: Option<Value>,
    /// Unknown fields.
    #[serde(flatten)]
    pub unknown: Table,
}

/// An organisation as written.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RawOrganisation {
    /// Maximum number of requests in flight in the fleet.
    pub max_in_flight: Option<Value>,
    /// Maximum number of durable jobs that are queued or leased.
    pub max_jobs: Option<Value>,
    /// Name of the organisation.
    pub name: Option<Value>,
    /// Share of the organisation relative to the others.
    pub weight: Option<Value>,
    /// Unknown fields.
    #[serde(flatten)]
    pub unknown: Table,
}
