//! The fleet configuration that operators publish, and the part of the ledger that keeps it.

mod config_check;
mod config_error;
mod config_ledger;
mod fleet_config;
mod limit_config;
mod long_integers;
mod pool_config;
mod raw_config;
mod service_config;
mod tenant_config;

pub use {
    config_error::{ConfigError, ConfigMistake},
    config_ledger::{ConfigLedger, ConfigRecord, ConfigVersion},
    fleet_config::{FleetConfig, MAX_DOCUMENT_BYTES},
    limit_config::LimitConfig,
    pool_config::{PoolConfig, SurviveRule},
    raw_config::{RawConfig, RawLimits, RawPool, RawService, RawTenant},
    service_config::ServiceConfig,
    tenant_config::TenantConfig,
};
