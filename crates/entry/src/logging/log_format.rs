use {
    slog::{Drain, Level, Logger, o},
    std::io,
};

/// Maximum number of log lines that wait for the writer. Further lines are dropped and counted.
const LOG_QUEUE_CAPACITY: usize = 8_192;

/// Output format of log lines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One JSON object per line, for log collectors.
    Json,
    /// Text for a terminal.
    Plain,
}

/// Builds a logger that writes to standard error without blocking its callers.
pub fn build_logger(format: LogFormat, level: Level, entry: &str) -> Logger {
    let entry = entry.to_owned();
    match format {
        LogFormat::Json => build_json(io::stderr(), level, entry),
        LogFormat::Plain => {
            let decorator = slog_term::PlainSyncDecorator::new(io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            build_root(drain, level, entry)
        }
    }
}

/// Builds a logger that writes one JSON object per line to standard output without blocking its callers.
pub fn build_stdout_logger(level: Level, entry: &str) -> Logger {
    build_json(io::stdout(), level, entry.to_owned())
}

fn build_json(output: impl io::Write + Send + 'static, level: Level, entry: String) -> Logger {
    build_root(slog_json::Json::default(output).fuse(), level, entry)
}

fn build_root<D>(drain: D, level: Level, entry: String) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_CAPACITY)
        .build()
        .fuse();
    let drain = slog::LevelFilter::new(drain, level).fuse();
    Logger::root(drain, o!("entry" => entry))
}
