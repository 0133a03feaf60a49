use {crate::wire::WireError, goldcreststall_core::ids::EntryName, std::io};

/// Why a connection ended or a request to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The peer closed the connection.
    #[error("the peer closed the connection")]
    Closed,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer broke the protocol.
    #[error("the peer broke the protocol: {0}")]
    Malformed(#[from] WireError),
    /// The peer has no state.
    #[error("the peer has no state")]
    NoState,
    /// The peer is silent, so that the connection may be dead without an error.
    #[error("the peer is silent")]
    Silent,
    /// This mesh is shutting down.
    #[error("the mesh is shutting down")]
    Stopped,
    /// The peer did not keep a time limit.
    #[error("{0} took too long")]
    TimedOut(&'static str),
    /// More requests are open on one connection than are queued.
    #[error("too many requests are open")]
    TooManyRequests,
    /// Too many connections are open.
    #[error("too many connections are open")]
    TooManyConnections,
    /// There is no connection to the peer, or it ended before the response.
    #[error("the peer is not reachable")]
    Unreachable,
    /// No peer of this name is in the settings.
    #[error("{0} is not a peer")]
    UnknownPeer(EntryName),
    /// The connection was meant for another entry host.
    #[error("the connection was meant for {0}")]
    WrongReceiver(EntryName),
}
