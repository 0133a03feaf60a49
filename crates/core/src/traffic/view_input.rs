use crate::{
    config::FleetConfig,
    ids::{DataCentre, HostName, Incarnation, PoolName, RackName},
};

/// A host in the platform's host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformHost {
    /// Socket address of the host, `ip:port`.
    pub address: String,
    /// Maximum number of connections that the host accepts, from all entry hosts together.
    pub connections: u32,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Current incarnation of the host.
    pub incarnation: Incarnation,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
    /// Name of the host.
    pub name: HostName,
    /// Rack of the host.
    pub rack: RackName,
    /// Number of requests that the host runs concurrently, for all entry hosts together; zero if it declares none.
    pub slots: u32,
}

/// Pool membership of a host in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolMember {
    /// Increases each time the log activates the host; leaving notices with an earlier value are void.
    pub activation: u64,
    /// Whether the host takes new work: not draining, moving, stopping or down.
    pub active: bool,
    /// Name of the host.
    pub host: HostName,
    /// Pool of the host; each host is in exactly one.
    pub pool: PoolName,
}

/// Input for building a [`RoutingView`](super::RoutingView).
#[derive(Clone, Copy, Debug)]
pub struct ViewInput<'a> {
    /// The configuration in force.
    pub config: &'a FleetConfig,
    /// Data centre of this entry host.
    pub data_centre: &'a DataCentre,
    /// Number of entry hosts that share the connections of each target; zero counts as one.
    pub entry_hosts: u32,
    /// Place of this entry host among them, from 0 on, in the order of their names.
    pub entry_rank: u32,
    /// The platform's host list, in any order.
    pub hosts: &'a [PlatformHost],
    /// Pool membership from the log, in any order.
    pub members: &'a [PoolMember],
}
