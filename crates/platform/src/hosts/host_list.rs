use super::HostListing;

/// The platform did not answer about its hosts.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the platform did not answer about its hosts: {0}")]
pub struct ListError(pub String);

/// The lagging list of live and leaving hosts.
#[async_trait::async_trait]
pub trait HostList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    /// `ListError` when the platform does not answer.
    async fn hosts(&self) -> Result<HostListing, ListError>;
}
