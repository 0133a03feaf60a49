//! The fleet configuration that operators publish, and the part of the ledger that keeps it.

mod config_error;
mod config_ledger;
mod config_validator;
mod fleet_config;
mod limit_config;
mod long_integers;
mod organisation_config;
mod pool_config;
mod raw_config;
mod service_config;

pub use {
    config_error::{ConfigError, ConfigMistake},
    config_ledger::{ConfigLedger, ConfigRecord, ConfigVersion},
    fleet_config::{FleetConfig, MAX_DOCUMENT_BYTES},
    limit_config::LimitConfig,
    organisation_config::OrganisationConfig,
    pool_config::{PoolConfig, SurviveRule},
    raw_config::{RawConfig, RawLimits, RawOrganisation, RawPool, RawService},
    service_config::ServiceConfig,
};
