use {
    super::JobSpec,
    crate::generated::v1 as raw,
    goldcreststall_core::{
        config::ConfigVersion,
        ids::{DataCentre, HostName, Incarnation, PoolName, RackName, RecordId},
    },
    serde::Serialize,
    std::fmt,
};

/// The version of a host that an operator saw.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct SeenHostVersion {
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Increases with each change of the host.
    pub number: u64,
}

impl fmt::Display for SeenHostVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.incarnation, self.number)
    }
}

impl From<raw::HostVersion> for SeenHostVersion {
    fn from(raw: raw::HostVersion) -> Self {
        Self {
            incarnation: Incarnation(raw.incarnation),
            number: raw.number,
        }
    }
}

impl From<SeenHostVersion> for raw::HostVersion {
    fn from(seen: SeenHostVersion) -> Self {
        Self {
            incarnation: seen.incarnation.0,
            number: seen.number,
        }
    }
}

/// A change that an operator requests.
///
/// Where `seen` is `None`, the entry host uses the version in its own state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OperatorChange {
    /// Replaces the configuration.
    PublishConfig {
        /// The version that the document was derived from.
        base: ConfigVersion,
        /// The document in TOML. The server forwards only valid documents to the backend.
        document: String,
    },
    /// Adds a host to a pool.
    AddHost {
        /// Data centre of the host.
        data_centre: DataCentre,
        /// Name of the host.
        host: HostName,
        /// Pool that the host joins.
        pool: PoolName,
        /// Rack of the host.
        rack: RackName,
    },
    /// Removes a host from the fleet permanently.
    RemoveHost {
        /// Name of the host.
        host: HostName,
        /// The version that the operator saw.
        seen: Option<SeenHostVersion>,
    },
    /// Takes a host out of service.
    DrainHost {
        /// Name of the host.
        host: HostName,
        /// The version that the operator saw.
        seen: Option<SeenHostVersion>,
    },
    /// Takes a drained host back into service.
    UndrainHost {
        /// Name of the host.
        host: HostName,
        /// The version that the operator saw.
        seen: Option<SeenHostVersion>,
    },
    /// Moves a host to another pool.
    MoveHost {
        /// Name of the host.
        host: HostName,
        /// Pool that the host moves to.
        pool: PoolName,
        /// The version that the operator saw.
        seen: Option<SeenHostVersion>,
    },
    /// Starts a wave, whose id is the id of the change request.
    StartWave {
        /// Maximum number of hosts to stop at the same time; with `None` only the budget limits it.
        max_stopping: Option<u32>,
        /// Pool to maintain.
        pool: PoolName,
    },
    /// Keeps a wave from stopping further hosts.
    PauseWave {
        /// The version that the operator saw.
        seen: Option<u64>,
        /// Id of the wave.
        wave: RecordId,
    },
    /// Continues a paused wave.
    ResumeWave {
        /// The version that the operator saw.
        seen: Option<u64>,
        /// Id of the wave.
        wave: RecordId,
    },
    /// Ends a wave.
    CancelWave {
        /// The version that the operator saw.
        seen: Option<u64>,
        /// Id of the wave.
        wave: RecordId,
    },
    /// Submits a durable job, whose id is the id of the change request.
    SubmitJob {
        /// Requirements of the job.
        spec: JobSpec,
    },
    /// Cancels a durable job.
    CancelJob {
        /// Id of the job.
        job: RecordId,
    },
    /// Makes an excluded worker eligible for jobs again.
    ReadmitWorker {
        /// Name of the worker.
        worker: HostName,
    },
}

impl OperatorChange {
    /// Largest value of `max_stopping` in [`Self::StartWave`].
    pub const MAX_STOPPING: u32 = 100_000;
}
