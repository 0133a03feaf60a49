use goldcreststall_core::ids::PoolName;

/// Number of data centres of each deployment.
pub const DATA_CENTRES: usize = 3;
/// Number of hosts in a rack.
pub const HOSTS_PER_RACK: usize = 4;

/// A pool of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct PoolSpec {
    /// Shortest and longest drain of a host.
    pub drain_seconds: (u64, u64),
    /// Number of hosts at the start.
    pub hosts: usize,
    /// Minimum number of available hosts that the budget keeps.
    pub min_available: u32,
    /// Name in the configuration and in the tables.
    pub name: &'static str,
    /// The survive rule as written in the configuration.
    pub survive: &'static str,
}

impl PoolSpec {
    /// Returns the name as a [`PoolName`].
    pub fn pool_name(&self) -> PoolName {
        PoolName::try_from(self.name).expect("the names of the deployments are valid")
    }
}

/// A fleet of about 50 workers and 8 spare hosts.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name printed in the tables.
    pub name: &'static str,
    /// The pools; the last one lends hosts.
    pub pools: &'static [PoolSpec],
}

impl Deployment {
    /// Returns the pool that lends hosts, the last one.
    pub fn spare(&self) -> &PoolSpec {
        &self.pools[self.pools.len() - 1]
    }

    /// Returns the pools that do not lend hosts.
    pub fn working(&self) -> &[PoolSpec] {
        &self.pools[..self.pools.len() - 1]
    }
}

const fn pool(
    name: &'static str,
    hosts: usize,
    min_available: u32,
    survive: &'static str,
    drain_seconds: (u64, u64),
) -> PoolSpec {
    PoolSpec {
        drain_seconds,
        hosts,
        min_available,
        name,
        survive,
    }
}

/// The deployments for which each table is printed.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Ferrandi",
        pools: &[
            pool("proofs", 18, 12, "rack", (5, 60)),
            pool("plates", 16, 10, "none", (60, 600)),
            pool("archive", 16, 8, "data_centre", (60, 600)),
            pool("administration", 8, 4, "none", (5, 120)),
        ],
    },
    Deployment {
        name: "Qasr",
        pools: &[
            pool("sorting", 16, 10, "rack", (30, 300)),
            pool("pricing", 14, 10, "none", (30, 300)),
            pool("invoices", 10, 7, "none", (10, 120)),
            pool("stock", 10, 5, "rack", (30, 300)),
            pool("guests", 8, 5, "none", (30, 300)),
        ],
    },
];
