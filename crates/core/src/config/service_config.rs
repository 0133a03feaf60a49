use {
    super::{RawService, config_check::ConfigCheck},
    crate::ids::{PoolName, ServiceName},
    serde::{Deserialize, Serialize},
    toml::Value,
};

/// Queue length of a service that does not state one, in requests.
const DEFAULT_MAX_QUEUE: u32 = 256;
/// Longest queue of a service that may be configured, in requests.
const MAX_QUEUE_LIMIT: u32 = 100_000;
/// Slots of a target when the service does not state them.
const DEFAULT_SLOTS: u32 = 8;
/// Most slots of a target.
const MAX_SLOTS: u32 = 1_024;
/// The fields of a service.
const FIELDS: &str = "max_queue, name, pool, slots";

/// A checked service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceConfig {
    /// Most requests that one entry host queues.
    pub max_queue: u32,
    /// Name of the service.
    pub name: ServiceName,
    /// Pool whose hosts are the targets of the service.
    pub pool: PoolName,
    /// Requests that a target handles at a time, over all entry hosts.
    pub slots: u32,
}

impl ServiceConfig {
    pub(super) fn validate_list(check: &mut ConfigCheck, value: Option<Value>) -> Vec<Self> {
        check.list("services", value, Self::check)
    }

    fn check(check: &mut ConfigCheck, path: &str, raw: RawService) -> Option<Self> {
        let field = |name: &str| format!("{path}.{name}");
        let name: Option<ServiceName> = check.name(&field("name"), raw.name.as_ref());
        if let Some(name) = &name {
            check.unique("services", &field("name"), name.as_str());
        }
        let pool: Option<PoolName> = check.name(&field("pool"), raw.pool.as_ref());
        if let Some(pool) = &pool {
            check.refer_to_pool(field("pool"), pool);
        }
        let queue = check.number(
            &field("max_queue"),
            raw.max_queue.as_ref(),
            Some(DEFAULT_MAX_QUEUE),
            1..=MAX_QUEUE_LIMIT,
        );
        let slots = check.number(
            &field("slots"),
            raw.slots.as_ref(),
            Some(DEFAULT_SLOTS),
            1..=MAX_SLOTS,
        );
        check.unknown(&field(""), raw.unknown, FIELDS);
        Some(Self {
            max_queue: queue?,
            name: name?,
            pool: pool?,
            slots: slots?,
        })
    }
}
