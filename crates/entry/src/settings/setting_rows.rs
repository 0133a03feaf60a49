/// One setting: its flag, its environment variable and its help.
#[derive(Debug)]
pub(super) struct SettingRow {
    pub(super) default: Option<&'static str>,
    pub(super) flag: &'static str,
    pub(super) help: &'static str,
    pub(super) variable: &'static str,
}

const fn row(
    flag: &'static str,
    variable: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> SettingRow {
    SettingRow {
        default,
        flag,
        help,
        variable,
    }
}

/// All settings. A flag goes before its environment variable.
pub(super) const ROWS: [SettingRow; 13] = [
    row(
        "name",
        "GOLDCRESTSTALL_NAME",
        None,
        "name of this entry host",
    ),
    row(
        "data-centre",
        "GOLDCRESTSTALL_DATA_CENTRE",
        None,
        "data centre of this entry host",
    ),
    row(
        "callers",
        "GOLDCRESTSTALL_CALLERS",
        None,
        "IP:PORT on which callers are served",
    ),
    row(
        "operators",
        "GOLDCRESTSTALL_OPERATORS",
        None,
        "IP:PORT on which operators are served",
    ),
    row(
        "listen-peers",
        "GOLDCRESTSTALL_LISTEN_PEERS",
        None,
        "IP:PORT on which other entry hosts are served",
    ),
    row(
        "peers",
        "GOLDCRESTSTALL_PEERS",
        Some(""),
        "NAME=IP:PORT of the other entry hosts, separated by commas",
    ),
    row(
        "log",
        "GOLDCRESTSTALL_LOG",
        None,
        "IP:PORT of the log service",
    ),
    row(
        "hosts",
        "GOLDCRESTSTALL_HOSTS",
        None,
        "IP:PORT of the list of hosts",
    ),
    row(
        "drain-ms",
        "GOLDCRESTSTALL_DRAIN_MS",
        Some("60000"),
        "longest wait for exchanges in progress at shutdown, 0 to 3600000",
    ),
    row(
        "lame-duck-ms",
        "GOLDCRESTSTALL_LAME_DUCK_MS",
        Some("2000"),
        "how long requests are accepted after SIGTERM, 0 to 60000",
    ),
    row(
        "log-format",
        "GOLDCRESTSTALL_LOG_FORMAT",
        Some("auto"),
        "auto, plain or json",
    ),
    row(
        "log-level",
        "GOLDCRESTSTALL_LOG_LEVEL",
        Some("info"),
        "debug, info, warning or error",
    ),
    row(
        "threads",
        "GOLDCRESTSTALL_THREADS",
        Some("2"),
        "threads for traffic, 1 to 64",
    ),
];
