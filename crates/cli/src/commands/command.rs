use {
    goldcreststall_core::{config::ConfigVersion, ids::RecordId},
    goldcreststall_operators::{AuditQuery, HostQuery, JobQuery, OperatorChange, WaveQuery},
    std::path::PathBuf,
};

/// A command whose arguments have been checked.
#[derive(Clone, Debug)]
pub(crate) enum Command {
    /// Checks a configuration file without an entry host.
    ValidateConfig {
        file: PathBuf,
    },
    PublishConfig {
        /// The version that the file was derived from.
        base: ConfigVersion,
        file: PathBuf,
    },
    /// Makes any change other than publishing a configuration.
    Change(OperatorChange),
    Read(ReadCommand),
}

/// A command that reads from an entry host and changes nothing.
#[derive(Clone, Debug)]
pub(crate) enum ReadCommand {
    /// The configuration in force.
    Config,
    Pools,
    Hosts(HostQuery),
    Waves(WaveQuery),
    Jobs(JobQuery),
    Job(RecordId),
    Audit(AuditQuery),
    /// The state of the entry host that answers.
    Status,
}
