/// Thousandths of a core that count as much as one megabit per second of the link.
const CPU_MILLI_PER_MBPS: u32 = 10;

/// An entry host that offers to send commands to runners.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DelegateProfile {
    /// Name of the entry host.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Thousandths of a core that its process may use.
    pub cpu: u32,
    /// Megabits per second of its link.
    pub link_mbps: u32,
}

impl DelegateProfile {
    /// Returns the share of the runners that the entry host should get, relative to others: the lesser of what its
    /// processor and its link allow.
    pub fn weight(&self) -> u32 {
        self.cpu
            .min(self.link_mbps.saturating_mul(CPU_MILLI_PER_MBPS))
            .max(1)
    }
}
