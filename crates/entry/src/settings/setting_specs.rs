/// Flag, environment variable, default value and help text of a setting.
#[derive(Debug)]
pub(super) struct SettingSpec {
    pub(super) default: Option<&'static str>,
    pub(super) flag: &'static str,
    pub(super) help: &'static str,
    pub(super) variable: &'static str,
}

const fn spec(
    flag: &'static str,
    variable: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> SettingSpec {
    SettingSpec {
        default,
        flag,
        help,
        variable,
    }
}

/// All settings. A flag takes precedence over its environment variable.
pub(super) const SETTINGS: [SettingSpec; 15] = [
    spec(
        "name",
        "GOLDCRESTSTALL_NAME",
        None,
        "name of this entry host",
    ),
    spec(
        "data-centre",
        "GOLDCRESTSTALL_DATA_CENTRE",
        None,
        "data centre of this entry host",
    ),
    spec(
        "callers",
        "GOLDCRESTSTALL_CALLERS",
        None,
        "IP:PORT on which callers are served",
    ),
    spec(
        "operators",
        "GOLDCRESTSTALL_OPERATORS",
        None,
        "IP:PORT on which operators are served",
    ),
    spec(
        "listen-peers",
        "GOLDCRESTSTALL_LISTEN_PEERS",
        None,
        "IP:PORT on which other entry hosts are served",
    ),
    spec(
        "peers",
        "GOLDCRESTSTALL_PEERS",
        Some(""),
        "NAME=IP:PORT of the other entry hosts, separated by commas",
    ),
    spec(
        "log",
        "GOLDCRESTSTALL_LOG",
        None,
        "IP:PORT of the log service",
    ),
    spec(
        "hosts",
        "GOLDCRESTSTALL_HOSTS",
        None,
        "IP:PORT of the list of hosts",
    ),
    spec(
        "drain-ms",
        "GOLDCRESTSTALL_DRAIN_MS",
        Some("60000"),
        "longest wait for exchanges in progress at shutdown, 0 to 3600000",
    ),
    spec(
        "lame-duck-ms",
        "GOLDCRESTSTALL_LAME_DUCK_MS",
        Some("2000"),
        "how long requests are accepted after SIGTERM, 0 to 60000",
    ),
    spec(
        "log-format",
        "GOLDCRESTSTALL_LOG_FORMAT",
        Some("auto"),
        "auto, plain or json",
    ),
    spec(
        "log-level",
        "GOLDCRESTSTALL_LOG_LEVEL",
        Some("info"),
        "debug, info, warning or error",
    ),
    spec(
        "threads",
        "GOLDCRESTSTALL_THREADS",
        Some("2"),
        "threads for traffic, 1 to 64",
    ),
    spec(
        "memory-mb",
        "GOLDCRESTSTALL_MEMORY_MB",
        Some("256"),
        "memory of the host in MB, 1 to 1000000",
    ),
    spec(
        "max-fds",
        "GOLDCRESTSTALL_MAX_FDS",
        Some("4096"),
        "file descriptors of the process, 1 to 1000000",
    ),
];
