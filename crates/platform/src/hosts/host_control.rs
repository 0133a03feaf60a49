use {
    super::ListError,
    goldcreststall_core::ids::{HostName, Incarnation},
};

/// Acts on hosts of the platform.
#[async_trait::async_trait]
pub trait HostControl: Send + Sync {
    /// Reboots a run of a host. A repetition, or a request about an earlier run, has no effect.
    ///
    /// # Errors
    /// `ListError` when the platform does not answer; the host may reboot.
    async fn reboot(&self, host: &HostName, incarnation: Incarnation) -> Result<(), ListError>;
}
