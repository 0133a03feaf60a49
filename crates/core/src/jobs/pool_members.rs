use crate::{
    ids::{HostName, PoolName},
    membership::MembershipLedger,
};

/// Pool membership of hosts, on which applying job records depends.
pub trait PoolMembers {
    /// Returns the number of hosts in `pool`; 0 when the pool is unknown.
    fn pool_size(&self, pool: &PoolName) -> usize;

    /// Returns the pool that `host` belongs to; `None` when the host is not in the fleet.
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
