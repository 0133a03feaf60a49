use {crate::ids::PoolName, std::fmt};

/// Control work that one entry host performs for the whole fleet.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Duty {
    /// Records hosts that went down or came up.
    HostObservation,
    /// Lends spare hosts to other pools and returns them.
    Moves,
    /// Leases durable jobs to the workers of a pool.
    Placement(PoolName),
    /// Writes snapshots of the fleet state.
    Snapshots,
    /// Advances the waves of a pool.
    Waves(PoolName),
}

impl fmt::Display for Duty {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HostObservation => formatter.write_str("host-observation"),
            Self::Moves => formatter.write_str("moves"),
            Self::Placement(pool) => write!(formatter, "placement/{pool}"),
            Self::Snapshots => formatter.write_str("snapshots"),
            Self::Waves(pool) => write!(formatter, "waves/{pool}"),
        }
    }
}
