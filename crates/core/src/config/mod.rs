//! The fleet configuration that operators publish, and the part of the ledger that keeps it.

mod config_error;
mod config_ledger;
mod fleet_config;
mod raw_config;

pub use {
    config_error::{ConfigError, ConfigMistake},
    config_ledger::{ConfigLedger, ConfigRecord, ConfigVersion},
    fleet_config::{FleetConfig, PoolConfig, ServiceConfig, SurviveRule, TenantConfig},
    raw_config::{RawConfig, RawPool, RawService, RawTenant},
};
