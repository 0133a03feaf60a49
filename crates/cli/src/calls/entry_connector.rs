use {
    async_trait::async_trait,
    goldcreststall_operators::{OperatorBackend, OperatorClient, OperatorError},
    std::{net::SocketAddr, time::Duration},
};

/// Opens connections to entry hosts.
#[async_trait]
pub trait EntryConnector: Send + Sync {
    /// Connects to an entry host. `timeout` limits the connection attempt and, separately, each later call.
    ///
    /// # Errors
    /// `Unreachable` when nothing was sent.
    async fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Box<dyn OperatorBackend>, OperatorError>;
}

/// Connects to entry hosts over gRPC.
#[derive(Clone, Copy, Debug)]
pub struct GrpcConnector;

#[async_trait]
impl EntryConnector for GrpcConnector {
    async fn connect(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Box<dyn OperatorBackend>, OperatorError> {
        let client = OperatorClient::connect(address, timeout).await?;
        Ok(Box::new(client))
    }
}
