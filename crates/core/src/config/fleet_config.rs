use {
    super::{
        ConfigError, ConfigMistake, LimitConfig, OrganisationConfig, PoolConfig, RawConfig,
        ServiceConfig, config_validator::ConfigValidator, long_integers::replace_long_integers,
    },
    crate::ids::{OrganisationName, PoolName, ServiceName},
    serde::{Deserialize, Serialize},
    toml::de::{DeTable, Deserializer, Error},
};

/// Maximum length of a configuration document in bytes. A document is one log record, and log entries must stay
/// small.
pub const MAX_DOCUMENT_BYTES: usize = 256 * 1024;

/// A validated configuration. Its lists are sorted by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetConfig {
    /// The limits of the fleet.
    pub limits: LimitConfig,
    /// The pools.
    pub pools: Vec<PoolConfig>,
    /// The services.
    pub services: Vec<ServiceConfig>,
    /// The organisations.
    pub organisations: Vec<OrganisationConfig>,
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

    /// Returns the configuration of an organisation.
    pub fn organisation(&self, name: &OrganisationName) -> Option<&OrganisationConfig> {
        let index = self
            .organisations
            .binary_search_by(|organisation| organisation.name.cmp(name))
            .ok()?;
        Some(&self.organisations[index])
    }
}

/// Parses and validates a configuration file in TOML.
///
/// When the text is not valid TOML, only the syntax mistakes are reported, because the fields around them could only be
/// guessed.
impl TryFrom<&str> for FleetConfig {
    type Error = ConfigError;

    fn try_from(text: &str) -> Result<Self, ConfigError> {
        if text.len() > MAX_DOCUMENT_BYTES {
            let mistake = ConfigMistake {
                allowed: format!("at most {MAX_DOCUMENT_BYTES} bytes"),
                field: "file".to_owned(),
                value: format!("{} bytes", text.len()),
            };
            return Err(ConfigError {
                mistakes: vec![mistake],
            });
        }
        let (mut table, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            return Err(syntax_error(text, &errors));
        }
        replace_long_integers(table.get_mut());
        let raw = RawConfig::deserialize(Deserializer::from(table))
            .map_err(|error| syntax_error(text, &[error]))?;
        Self::try_from(raw)
    }
}

impl TryFrom<RawConfig> for FleetConfig {
    type Error = ConfigError;

    fn try_from(raw: RawConfig) -> Result<Self, ConfigError> {
        let mut validator = ConfigValidator::default();
        let limits = LimitConfig::validate(&mut validator, raw.limits);
        let pools = PoolConfig::validate_all(&mut validator, raw.pools);
        let services = ServiceConfig::validate_all(&mut validator, raw.services);
        let organisations = OrganisationConfig::validate_all(&mut validator, raw.organisations);
        validator.check_pool_references();
        validator.reject_unknown("", raw.unknown, "limits, pools, services, tenants");
        let mut config = Self {
            limits: validator.finish(limits)?,
            pools,
            services,
            organisations,
        };
        config
            .pools
            .sort_by(|left, right| left.name.cmp(&right.name));
        config
            .services
            .sort_by(|left, right| left.name.cmp(&right.name));
        config
            .organisations
            .sort_by(|left, right| left.name.cmp(&right.name));
        Ok(config)
    }
}

/// Reports the first mistake of each line, in the order of the file. A single misplaced character can make the parser
/// report several.
fn syntax_error(text: &str, errors: &[Error]) -> ConfigError {
    let start = |error: &Error| error.span().map_or(0, |span| span.start);
    let mut errors: Vec<&Error> = errors.iter().collect();
    errors.sort_by_key(|error| start(error));
    let mut mistakes = Vec::new();
    let mut errors = errors.into_iter().peekable();
    let mut end = 0;
    for (index, line) in text.split_inclusive('\n').enumerate() {
        end += line.len();
        // An error at the end of the text belongs to its last line.
        let limit = if end == text.len() { usize::MAX } else { end };
        let mut first = None;
        while let Some(error) = errors.next_if(|error| start(error) < limit) {
            first.get_or_insert(error);
        }
        mistakes.extend(first.map(|error| syntax_mistake(index, line, error)));
    }
    ConfigError { mistakes }
}

fn syntax_mistake(index: usize, line: &str, error: &Error) -> ConfigMistake {
    let allowed = format!("TOML ({})", error.message().trim().replace('\n', ", "));
    ConfigMistake::for_text(format!("line {}", index + 1), line.trim(), &allowed)
}
