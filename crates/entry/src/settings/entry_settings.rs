use {
    super::setting_specs::{SETTINGS, SettingSpec},
    crate::logging::LogFormat,
    goldcreststall_core::ids::{DataCentre, EntryName, Millis},
    goldcreststall_peers::mesh::PeerAddress,
    slog::Level,
    std::{ffi::OsString, fmt::Write, io::IsTerminal, net::SocketAddr, str::FromStr},
};

/// The validated settings of an entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntrySettings {
    /// Address on which callers are served.
    pub callers: SocketAddr,
    /// Data centre of this entry host.
    pub data_centre: DataCentre,
    /// Maximum wait at shutdown for exchanges in progress, 0 to 3,600,000 ms.
    pub drain: Millis,
    /// Address of the service that lists and reboots hosts.
    pub hosts: SocketAddr,
    /// How long requests are accepted after SIGTERM, 0 to 60,000 ms.
    pub lame_duck: Millis,
    /// Address on which other entry hosts are served.
    pub listen_peers: SocketAddr,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Output format of log lines.
    pub log_format: LogFormat,
    /// Lowest level of log lines that are written.
    pub log_level: Level,
    /// File descriptors that the process may use, 1 to 1,000,000.
    pub max_fds: u32,
    /// Memory that the process may use, 1 to 1,000,000 MB.
    pub memory_mb: u32,
    /// Name of this entry host.
    pub name: EntryName,
    /// Address on which operators are served.
    pub operators: SocketAddr,
    /// The other entry hosts.
    pub peers: Vec<PeerAddress>,
    /// Number of threads for traffic, 1 to 64.
    pub threads: usize,
}

/// Why reading the settings returned none.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// Help was requested; contains the help text.
    #[error("{0}")]
    Help(String),
    /// Rejected or missing settings, one message each.
    #[error("{}", .0.join("\n"))]
    Mistakes(Vec<String>),
}

impl EntrySettings {
    /// Reads the settings from flags and the environment.
    ///
    /// # Errors
    /// All mistakes at once, or the help text if it was requested.
    pub fn read(
        arguments: impl IntoIterator<Item = OsString>,
        environment: &dyn Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let mut reader = SettingsReader::default();
        reader.read_flags(arguments)?;
        reader.read_environment(environment);
        reader.finish()
    }
}

/// Collects unparsed values and mistakes.
#[derive(Debug, Default)]
struct SettingsReader {
    mistakes: Vec<String>,
    values: [Option<String>; SETTINGS.len()],
}

impl SettingsReader {
    fn read_flags(
        &mut self,
        arguments: impl IntoIterator<Item = OsString>,
    ) -> Result<(), SettingsError> {
        let mut parser = lexopt::Parser::from_args(arguments);
        loop {
            match parser.next() {
                Ok(None) => return Ok(()),
                Ok(Some(lexopt::Arg::Long("help") | lexopt::Arg::Short('h'))) => {
                    return Err(SettingsError::Help(help()));
                }
                Ok(Some(lexopt::Arg::Long(flag))) => {
                    let flag = flag.to_owned();
                    self.read_flag(&flag, &mut parser);
                }
                Ok(Some(other)) => self.mistakes.push(other.unexpected().to_string()),
                Err(error) => {
                    self.mistakes.push(error.to_string());
                    return Ok(());
                }
            }
        }
    }

    fn read_flag(&mut self, flag: &str, parser: &mut lexopt::Parser) {
        let Some(index) = SETTINGS.iter().position(|spec| spec.flag == flag) else {
            self.mistakes.push(format!("--{flag}: no such setting"));
            return;
        };
        match parser.value().map(OsString::into_string) {
            Ok(Ok(value)) => self.values[index] = Some(value),
            Ok(Err(_)) => self
                .mistakes
                .push(format!("--{flag}: the value is not UTF-8")),
            Err(error) => self.mistakes.push(error.to_string()),
        }
    }

    fn read_environment(&mut self, environment: &dyn Fn(&str) -> Option<String>) {
        for (spec, value) in SETTINGS.iter().zip(&mut self.values) {
            if value.is_none() {
                *value = environment(spec.variable).or_else(|| spec.default.map(ToOwned::to_owned));
            }
        }
    }

    fn finish(mut self) -> Result<EntrySettings, SettingsError> {
        let settings = self.settings();
        match settings {
            Some(settings) if self.mistakes.is_empty() => Ok(settings),
            _ => Err(SettingsError::Mistakes(self.mistakes)),
        }
    }

    /// Checks every value before it returns, so that all mistakes are reported at once.
    fn settings(&mut self) -> Option<EntrySettings> {
        let name = self.name("name", "entry host name");
        let data_centre = self.name("data-centre", "data centre name");
        let callers = self.parse("callers", "IP:PORT");
        let operators = self.parse("operators", "IP:PORT");
        let listen_peers = self.parse("listen-peers", "IP:PORT");
        let peers = self.peers();
        let log = self.parse("log", "IP:PORT");
        let hosts = self.parse("hosts", "IP:PORT");
        let drain = self.number("drain-ms", 0, 3_600_000);
        let lame_duck = self.number("lame-duck-ms", 0, 60_000);
        let log_format = self.log_format();
        let log_level = self.log_level();
        let threads = self.number("threads", 1, 64);
        let max_fds = self.number("max-fds", 1, 1_000_000);
        let memory_mb = self.number("memory-mb", 1, 1_000_000);
        Some(EntrySettings {
            callers: callers?,
            data_centre: data_centre?,
            drain: Millis(drain?),
            hosts: hosts?,
            lame_duck: Millis(lame_duck?),
            listen_peers: listen_peers?,
            log: log?,
            log_format: log_format?,
            log_level: log_level?,
            max_fds: u32::try_from(max_fds?).ok()?,
            memory_mb: u32::try_from(memory_mb?).ok()?,
            name: name?,
            operators: operators?,
            peers: peers?,
            threads: usize::try_from(threads?).ok()?,
        })
    }

    fn value(&mut self, flag: &str) -> Option<String> {
        let index = SETTINGS.iter().position(|spec| spec.flag == flag)?;
        let value = self.values[index].clone();
        if value.is_none() {
            let SettingSpec { variable, help, .. } = &SETTINGS[index];
            let mistake = format!("--{flag} or {variable} is missing: {help}");
            self.mistakes.push(mistake);
        }
        value
    }

    fn reject(&mut self, flag: &str, value: &str, allowed: &str) {
        let mistake = format!("--{flag}: \"{value}\" is not accepted; allowed: {allowed}");
        self.mistakes.push(mistake);
    }

    fn parse<T: FromStr>(&mut self, flag: &str, allowed: &str) -> Option<T> {
        let value = self.value(flag)?;
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.reject(flag, &value, allowed);
        }
        parsed
    }

    fn name<T: for<'a> TryFrom<&'a str>>(&mut self, flag: &str, allowed: &str) -> Option<T> {
        let value = self.value(flag)?;
        let name = T::try_from(value.as_str()).ok();
        if name.is_none() {
            self.reject(flag, &value, allowed);
        }
        name
    }

    fn number(&mut self, flag: &str, min: u64, max: u64) -> Option<u64> {
        let value = self.value(flag)?;
        let parsed = value
            .parse()
            .ok()
            .filter(|number| (min..=max).contains(number));
        if parsed.is_none() {
            self.reject(flag, &value, &format!("{min} to {max}"));
        }
        parsed
    }

    fn peers(&mut self) -> Option<Vec<PeerAddress>> {
        let value = self.value("peers")?;
        let mut peers = Vec::new();
        for part in value.split(',').filter(|part| !part.is_empty()) {
            match PeerAddress::try_from(part) {
                Ok(peer) => peers.push(peer),
                Err(_) => self.reject("peers", part, "NAME=IP:PORT"),
            }
        }
        Some(peers)
    }

    fn log_format(&mut self) -> Option<LogFormat> {
        let value = self.value("log-format")?;
        match value.as_str() {
            "auto" if std::io::stderr().is_terminal() => Some(LogFormat::Plain),
            "auto" | "json" => Some(LogFormat::Json),
            "plain" => Some(LogFormat::Plain),
            other => {
                self.reject("log-format", other, "auto, plain, json");
                None
            }
        }
    }

    fn log_level(&mut self) -> Option<Level> {
        let value = self.value("log-level")?;
        match value.as_str() {
            "debug" => Some(Level::Debug),
            "info" => Some(Level::Info),
            "warning" => Some(Level::Warning),
            "error" => Some(Level::Error),
            other => {
                self.reject("log-level", other, "debug, info, warning, error");
                None
            }
        }
    }
}

fn help() -> String {
    let mut text =
        "goldcreststall-entry: one entry host\n\nSettings, by flag or environment:\n".to_owned();
    for SettingSpec {
        default,
        flag,
        help,
        variable,
    } in &SETTINGS
    {
        let default = default.map_or_else(String::new, |value| format!(" [default: \"{value}\"]"));
        // Writing to a string does not fail.
        let _ = writeln!(text, "  --{flag:<14} {variable:<30} {help}{default}");
    }
    text
}
