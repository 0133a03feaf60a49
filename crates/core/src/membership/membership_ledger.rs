use {
    crate::{
        collections::SortedMap,
        config::FleetConfig,
        ids::{HostName, PoolName},
        ledger::Rejection,
    },
    serde::{Deserialize, Serialize},
};

/// A change of hosts or pools.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MembershipRecord {
    /// Adds a host to a pool.
    HostAdd {
        /// Name of the host.
        host: HostName,
        /// The pool it joins.
        pool: PoolName,
    },
}

/// A host and the one pool it belongs to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostState {
    /// The pool of the host.
    pub pool: PoolName,
}

/// All hosts of the fleet.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MembershipLedger {
    hosts: SortedMap<HostName, HostState>,
}

impl MembershipLedger {
    /// Returns the hosts in order of name.
    pub fn hosts(&self) -> &SortedMap<HostName, HostState> {
        &self.hosts
    }

    /// Applies a change under the configuration in force.
    ///
    /// # Errors
    /// `StaleVersion` when the host is known, `UnknownPool` when the pool is not configured.
    pub fn apply(
        &mut self,
        config: &FleetConfig,
        record: &MembershipRecord,
    ) -> Result<(), Rejection> {
        let MembershipRecord::HostAdd { host, pool } = record;
        if config.pool(pool).is_none() {
            return Err(Rejection::UnknownPool);
        }
        if self.hosts.contains(host) {
            return Err(Rejection::StaleVersion);
        }
        self.hosts
            .insert(host.clone(), HostState { pool: pool.clone() });
        Ok(())
    }
}
