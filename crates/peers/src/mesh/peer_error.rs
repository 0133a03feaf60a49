use {crate::wire::WireError, goldcreststall_core::ids::EntryName, std::io};

/// Why a connection ended or a request to a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The peer closed the connection.
    #[error("the peer closed the connection")]
    Closed,
    /// Reading, writing or connecting failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer violated the protocol.
    #[error("protocol violation: {0}")]
    Protocol(#[from] WireError),
    /// The peer has no state.
    #[error("the peer has no state")]
    NoState,
    /// The peer sends no digests, so the connection may be dead without reporting an error.
    #[error("the peer is silent")]
    Silent,
    /// This mesh is shutting down.
    #[error("the mesh is shutting down")]
    Stopped,
    /// An operation, named in the value, exceeded its time limit.
    #[error("{0} timed out")]
    TimedOut(&'static str),
    /// The queue for requests of one connection, or to one peer, is full.
    #[error("too many requests are queued")]
    TooManyRequests,
    /// The limit of incoming connections is reached.
    #[error("too many connections are open")]
    TooManyConnections,
    /// There is no connection to the peer, or it ended before the response was complete.
    #[error("the peer is not reachable")]
    Unreachable,
    /// The settings contain no peer with this name.
    #[error("{0} is not a peer")]
    UnknownPeer(EntryName),
    /// The connection was meant for another entry host.
    #[error("the connection was meant for {0}")]
    WrongReceiver(EntryName),
}
