//! The simulated deployments and a fleet that runs in virtual time.

mod deployment;
mod seed_summary;
mod seeded_random;
mod virtual_fleet;

pub use {
    deployment::{DATA_CENTRES, DEPLOYMENTS, Deployment, HOSTS_PER_RACK, PoolSpec},
    seed_summary::SeedSummary,
    seeded_random::SeededRandom,
    virtual_fleet::VirtualFleet,
};

/// Seeds of each table that is simulated with [`VirtualFleet`].
pub const SEEDS: std::ops::RangeInclusive<u64> = 1..=12;
