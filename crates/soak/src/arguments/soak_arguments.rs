use {
    lexopt::{Arg, Parser, ValueExt},
    std::{path::PathBuf, time::Duration},
};

/// What `--help` prints.
pub const HELP: &str = "goldcreststall-soak: runs entry hosts under random faults and checks the promises

  --seed N         first seed (default 1)
  --seeds N        number of seeds, one run each (default 1)
  --seconds N      time in which faults come, in seconds (default 20)
  --entries N      entry hosts, 1 to 200 (default 5)
  --hosts N        hosts of the fleet, 4 to 400 (default 18)
  --rate N         jobs a second (default 12)
  --only WORD      draw only faults whose name contains WORD
  --format FORMAT  text or json (default text)
  --logs FOLDER    keeps the logs of the processes of each run that breaks a promise
  --help

Exit codes: 0 all promises kept, 1 a promise broken, 2 a mistake in the arguments, 3 a run could not be made.
";

const MOST_ENTRIES: usize = 200;
const HOSTS: std::ops::RangeInclusive<usize> = 4..=400;

/// How a report is printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportFormat {
    /// One JSON object a line for each run.
    Json,
    /// Tables.
    Text,
}

/// The checked arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SoakArguments {
    /// First seed.
    pub seed: u64,
    /// Number of runs.
    pub seeds: u64,
    /// Time in which faults come.
    pub duration: Duration,
    /// Entry hosts.
    pub entries: usize,
    /// Hosts of the fleet.
    pub hosts: usize,
    /// Jobs a second.
    pub rate: u32,
    /// Part of the names of the faults that are drawn.
    pub only: Option<String>,
    /// How the report is printed.
    pub format: ReportFormat,
    /// Where the logs of failed runs are kept.
    pub logs: Option<PathBuf>,
    /// Only the help is wanted.
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
            only: None,
            format: ReportFormat::Text,
            logs: None,
            help: false,
        }
    }
}

impl SoakArguments {
    /// Reads the command line.
    ///
    /// # Errors
    /// When an argument is unknown, lacks its value, or has one that is not allowed.
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
                Arg::Long("only") => arguments.only = Some(parser.value()?.string()?),
                Arg::Long("format") => arguments.format = parser.value()?.parse_with(format_of)?,
                Arg::Long("logs") => arguments.logs = Some(parser.value()?.into()),
                Arg::Long("help") | Arg::Short('h') => arguments.help = true,
                _ => return Err(argument.unexpected()),
            }
        }
        arguments.check()?;
        Ok(arguments)
    }

    fn check(&self) -> Result<(), lexopt::Error> {
        if !(1..=MOST_ENTRIES).contains(&self.entries) {
            return Err(lexopt::Error::Custom("--entries takes 1 to 200".into()));
        }
        if !HOSTS.contains(&self.hosts) {
            return Err(lexopt::Error::Custom("--hosts takes 4 to 400".into()));
        }
        if self.rate == 0 {
            return Err(lexopt::Error::Custom("--rate takes 1 or more".into()));
        }
        Ok(())
    }
}

fn format_of(text: &str) -> Result<ReportFormat, &'static str> {
    match text {
        "json" => Ok(ReportFormat::Json),
        "text" => Ok(ReportFormat::Text),
        _ => Err("the format is text or json"),
    }
}
