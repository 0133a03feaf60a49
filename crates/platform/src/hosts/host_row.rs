use {
    goldcreststall_core::ids::{DataCentre, HostName, Incarnation, LogTime, RackName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What the list says of the life of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostStatus {
    /// The host is up.
    Live,
    /// The host is up and will go away soon.
    Leaving,
}

/// One host of the list. A host that is down is not listed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRow {
    /// Accelerators of the host.
    #[serde(default)]
    pub accelerators: u32,
    /// Where the host serves requests.
    pub address: SocketAddr,
    /// Connections that the host accepts, over all entry hosts.
    pub connections: u32,
    /// Processor cores of the host.
    #[serde(default)]
    pub cores: u32,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Grows with each start of the host.
    pub incarnation: Incarnation,
    /// Memory of the host in MiB.
    #[serde(default)]
    pub memory_mib: u32,
    /// Name of the host.
    pub name: HostName,
    /// Rack of the host.
    pub rack: RackName,
    /// Requests that the host runs at the same time.
    pub slots: u32,
    /// Life of the host.
    pub status: HostStatus,
    /// Where the host takes tasks under leases, if it does.
    #[serde(default)]
    pub worker: Option<SocketAddr>,
}

/// The list as read.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostListing {
    /// The hosts that are up.
    pub hosts: Vec<HostRow>,
    /// When the platform made the list, on the clock of the log service.
    pub observed: LogTime,
}
