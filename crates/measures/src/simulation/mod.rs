//! The measured deployments and a fleet that runs in virtual time.

mod deployment;
mod seed_spread;
mod virtual_fleet;
mod virtual_random;

pub use {
    deployment::{DATA_CENTRES, DEPLOYMENTS, Deployment, PoolSpec, RACK_HOSTS},
    seed_spread::SeedSpread,
    virtual_fleet::VirtualFleet,
    virtual_random::VirtualRandom,
};

/// Seeds of each measurement.
pub const SEEDS: std::ops::RangeInclusive<u64> = 1..=12;
