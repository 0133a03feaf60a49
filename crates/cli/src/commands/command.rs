use {
    goldcreststall_core::{config::ConfigVersion, ids::RecordId},
    goldcreststall_operators::{AuditQuery, HostQuery, JobQuery, OperatorChange, WaveQuery},
    std::path::PathBuf,
};

/// A command with checked values.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Checks a file without an entry host.
    ValidateConfig {
        /// The file.
        file: PathBuf,
    },
    /// Publishes a file.
    PublishConfig {
        /// The version that the file was derived from.
        base: ConfigVersion,
        /// The file.
        file: PathBuf,
    },
    /// Makes any other change.
    Change(OperatorChange),
    /// Reads something.
    Read(ReadCommand),
}

/// A command that changes nothing.
#[derive(Clone, Debug)]
pub(crate) enum ReadCommand {
    /// The configuration in force.
    Config,
    /// The pools.
    Pools,
    /// Hosts.
    Hosts(HostQuery),
    /// Waves.
    Waves(WaveQuery),
    /// Jobs.
    Jobs(JobQuery),
    /// One job.
    Job(RecordId),
    /// An audit trail.
    Audit(AuditQuery),
    /// The state of the entry host.
    Status,
}
