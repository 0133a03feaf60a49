use {
    crate::{
        collections::SortedMap,
        ids::{HostName, LogTime, Millis, PoolName, WaveName},
    },
    serde::{Deserialize, Serialize},
};

/// Version of a wave: the number of the membership change that last changed its status.
///
/// Stops leave it unchanged, so that one batch can stop several hosts.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct WaveVersion(pub u64);

/// A wave as the author of a record saw it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveSeen {
    /// The version that the author saw.
    pub seen: WaveVersion,
    /// Name of the wave.
    pub wave: WaveName,
}

/// Whether a wave goes on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum WaveStatus {
    /// The wave stops hosts.
    Running,
    /// The wave starts no further stops until it is resumed.
    Paused,
    /// The wave was given up.
    Cancelled,
    /// Every host of the pool was maintained.
    Finished,
}

/// State of a wave.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveState {
    /// The hosts that the wave has maintained.
    pub done: SortedMap<HostName, ()>,
    /// The pool whose hosts are maintained.
    pub pool: PoolName,
    /// Longest time from drained to up, after which a host counts as down.
    pub reboot_limit: Millis,
    /// When the wave started.
    pub started: LogTime,
    /// Whether the wave goes on.
    pub status: WaveStatus,
    /// Version that a record about the wave has to name.
    pub version: WaveVersion,
}

impl WaveState {
    /// Tells whether the wave can still stop hosts, now or after it is resumed.
    pub fn open(&self) -> bool {
        matches!(self.status, WaveStatus::Running | WaveStatus::Paused)
    }
}
