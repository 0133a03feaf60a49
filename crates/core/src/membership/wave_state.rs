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

/// A wave and the version of it that the author of a record saw.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenWave {
    /// The version that the author saw.
    pub seen: WaveVersion,
    /// Name of the wave.
    pub wave: WaveName,
}

/// Progress of a wave.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum WaveStatus {
    /// The wave stops hosts.
    Running,
    /// The wave starts no further stops until it is resumed.
    Paused,
    /// The wave was cancelled and stops no further hosts.
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
    /// Maximum time from drained to up, after which a host counts as down.
    pub reboot_limit: Millis,
    /// When the wave started.
    pub started: LogTime,
    /// Progress of the wave.
    pub status: WaveStatus,
    /// Version that the next record about the wave has to name.
    pub version: WaveVersion,
}

impl WaveState {
    /// Returns whether the wave can still stop hosts, now or after it is resumed.
    pub fn is_open(&self) -> bool {
        matches!(self.status, WaveStatus::Running | WaveStatus::Paused)
    }
}
