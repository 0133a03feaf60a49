use {
    crate::ids::{DataCentre, Incarnation, LogTime, Millis, PoolName, RackName, WaveName},
    serde::{Deserialize, Serialize},
};

/// Version of a host, which every change of the host replaces.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct HostVersion {
    /// Number of the last change of the host among the changes of the whole membership, so that a host that was
    /// removed and added again under the same name never repeats a version.
    pub change: u64,
    /// The incarnation of the host.
    pub incarnation: Incarnation,
}

/// A planned stop in progress.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlannedStop {
    /// When the host had drained, after which it may be rebooted; `None` while it drains.
    pub drained: Option<LogTime>,
    /// Maximum time from drained to up, after which the host counts as down.
    pub reboot_limit: Millis,
    /// When the host started to drain.
    pub started: LogTime,
    /// The wave that stops the host, if any.
    pub wave: Option<WaveName>,
}

impl PlannedStop {
    /// Returns whether the host has drained and its reboot limit has passed at `now`.
    pub fn is_overdue(&self, now: LogTime) -> bool {
        self.drained
            .is_some_and(|drained| now.since(drained) > self.reboot_limit)
    }
}

/// What is planned for a host. At most one plan is active at a time, so that plans cannot contradict each other.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum HostActivity {
    /// The host takes work.
    #[default]
    Serving,
    /// An operator has taken the host out of service.
    Draining,
    /// The host drains in order to change its pool; it is still in the old one.
    Moving {
        /// Whether the host is lent and has to be returned.
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
    /// What is planned for the host.
    pub activity: HostActivity,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// When the host was reported down; `None` while it is up.
    pub down: Option<LogTime>,
    /// The pool that has lent the host.
    pub lent_from: Option<PoolName>,
    /// End of the last maintenance; zero when there was none.
    pub maintained: LogTime,
    /// The pool that the host belongs to.
    pub pool: PoolName,
    /// Rack of the host within its data centre.
    pub rack: RackName,
    /// Version that the next record about the host has to name.
    pub version: HostVersion,
}

impl HostState {
    /// Returns whether the host is up and serves, so that it counts as available in its pool.
    pub fn is_available(&self) -> bool {
        self.down.is_none() && self.activity == HostActivity::Serving
    }

    /// Returns the planned stop in progress, if any.
    pub fn stop(&self) -> Option<&PlannedStop> {
        match &self.activity {
            HostActivity::Stopping(stop) => Some(stop),
            _ => None,
        }
    }

    /// Returns whether `wave` is stopping the host.
    pub fn is_stopped_by(&self, wave: &WaveName) -> bool {
        self.stop()
            .is_some_and(|stop| stop.wave.as_ref() == Some(wave))
    }
}
