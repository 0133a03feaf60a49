use goldcreststall_core::ids::Millis;

/// Bounds of a deployment that its settings name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceBounds {
    /// Whether calls that need a key are refused when the configuration was not read for longer than `revoke`.
    pub fail_closed: bool,
    /// Duration of a work item far from its data, or of a gang on several racks, in percent of its duration near them;
    /// at least 100.
    pub far_percent: u32,
    /// Time over which the rate of an organisation's submissions is measured.
    pub quota_window: Millis,
    /// How long a revoked key may be accepted while the store is out of reach; only with `fail_closed`.
    pub revoke: Millis,
}

impl Default for ServiceBounds {
    fn default() -> Self {
        Self {
            fail_closed: false,
            far_percent: 100,
            quota_window: Millis(5_000),
            revoke: Millis(5_000),
        }
    }
}
