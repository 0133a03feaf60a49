use {
    super::StoreError,
    async_trait::async_trait,
    goldcreststall_dispatch::owner::{HostReport, HostResponse},
};

/// The platform's service that moves and maintains hosts.
#[async_trait]
pub trait HostService: Send + Sync {
    /// Lists all hosts.
    ///
    /// # Errors
    /// When the list could not be read completely.
    async fn list(&self) -> Result<Vec<HostReport>, StoreError>;

    /// Moves a host to another pool; `token` is the fencing token of the owner that commands it.
    async fn move_host(&self, host: &str, pool: &str, token: u64) -> HostResponse;

    /// Starts the maintenance of a host for a wave; `token` is the fencing token of the owner that commands it.
    async fn maintain(&self, host: &str, wave: u64, token: u64) -> HostResponse;
}
