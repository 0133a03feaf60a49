use {
    super::PeerAddress,
    async_trait::async_trait,
    std::io,
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpStream,
    },
};

/// A byte stream to a peer.
pub trait PeerStream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<S: AsyncRead + AsyncWrite + Send + Unpin> PeerStream for S {}

/// Opens streams to peers.
#[async_trait]
pub trait PeerDialer: Send + Sync {
    /// Opens a stream to `peer`. The mesh applies the timeout.
    ///
    /// # Errors
    /// `io::Error` when the peer cannot be reached.
    async fn dial(&self, peer: &PeerAddress) -> io::Result<Box<dyn PeerStream>>;
}

/// Opens TCP connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

#[async_trait]
impl PeerDialer for TcpDialer {
    async fn dial(&self, peer: &PeerAddress) -> io::Result<Box<dyn PeerStream>> {
        let stream = TcpStream::connect(peer.address).await?;
        stream.set_nodelay(true)?;
        Ok(Box::new(stream))
    }
}
