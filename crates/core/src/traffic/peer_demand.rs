use crate::ids::{EntryName, LocalTime, Millis, ServiceName};

/// A peer that was not heard from for longer than this no longer counts in the slot split.
pub const DEMAND_TIMEOUT: Millis = Millis(2_000);

/// Demand of one entry host for one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceDemand {
    /// Queued and in-flight requests.
    pub requests: u32,
    /// Name of the service; keys differ between entry hosts.
    pub service: ServiceName,
}

/// The demand part of the latest digest of an entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerDemand {
    /// Name of the entry host.
    pub entry: EntryName,
    /// When the digest arrived here.
    pub last_contact: LocalTime,
    /// Demand for each service; services without demand may be absent.
    pub services: Vec<ServiceDemand>,
}
