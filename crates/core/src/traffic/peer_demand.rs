use crate::ids::{EntryName, LocalTime, Millis, ServiceName};

/// Time without a digest after which a peer is left out of the slot division.
pub const DEMAND_TIMEOUT: Millis = Millis(2_000);

/// Demand of one entry host for one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceDemand {
    /// Number of queued and in-flight requests.
    pub requests: u32,
    /// Name of the service; a key would not do, since keys differ between entry hosts.
    pub service: ServiceName,
}

/// Demand of an entry host from its latest digest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerDemand {
    /// Name of the entry host.
    pub entry: EntryName,
    /// Arrival time of the digest.
    pub last_contact: LocalTime,
    /// Demand per service; services without demand may be absent.
    pub services: Vec<ServiceDemand>,
}
