use {
    super::{
        RawPool,
        config_validator::{ConfigValidator, millis_from_seconds},
    },
    crate::ids::{Millis, PoolName},
    serde::{Deserialize, Serialize},
    toml::Value,
};

/// Maximum value of `min_available`.
const MAX_AVAILABLE: u32 = 100_000;
/// Reboot limit of a pool that does not set one, in seconds.
const DEFAULT_REBOOT_S: u32 = 900;
/// Maximum reboot limit in seconds: one day.
const MAX_REBOOT_S: u32 = 24 * 60 * 60;
const FIELDS: &str = "min_available, name, reboot_limit_s, spare, survive";

/// A validated pool.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolConfig {
    /// Minimum number of hosts that must be available.
    pub min_available: u32,
    /// Name of the pool.
    pub name: PoolName,
    /// Maximum time from the stop of a host to its return; after that it counts as down.
    pub reboot_limit: Millis,
    /// Whether the pool lends hosts to other pools.
    pub spare: bool,
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

impl PoolConfig {
    pub(super) fn validate_all(validator: &mut ConfigValidator, value: Option<Value>) -> Vec<Self> {
        validator.list("pools", value, Self::validate)
    }

    fn validate(validator: &mut ConfigValidator, path: &str, raw: RawPool) -> Option<Self> {
        let field = |name: &str| format!("{path}.{name}");
        let name: Option<PoolName> = validator.name(&field("name"), raw.name.as_ref());
        if let Some(name) = &name {
            validator.unique("pools", &field("name"), name.as_str());
        }
        let budget = raw.min_available.as_ref();
        let budget = validator.number(&field("min_available"), budget, None, 0..=MAX_AVAILABLE);
        let survive = raw.survive.as_ref();
        let survive = validator.choice(
            &field("survive"),
            survive,
            &[
                ("none", SurviveRule::Nothing),
                ("rack", SurviveRule::Rack),
                ("data_centre", SurviveRule::DataCentre),
            ],
        );
        let spare = validator.flag(&field("spare"), raw.spare.as_ref());
        let reboot = validator.number(
            &field("reboot_limit_s"),
            raw.reboot_limit_s.as_ref(),
            Some(DEFAULT_REBOOT_S),
            1..=MAX_REBOOT_S,
        );
        validator.reject_unknown(&field(""), raw.unknown, FIELDS);
        Some(Self {
            min_available: budget?,
            name: name?,
            reboot_limit: millis_from_seconds(reboot?),
            spare: spare?,
            survive: survive?,
        })
    }
}
