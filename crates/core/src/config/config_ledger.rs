use {
    super::FleetConfig,
    crate::{ledger::Rejection, membership::MembershipLedger},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Number of accepted publications in the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ConfigVersion(pub u64);

/// A change of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigRecord {
    /// Replaces the configuration.
    Publish {
        /// The version that the author saw.
        base: ConfigVersion,
        /// The whole document in TOML.
        document: String,
    },
}

/// The configuration in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigLedger {
    document: String,
    fleet: Arc<FleetConfig>,
    version: ConfigVersion,
}

impl ConfigLedger {
    /// Returns the version in force; zero before the first publication.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the validated configuration in force.
    pub fn fleet(&self) -> &Arc<FleetConfig> {
        &self.fleet
    }

    /// Returns the document in force as published.
    pub fn document(&self) -> &str {
        &self.document
    }

    /// Applies a change.
    ///
    /// Every host belongs to exactly one configured pool, so a pool in use cannot be removed.
    ///
    /// # Errors
    /// `StaleVersion` when another publication came first, `InvalidConfig` when the document is not valid,
    /// `PoolInUse` when it lacks a pool that `membership` refers to.
    pub fn apply(
        &mut self,
        membership: &MembershipLedger,
        record: &ConfigRecord,
    ) -> Result<(), Rejection> {
        let ConfigRecord::Publish { base, document } = record;
        if *base != self.version {
            return Err(Rejection::StaleVersion);
        }
        let fleet =
            FleetConfig::try_from(document.as_str()).map_err(|_| Rejection::InvalidConfig)?;
        if membership
            .pools_in_use()
            .any(|pool| fleet.pool(pool).is_none())
        {
            return Err(Rejection::PoolInUse);
        }
        self.document = document.clone();
        self.fleet = Arc::new(fleet);
        self.version = ConfigVersion(self.version.0 + 1);
        Ok(())
    }
}
