use {
    crate::ids::{DataCentre, Incarnation, LogTime, Millis, PoolName, RackName, WaveName},
    serde::{Deserialize, Serialize},
};

/// Version of a host.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct HostVersion {
    /// Counts the changes of the whole membership, so that a host that was removed and added again under
    /// the same name never repeats a version.
    pub change: u64,
    /// The run of the host.
    pub incarnation: Incarnation,
}

/// A planned stop in progress.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlannedStop {
    /// When the host had no more work, after which it may be rebooted.
    pub drained: Option<LogTime>,
    /// Longest time from drained to up, after which the host counts as down.
    pub reboot_limit: Millis,
    /// When the host began to drain.
    pub started: LogTime,
    /// The wave that stops the host, if any.
    pub wave: Option<WaveName>,
}

impl PlannedStop {
    /// Tells whether the host should have come back before `now`.
    pub fn overdue(&self, now: LogTime) -> bool {
        self.drained
            .is_some_and(|drained| now.since(drained) > self.reboot_limit)
    }
}

/// What is planned with a host. Only one thing at a time is, so that plans cannot contradict each other.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum HostActivity {
    /// The host takes work.
    #[default]
    Serving,
    /// An operator has taken the host out of service.
    Draining,
    /// The host drains in order to change its pool; it is still in the old one.
    Moving {
        /// Whether the host is lent and has to be given back.
        lend: bool,
        /// The new pool.
        to: PoolName,
    },
    /// The host is stopped for maintenance.
    Stopping(PlannedStop),
}

/// State of a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostState {
    /// What is planned with the host.
    pub activity: HostActivity,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// When the host was last seen to fail, if it has not come back.
    pub down: Option<LogTime>,
    /// The pool that the host was lent by.
    pub lent_from: Option<PoolName>,
    /// End of the last maintenance; zero when there was none.
    pub maintained: LogTime,
    /// The pool that the host belongs to.
    pub pool: PoolName,
    /// Rack of the host within its data centre.
    pub rack: RackName,
    /// Version that a record about the host has to name.
    pub version: HostVersion,
}

impl HostState {
    /// Tells whether the host counts as available in its pool.
    pub fn available(&self) -> bool {
        self.down.is_none() && self.activity == HostActivity::Serving
    }

    /// Returns the planned stop in progress.
    pub fn stop(&self) -> Option<&PlannedStop> {
        match &self.activity {
            HostActivity::Stopping(stop) => Some(stop),
            _ => None,
        }
    }

    /// Tells whether the wave `wave` is stopping the host.
    pub fn stopped_by(&self, wave: &WaveName) -> bool {
        self.stop()
            .is_some_and(|stop| stop.wave.as_ref() == Some(wave))
    }
}
