use {
    super::{HostVersion, SeenWave, WaveVersion},
    crate::ids::{
        DataCentre, HostName, Incarnation, LogTime, Millis, PoolName, RackName, WaveName,
    },
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Reboot limit of a planned stop that belongs to no wave.
pub const DEFAULT_REBOOT_LIMIT: Millis = Millis(15 * 60 * 1000);

/// A change of hosts, moves, drains, stops or waves.
///
/// The encoding numbers the variants and fields, so new ones are added at the end only. `seen` is the
/// version that the author saw. `list_time` is the log time of the host list behind the decision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MembershipRecord {
    /// Adds a host to a pool.
    HostAdd {
        /// Data centre of the host.
        data_centre: DataCentre,
        /// Name of the host.
        host: HostName,
        /// The incarnation of the host.
        incarnation: Incarnation,
        /// The pool that the host joins.
        pool: PoolName,
        /// Rack of the host within its data centre.
        rack: RackName,
    },
    /// Removes a host that is not available.
    HostRemove {
        /// Name of the host.
        host: HostName,
        /// Version of the host.
        seen: HostVersion,
    },
    /// Reports an unplanned failure, or a host that was not up again in time. A drained host that is within its reboot
    /// limit has not failed.
    HostDown {
        /// Name of the host.
        host: HostName,
        /// Version of the host.
        seen: HostVersion,
    },
    /// Reports a host that is up again or was replaced. A newer incarnation ends a planned stop.
    HostUp {
        /// Name of the host.
        host: HostName,
        /// The incarnation that is up.
        incarnation: Incarnation,
        /// Version of the host.
        seen: HostVersion,
    },
    /// Starts to drain a host for a change of its pool.
    MoveStart {
        /// Name of the host.
        host: HostName,
        /// Whether the host is lent and has to be returned.
        lend: bool,
        /// Log time of the host list.
        list_time: LogTime,
        /// Version of the host.
        seen: HostVersion,
        /// The new pool.
        to: PoolName,
    },
    /// Changes the pool of a host that has drained.
    MoveFinish {
        /// Name of the host.
        host: HostName,
        /// Version of the host.
        seen: HostVersion,
    },
    /// Cancels a move; the host serves again in its old pool.
    MoveCancel {
        /// Name of the host.
        host: HostName,
        /// Version of the host.
        seen: HostVersion,
    },
    /// Takes a host out of service for an operator.
    DrainStart {
        /// Name of the host.
        host: HostName,
        /// Log time of the host list.
        list_time: LogTime,
        /// Version of the host.
        seen: HostVersion,
    },
    /// Puts a host back into service.
    DrainEnd {
        /// Name of the host.
        host: HostName,
        /// Version of the host.
        seen: HostVersion,
    },
    /// Starts to drain a host for a reboot.
    StopStart {
        /// Name of the host.
        host: HostName,
        /// Log time of the host list.
        list_time: LogTime,
        /// Version of the host.
        seen: HostVersion,
        /// The wave that stops the host, if any.
        wave: Option<SeenWave>,
    },
    /// Reports that a stopping host has drained, so that it may be rebooted.
    StopDrained {
        /// Name of the host.
        host: HostName,
        /// Version of the host.
        seen: HostVersion,
    },
    /// Starts a wave over a pool.
    WaveStart {
        /// The pool whose hosts are maintained.
        pool: PoolName,
        /// Maximum time from drained to up, after which a host counts as down.
        reboot_limit: Millis,
        /// Name of the wave.
        wave: WaveName,
    },
    /// Pauses a wave; stops in progress continue.
    WavePause {
        /// Version of the wave.
        seen: WaveVersion,
        /// Name of the wave.
        wave: WaveName,
    },
    /// Resumes a paused wave.
    WaveResume {
        /// Version of the wave.
        seen: WaveVersion,
        /// Name of the wave.
        wave: WaveName,
    },
    /// Cancels a wave. Hosts that still drain serve again; drained hosts are rebooted.
    WaveCancel {
        /// Version of the wave.
        seen: WaveVersion,
        /// Name of the wave.
        wave: WaveName,
    },
    /// Ends a wave whose hosts are all maintained.
    WaveFinish {
        /// Version of the wave.
        seen: WaveVersion,
        /// Name of the wave.
        wave: WaveName,
    },
}

/// Describes the change that the record asks for.
impl fmt::Display for MembershipRecord {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HostAdd { host, pool, .. } => write!(formatter, "add {host} to {pool}"),
            Self::HostRemove { host, .. } => write!(formatter, "remove {host}"),
            Self::HostDown { host, .. } => write!(formatter, "{host} is down"),
            Self::HostUp {
                host, incarnation, ..
            } => write!(formatter, "{host} is up as incarnation {incarnation}"),
            Self::MoveStart { host, lend, to, .. } => {
                let verb = if *lend { "lend" } else { "move" };
                write!(formatter, "{verb} {host} to {to}")
            }
            Self::MoveFinish { host, .. } => write!(formatter, "{host} has drained and moves"),
            Self::MoveCancel { host, .. } => write!(formatter, "leave {host} in its pool"),
            Self::DrainStart { host, .. } => write!(formatter, "drain {host}"),
            Self::DrainEnd { host, .. } => write!(formatter, "put {host} back into service"),
            Self::StopStart { host, wave, .. } => match wave {
                Some(seen) => write!(formatter, "stop {host} for {}", seen.wave),
                None => write!(formatter, "stop {host}"),
            },
            Self::StopDrained { host, .. } => write!(formatter, "{host} has drained for its stop"),
            Self::WaveStart { pool, wave, .. } => write!(formatter, "start {wave} over {pool}"),
            Self::WavePause { wave, .. } => write!(formatter, "pause {wave}"),
            Self::WaveResume { wave, .. } => write!(formatter, "resume {wave}"),
            Self::WaveCancel { wave, .. } => write!(formatter, "cancel {wave}"),
            Self::WaveFinish { wave, .. } => write!(formatter, "{wave} is complete"),
        }
    }
}
