use crate::{
    config::FleetConfig,
    ids::{DataCentre, HostName, Incarnation, PoolName, RackName},
};

/// A host as the platform's host list shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformHost {
    /// Socket address of the host, `ip:port`.
    pub address: String,
    /// Most connections that the host accepts, over all entry hosts.
    pub connections: u32,
    /// Where the host is.
    pub data_centre: DataCentre,
    /// The present run of the host.
    pub incarnation: Incarnation,
    /// Whether the platform is about to take the host away.
    pub leaving: bool,
    /// Name of the host.
    pub name: HostName,
    /// Rack of the host.
    pub rack: RackName,
    /// Requests that the host runs at the same time, over all entry hosts.
    pub slots: u32,
}

/// A host as the log shows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolMember {
    /// Grows each time the log makes the host active; leaving notices of an earlier value are void.
    pub activation: u64,
    /// Whether the host takes new work: not draining, moving, stopping or down.
    pub active: bool,
    /// Name of the host.
    pub host: HostName,
    /// The one pool of the host.
    pub pool: PoolName,
}

/// What a [`RoutingView`](super::RoutingView) is built from.
#[derive(Clone, Copy, Debug)]
pub struct ViewInput<'a> {
    /// The configuration in force.
    pub config: &'a FleetConfig,
    /// Data centre of this entry host.
    pub data_centre: &'a DataCentre,
    /// Entry hosts that share the connections of each target; zero counts as one.
    pub entry_hosts: u32,
    /// The platform's host list, in any order.
    pub hosts: &'a [PlatformHost],
    /// Pool membership from the log, in any order.
    pub members: &'a [PoolMember],
}
