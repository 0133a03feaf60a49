use crate::ids::{HostName, Incarnation};

/// States that one run of a host takes no new work.
///
/// The notice is void once the view shows a newer incarnation or a later activation. Without the
/// activation, two entry hosts that read the log at different times would keep sending each other
/// a notice that the log has already overruled.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeavingNotice {
    /// Name of the host.
    pub host: HostName,
    /// The run of the host that leaves.
    pub incarnation: Incarnation,
    /// Activation of the host that the author of the notice had seen.
    pub activation: u64,
}

impl LeavingNotice {
    /// Tells whether the notice still holds for a host at this incarnation and activation.
    pub fn covers(&self, incarnation: Incarnation, activation: u64) -> bool {
        self.incarnation >= incarnation && self.activation >= activation
    }
}
