use crate::{
    ids::{HostName, PoolName},
    membership::MembershipLedger,
};

/// What the fold of the jobs has to know of the pools.
pub trait PoolMembers {
    /// Returns the number of members of `pool`.
    fn pool_size(&self, pool: &PoolName) -> usize;

    /// Returns the pool that `host` belongs to; none when the host is not in the fleet.
    fn pool_of(&self, host: &HostName) -> Option<&PoolName>;
}

impl PoolMembers for MembershipLedger {
    fn pool_size(&self, pool: &PoolName) -> usize {
        let hosts = self.hosts().values();
        hosts.filter(|host| host.pool == *pool).count()
    }

    fn pool_of(&self, host: &HostName) -> Option<&PoolName> {
        self.hosts().get(host).map(|host| &host.pool)
    }
}
