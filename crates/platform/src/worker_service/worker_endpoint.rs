use {
    goldcreststall_core::ids::{HostName, Incarnation},
    std::net::SocketAddr,
};

/// Where a run of a worker is reached.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkerEndpoint {
    /// Address of the worker.
    pub address: SocketAddr,
    /// Name of the worker.
    pub host: HostName,
    /// The run that is meant. A worker refuses requests to another run.
    pub incarnation: Incarnation,
}
