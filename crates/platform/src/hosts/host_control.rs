use {
    super::HostsError,
    goldcreststall_core::ids::{HostName, Incarnation},
};

/// Reboots hosts of the platform.
#[async_trait::async_trait]
pub trait HostControl: Send + Sync {
    /// Reboots one incarnation of a host. A repeated request, or one for an earlier incarnation, has no effect.
    ///
    /// # Errors
    /// `HostsError` when the platform does not confirm; the host may still reboot.
    async fn reboot(&self, host: &HostName, incarnation: Incarnation) -> Result<(), HostsError>;
}
