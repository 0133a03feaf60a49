use {
    goldcreststall_core::ids::{HostName, Incarnation},
    std::net::SocketAddr,
};

/// Where one incarnation of a worker is reached.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkerEndpoint {
    /// Address of the worker.
    pub address: SocketAddr,
    /// Name of the worker.
    pub host: HostName,
    /// The addressed incarnation. A worker refuses requests that name another one.
    pub incarnation: Incarnation,
}
