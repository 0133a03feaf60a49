use crate::ids::{HostName, Incarnation};

/// States that one incarnation of a host takes no new work.
///
/// The notice is void once the view shows a newer incarnation or a later activation. Without the
/// activation, two entry hosts that read the log at different times would keep sending each other
/// a notice that the log has already superseded.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeavingNotice {
    /// Name of the host.
    pub host: HostName,
    /// Incarnation of the host that is leaving.
    pub incarnation: Incarnation,
    /// Activation of the host in the log, as far as the author of the notice had read it.
    pub activation: u64,
}

impl LeavingNotice {
    /// Returns whether the notice applies to a host at this incarnation and activation.
    pub fn covers(&self, incarnation: Incarnation, activation: u64) -> bool {
        self.incarnation >= incarnation && self.activation >= activation
    }
}
