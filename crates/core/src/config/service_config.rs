use {
    super::{RawService, config_validator::ConfigValidator},
    crate::ids::{PoolName, ServiceName},
    serde::{Deserialize, Serialize},
    toml::Value,
};

/// Queue length of a service that does not set one, in requests.
const DEFAULT_MAX_QUEUE: u32 = 256;
/// Maximum queue length that may be configured, in requests.
const MAX_QUEUE_LIMIT: u32 = 100_000;
/// Slots of a target when the service does not set them.
const DEFAULT_SLOTS: u32 = 8;
const MAX_SLOTS: u32 = 1_024;
const FIELDS: &str = "max_queue, name, pool, slots";

/// A validated service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceConfig {
    /// Maximum number of requests that one entry host queues.
    pub max_queue: u32,
    /// Name of the service.
    pub name: ServiceName,
    /// Pool whose hosts are the targets of the service.
    pub pool: PoolName,
    /// Number of requests that a target handles at a time, over all entry hosts.
    pub slots: u32,
}

impl ServiceConfig {
    pub(super) fn validate_all(validator: &mut ConfigValidator, value: Option<Value>) -> Vec<Self> {
        validator.list("services", value, Self::validate)
    }

    fn validate(validator: &mut ConfigValidator, path: &str, raw: RawService) -> Option<Self> {
        let field = |name: &str| format!("{path}.{name}");
        let name: Option<ServiceName> = validator.name(&field("name"), raw.name.as_ref());
        if let Some(name) = &name {
            validator.unique("services", &field("name"), name.as_str());
        }
        let pool: Option<PoolName> = validator.name(&field("pool"), raw.pool.as_ref());
        if let Some(pool) = &pool {
            validator.add_pool_reference(field("pool"), pool);
        }
        let queue = validator.number(
            &field("max_queue"),
            raw.max_queue.as_ref(),
            Some(DEFAULT_MAX_QUEUE),
            1..=MAX_QUEUE_LIMIT,
        );
        let slots = validator.number(
            &field("slots"),
            raw.slots.as_ref(),
            Some(DEFAULT_SLOTS),
            1..=MAX_SLOTS,
        );
        validator.reject_unknown(&field(""), raw.unknown, FIELDS);
        Some(Self {
            max_queue: queue?,
            name: name?,
            pool: pool?,
            slots: slots?,
        })
    }
}
