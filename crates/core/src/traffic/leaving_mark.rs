use crate::ids::{HostName, Incarnation};

/// States that one run of a host takes no new work.
///
/// The mark is void once the view shows a newer incarnation or a later activation. Without the
/// activation, two entry hosts that read the log at different times would keep sending each other
/// a mark that the log has already overruled.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeavingMark {
    /// Name of the host.
    pub host: HostName,
    /// The run of the host that leaves.
    pub incarnation: Incarnation,
    /// Activation of the host that the author of the mark had seen.
    pub activation: u64,
}

impl LeavingMark {
    /// Tells whether the mark still holds for a host at this incarnation and activation.
    pub fn covers(&self, incarnation: Incarnation, activation: u64) -> bool {
        self.incarnation >= incarnation && self.activation >= activation
    }
}
