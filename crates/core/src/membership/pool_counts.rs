use {
    super::HostState,
    crate::{
        collections::SortedMap,
        ids::{DataCentre, PoolName, RackName},
    },
};

/// Available hosts of a pool, by rack. Racks without available hosts are left out.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct PoolCounts {
    available: u32,
    data_centres: SortedMap<DataCentre, SortedMap<RackName, u32>>,
}

impl PoolCounts {
    /// Returns the number of available hosts.
    pub(super) fn available(&self) -> u32 {
        self.available
    }

    /// Returns the number of available hosts of each rack, in order of data centre and rack.
    pub(super) fn racks(&self) -> impl Iterator<Item = (&DataCentre, &RackName, u32)> {
        let data_centres = self.data_centres.iter();
        data_centres.flat_map(|(data_centre, racks)| {
            let racks = racks.iter();
            racks.map(move |(rack, count)| (data_centre, rack, *count))
        })
    }

    fn add(&mut self, host: &HostState) {
        self.available += 1;
        let racks = or_default(&mut self.data_centres, &host.data_centre);
        *or_default(racks, &host.rack) += 1;
    }

    fn remove(&mut self, host: &HostState) {
        self.available = self.available.saturating_sub(1);
        let Some(racks) = self.data_centres.get_mut(&host.data_centre) else {
            return;
        };
        if let Some(count) = racks.get_mut(&host.rack) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                racks.remove(&host.rack);
            }
        }
        if racks.is_empty() {
            self.data_centres.remove(&host.data_centre);
        }
    }
}

/// Available hosts of each pool, so that a check of the budget need not scan all hosts.
///
/// The counts are derived from the hosts and are not part of the encoding.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct CountTable {
    pools: SortedMap<PoolName, PoolCounts>,
}

impl CountTable {
    /// Counts all hosts.
    pub(super) fn new<'a>(hosts: impl Iterator<Item = &'a HostState>) -> Self {
        let mut table = Self::default();
        for host in hosts {
            table.add(host);
        }
        table
    }

    /// Returns the counts of a pool; `None` when it has no available host.
    pub(super) fn for_pool(&self, pool: &PoolName) -> Option<&PoolCounts> {
        self.pools.get(pool)
    }

    /// Adds a host to the counts if it is available.
    pub(super) fn add(&mut self, host: &HostState) {
        if host.is_available() {
            or_default(&mut self.pools, &host.pool).add(host);
        }
    }

    /// Removes a host from the counts; its state must be the same as when it was added.
    pub(super) fn remove(&mut self, host: &HostState) {
        if !host.is_available() {
            return;
        }
        if let Some(counts) = self.pools.get_mut(&host.pool) {
            counts.remove(host);
            if counts.available == 0 {
                self.pools.remove(&host.pool);
            }
        }
    }
}

/// Returns the value of a key, adding the default value if the key is new.
fn or_default<'a, K: Clone + Ord, V: Default>(rows: &'a mut SortedMap<K, V>, key: &K) -> &'a mut V {
    if !rows.contains(key) {
        rows.insert(key.clone(), V::default());
    }
    rows.get_mut(key).expect("the key was added above")
}
