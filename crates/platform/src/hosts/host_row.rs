use {
    goldcreststall_core::ids::{DataCentre, HostName, Incarnation, LogTime, RackName},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// State of a host in the list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostStatus {
    /// The host is up.
    Live,
    /// The host is up and will shut down soon.
    Leaving,
}

/// A host of the list. A host that is down is not listed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRow {
    /// Accelerators of the host.
    #[serde(default)]
    pub accelerators: u32,
    /// Address at which the host serves requests.
    pub address: SocketAddr,
    /// Connections that the host accepts from all entry hosts together.
    pub connections: u32,
    /// Processor cores of the host.
    #[serde(default)]
    pub cores: u32,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Increases with each start of the host.
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
    /// Whether the host stays up or is leaving.
    pub status: HostStatus,
    /// Address at which the host accepts tasks under leases; `None` when it is not a worker.
    #[serde(default)]
    pub worker: Option<SocketAddr>,
}

/// The host list as read.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostListing {
    /// The hosts that are up.
    pub hosts: Vec<HostRow>,
    /// When the platform made the list, on the clock of the log service.
    pub observed: LogTime,
}
