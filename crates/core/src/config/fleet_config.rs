use {
    super::{ConfigError, ConfigMistake, RawConfig, RawPool, RawService, RawTenant},
    crate::ids::{PoolName, ServiceName, TenantName},
    serde::{Deserialize, Serialize},
};

/// Queue length of a service that does not state one, in requests.
const DEFAULT_MAX_QUEUE: i64 = 256;
/// Longest queue of a service that may be configured, in requests.
const MAX_QUEUE_LIMIT: i64 = 100_000;
/// Largest weight of a tenant.
const MAX_WEIGHT: i64 = 1_000;
/// Most hosts a budget may ask for.
const MAX_AVAILABLE: i64 = 100_000;

/// A checked configuration. Its lists are sorted by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetConfig {
    /// The pools.
    pub pools: Vec<PoolConfig>,
    /// The services.
    pub services: Vec<ServiceConfig>,
    /// The tenants.
    pub tenants: Vec<TenantConfig>,
}

/// A checked pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolConfig {
    /// Fewest hosts that must be available.
    pub min_available: u32,
    /// Name of the pool.
    pub name: PoolName,
    /// Failure domain whose loss the budget must survive.
    pub survive: SurviveRule,
}

/// The failure domain whose loss a pool's budget must survive.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum SurviveRule {
    /// Only the number of available hosts counts.
    #[default]
    Nothing,
    /// The budget holds without any one rack.
    Rack,
    /// The budget holds without any one data centre.
    DataCentre,
}

/// A checked service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceConfig {
    /// Most requests that one entry host queues.
    pub max_queue: u32,
    /// Name of the service.
    pub name: ServiceName,
    /// Pool whose hosts are the targets of the service.
    pub pool: PoolName,
}

/// A checked tenant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TenantConfig {
    /// Name of the tenant.
    pub name: TenantName,
    /// Share of the tenant relative to the others.
    pub weight: u32,
}

impl FleetConfig {
    /// Returns the configuration of a pool.
    pub fn pool(&self, name: &PoolName) -> Option<&PoolConfig> {
        let index = self
            .pools
            .binary_search_by(|pool| pool.name.cmp(name))
            .ok()?;
        Some(&self.pools[index])
    }

    /// Returns the configuration of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceConfig> {
        let index = self
            .services
            .binary_search_by(|service| service.name.cmp(name))
            .ok()?;
        Some(&self.services[index])
    }
}

/// Parses and checks a configuration file in TOML.
impl TryFrom<&str> for FleetConfig {
    type Error = ConfigError;

    fn try_from(text: &str) -> Result<Self, ConfigError> {
        let raw: RawConfig = toml::from_str(text).map_err(syntax_error)?;
        Self::try_from(raw)
    }
}

impl TryFrom<RawConfig> for FleetConfig {
    type Error = ConfigError;

    fn try_from(raw: RawConfig) -> Result<Self, ConfigError> {
        let mut check = ConfigCheck::default();
        let mut config = Self {
            pools: check.pools(&raw.pools),
            services: check.services(&raw.services, &raw.pools),
            tenants: check.tenants(&raw.tenants),
        };
        check.finish()?;
        config
            .pools
            .sort_by(|left, right| left.name.cmp(&right.name));
        config
            .services
            .sort_by(|left, right| left.name.cmp(&right.name));
        config
            .tenants
            .sort_by(|left, right| left.name.cmp(&right.name));
        Ok(config)
    }
}

fn syntax_error(error: toml::de::Error) -> ConfigError {
    let mistake = ConfigMistake {
        allowed: "TOML with the documented fields".to_owned(),
        field: "file".to_owned(),
        value: error.to_string().trim().replace('\n', " "),
    };
    ConfigError {
        mistakes: vec![mistake],
    }
}

/// Collects the mistakes of a file, so that all are reported at once.
#[derive(Debug, Default)]
struct ConfigCheck {
    mistakes: Vec<ConfigMistake>,
}

impl ConfigCheck {
    fn finish(self) -> Result<(), ConfigError> {
        if self.mistakes.is_empty() {
            return Ok(());
        }
        Err(ConfigError {
            mistakes: self.mistakes,
        })
    }

    fn reject(&mut self, field: String, value: impl ToString, allowed: impl ToString) {
        self.mistakes.push(ConfigMistake {
            allowed: allowed.to_string(),
            field,
            value: value.to_string(),
        });
    }

    fn name<'a, N>(&mut self, field: String, value: &'a str) -> Option<N>
    where
        N: TryFrom<&'a str, Error = crate::ids::NameError>,
    {
        let name = N::try_from(value);
        if name.is_err() {
            let allowed = "1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit";
            self.reject(field, value, allowed);
        }
        name.ok()
    }

    fn number(&mut self, field: String, value: i64, low: i64, high: i64) -> Option<u32> {
        if (low..=high).contains(&value) {
            return u32::try_from(value).ok();
        }
        self.reject(field, value, format!("{low} to {high}"));
        None
    }

    fn unique<'a>(&mut self, list: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen: Vec<&str> = Vec::new();
        for (index, name) in names.enumerate() {
            match seen.binary_search(&name) {
                Ok(_) => self.reject(format!("{list}[{index}].name"), name, "a name used once"),
                Err(place) => seen.insert(place, name),
            }
        }
    }

    fn pools(&mut self, pools: &[RawPool]) -> Vec<PoolConfig> {
        self.unique("pools", pools.iter().map(|pool| pool.name.as_str()));
        let pools = pools.iter().enumerate();
        pools
            .filter_map(|(index, pool)| self.pool(index, pool))
            .collect()
    }

    fn pool(&mut self, index: usize, pool: &RawPool) -> Option<PoolConfig> {
        let field = |name: &str| format!("pools[{index}].{name}");
        let name = self.name(field("name"), &pool.name);
        let min_available =
            self.number(field("min_available"), pool.min_available, 0, MAX_AVAILABLE);
        let survive = self.survive(field("survive"), pool.survive.as_deref());
        Some(PoolConfig {
            min_available: min_available?,
            name: name?,
            survive: survive?,
        })
    }

    fn survive(&mut self, field: String, value: Option<&str>) -> Option<SurviveRule> {
        match value {
            None | Some("none") => Some(SurviveRule::Nothing),
            Some("rack") => Some(SurviveRule::Rack),
            Some("data_centre") => Some(SurviveRule::DataCentre),
            Some(other) => {
                self.reject(field, other, "none, rack, data_centre");
                None
            }
        }
    }

    fn services(&mut self, services: &[RawService], pools: &[RawPool]) -> Vec<ServiceConfig> {
        self.unique(
            "services",
            services.iter().map(|service| service.name.as_str()),
        );
        let services = services.iter().enumerate();
        services
            .filter_map(|(index, service)| self.service(index, service, pools))
            .collect()
    }

    fn service(
        &mut self,
        index: usize,
        service: &RawService,
        pools: &[RawPool],
    ) -> Option<ServiceConfig> {
        let field = |name: &str| format!("services[{index}].{name}");
        let name = self.name(field("name"), &service.name);
        let pool = self.name(field("pool"), &service.pool);
        if !pools.iter().any(|known| known.name == service.pool) {
            self.reject(
                field("pool"),
                &service.pool,
                "the name of a pool in this file",
            );
        }
        let max_queue = service.max_queue.unwrap_or(DEFAULT_MAX_QUEUE);
        let max_queue = self.number(field("max_queue"), max_queue, 1, MAX_QUEUE_LIMIT);
        Some(ServiceConfig {
            max_queue: max_queue?,
            name: name?,
            pool: pool?,
        })
    }

    fn tenants(&mut self, tenants: &[RawTenant]) -> Vec<TenantConfig> {
        self.unique("tenants", tenants.iter().map(|tenant| tenant.name.as_str()));
        let tenants = tenants.iter().enumerate();
        tenants
            .filter_map(|(index, tenant)| self.tenant(index, tenant))
            .collect()
    }

    fn tenant(&mut self, index: usize, tenant: &RawTenant) -> Option<TenantConfig> {
        let name = self.name(format!("tenants[{index}].name"), &tenant.name);
        let weight = tenant.weight.unwrap_or(1);
        let weight = self.number(format!("tenants[{index}].weight"), weight, 1, MAX_WEIGHT);
        Some(TenantConfig {
            name: name?,
            weight: weight?,
        })
    }
}
