use super::HostsReply;

/// The list could not be read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the list of hosts cannot be read: {0}")]
pub struct ListError(pub String);

/// The lagging list of live and leaving hosts.
#[async_trait::async_trait]
pub trait HostList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    /// `ListError` when the platform does not answer.
    async fn hosts(&self) -> Result<HostsReply, ListError>;
}
