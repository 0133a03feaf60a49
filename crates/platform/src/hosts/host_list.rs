use super::HostListing;

/// A request to the host service of the platform that got no usable response.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the host service of the platform gave no usable response: {0}")]
pub struct HostsError(pub String);

/// Reads the list of live and leaving hosts, which lags behind their actual state.
#[async_trait::async_trait]
pub trait HostList: Send + Sync {
    /// Returns the current list.
    ///
    /// # Errors
    /// `HostsError` when the platform returns no list.
    async fn hosts(&self) -> Result<HostListing, HostsError>;
}
