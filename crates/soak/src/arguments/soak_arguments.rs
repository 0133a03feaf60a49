use {
    goldcreststall_adapter_standin::DEFAULT_MAX_CONNECTIONS,
    lexopt::{Arg, Parser, ValueExt},
    std::{path::PathBuf, time::Duration},
};

/// Text printed by `--help` and after an argument error.
pub const HELP: &str = "goldcreststall-soak: runs entry hosts under random faults and checks invariants

  --seed N         first seed (default 1)
  --seeds N        number of consecutive seeds, one run each (default 1)
  --seconds N      time during which faults are injected, in seconds (default 20)
  --entries N      entry hosts, 1 to 200 (default 5)
  --hosts N        hosts of the fleet, 4 to 400 (default 18)
  --rate N         jobs submitted per second, besides bursts (default 12)
  --max-connections N
                   connections that a runner accepts at a time, at least 1 (default 64)
  --organisations  the queue of one pool belongs to an organisation, whose calls carry a key
  --power          entry hosts lose power as well, one or all at once
  --partitions     entry hosts are cut off as well, together with some hosts whose runners may restart
  --late-calls     calls to runners are executed up to 12 s late while runners and entry hosts restart, and work is longer
  --only WORD      inject only faults whose name contains WORD; `power`, `partition` and `late-calls` imply theirs
  --format FORMAT  text or json (default text)
  --logs FOLDER    keep the process logs of each run that violates an invariant in FOLDER
  --help

Exit codes: 0 no invariant violated, 1 an invariant violated, 2 invalid arguments, 3 a run failed or was stopped.
";

const MAX_ENTRIES: usize = 200;
const HOST_RANGE: std::ops::RangeInclusive<usize> = 4..=400;

/// Part of the names of the faults that `--power` adds.
const POWER_WORD: &str = "power";
/// Part of the names of the faults that `--partitions` adds.
const PARTITION_WORD: &str = "partition";
/// Part of the names of the faults that `--late-calls` adds.
const LATE_CALL_WORD: &str = "late-call";

/// Output format of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportFormat {
    /// One line with a JSON object for each run.
    Json,
    /// A table for each run, followed by its violations.
    Text,
}

/// The validated command line arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SoakArguments {
    /// Seed of the first run.
    pub seed: u64,
    /// Number of runs; each takes the next seed.
    pub seeds: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Number of entry hosts, 1 to 200.
    pub entries: usize,
    /// Number of hosts in the fleet, 4 to 400.
    pub hosts: usize,
    /// Jobs submitted per second, at least 1.
    pub rate: u32,
    /// Connections that a runner accepts at a time, at least 1.
    pub max_connections: usize,
    /// The queue of one pool belongs to an organisation, whose calls carry a key.
    pub organisations: bool,
    /// Entry hosts lose power as well.
    pub power_losses: bool,
    /// Entry hosts are cut off together with some of the hosts.
    pub partitions: bool,
    /// Calls to runners are executed late while runners and entry hosts restart.
    pub late_calls: bool,
    /// Only faults whose name contains this text are injected.
    pub only: Option<String>,
    /// Output format of the reports.
    pub format: ReportFormat,
    /// Folder that receives the logs of runs with violations.
    pub logs: Option<PathBuf>,
    /// Print the help and exit.
    pub help: bool,
}

impl Default for SoakArguments {
    fn default() -> Self {
        Self {
            seed: 1,
            seeds: 1,
            duration: Duration::from_secs(20),
            entries: 5,
            hosts: 18,
            rate: 12,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            organisations: false,
            power_losses: false,
            partitions: false,
            late_calls: false,
            only: None,
            format: ReportFormat::Text,
            logs: None,
            help: false,
        }
    }
}

impl SoakArguments {
    /// Parses and validates the command line.
    ///
    /// # Errors
    /// If an argument is unknown, lacks its value, or its value is out of range.
    pub fn read(mut parser: Parser) -> Result<Self, lexopt::Error> {
        let mut arguments = Self::default();
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Long("seed") => arguments.seed = parser.value()?.parse()?,
                Arg::Long("seeds") => arguments.seeds = parser.value()?.parse()?,
                Arg::Long("seconds") => {
                    arguments.duration = Duration::from_secs(parser.value()?.parse()?);
                }
                Arg::Long("entries") => arguments.entries = parser.value()?.parse()?,
                Arg::Long("hosts") => arguments.hosts = parser.value()?.parse()?,
                Arg::Long("rate") => arguments.rate = parser.value()?.parse()?,
                Arg::Long("max-connections") => {
                    arguments.max_connections = parser.value()?.parse()?;
                }
                Arg::Long("organisations") => arguments.organisations = true,
                Arg::Long("power") => arguments.power_losses = true,
                Arg::Long("partitions") => arguments.partitions = true,
                Arg::Long("late-calls") => arguments.late_calls = true,
                Arg::Long("only") => arguments.only = Some(parser.value()?.string()?),
                Arg::Long("format") => arguments.format = parser.value()?.parse_with(to_format)?,
                Arg::Long("logs") => arguments.logs = Some(parser.value()?.into()),
                Arg::Long("help") | Arg::Short('h') => arguments.help = true,
                _ => return Err(argument.unexpected()),
            }
        }
        arguments.check()?;
        let only = arguments.only.as_deref();
        arguments.power_losses |= only.is_some_and(|only| only.contains(POWER_WORD));
        arguments.partitions |= only.is_some_and(|only| only.contains(PARTITION_WORD));
        arguments.late_calls |= only.is_some_and(|only| only.contains(LATE_CALL_WORD));
        Ok(arguments)
    }

    fn check(&self) -> Result<(), lexopt::Error> {
        if !(1..=MAX_ENTRIES).contains(&self.entries) {
            return Err(lexopt::Error::Custom("--entries takes 1 to 200".into()));
        }
        if !HOST_RANGE.contains(&self.hosts) {
            return Err(lexopt::Error::Custom("--hosts takes 4 to 400".into()));
        }
        if self.rate == 0 {
            return Err(lexopt::Error::Custom("--rate takes 1 or more".into()));
        }
        if self.max_connections == 0 {
            return Err(lexopt::Error::Custom(
                "--max-connections takes 1 or more".into(),
            ));
        }
        Ok(())
    }
}

fn to_format(text: &str) -> Result<ReportFormat, &'static str> {
    match text {
        "json" => Ok(ReportFormat::Json),
        "text" => Ok(ReportFormat::Text),
        _ => Err("the format is text or json"),
    }
}
