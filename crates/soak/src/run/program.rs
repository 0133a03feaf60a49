use {
    super::{RunShape, SoakRun},
    crate::arguments::{HELP, SoakArguments},
    anyhow::Context,
    lexopt::Parser,
    std::{fs, future::pending, path::Path, process::ExitCode},
    tokio::signal::unix::{SignalKind, signal},
};

const EXIT_BROKEN: u8 = 1;
const EXIT_ARGUMENTS: u8 = 2;
const EXIT_NO_RUN: u8 = 3;

/// Runs the command and returns its exit code.
pub fn main() -> ExitCode {
    let arguments = match SoakArguments::read(Parser::from_env()) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("{error}\n{HELP}");
            return ExitCode::from(EXIT_ARGUMENTS);
        }
    };
    if arguments.help {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match run_all(&arguments) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(broken) => {
            eprintln!("{broken} of {} runs broke a promise", arguments.seeds);
            ExitCode::from(EXIT_BROKEN)
        }
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_NO_RUN)
        }
    }
}

/// Runs all seeds; returns the number of runs that broke a promise.
fn run_all(arguments: &SoakArguments) -> anyhow::Result<u64> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let folder = tempfile::tempdir()?;
        let shape = RunShape {
            entries: arguments.entries,
            hosts: arguments.hosts,
            rate: arguments.rate,
            duration: arguments.duration,
            only: arguments.only.clone(),
        };
        // The processes of a run end with it, so that none is left when the soak is told to stop.
        let report = runtime
            .block_on(async {
                tokio::select! {
                    report = SoakRun::run(seed, shape, folder.path()) => report,
                    stopped = wait_for_signal() => Err(stopped),
                }
            })
            .with_context(|| format!("seed {seed}"))?;
        println!("{}", report.text(arguments.format));
        if !report.violations.is_empty() {
            broken += 1;
            if let Some(logs) = &arguments.logs {
                keep_logs(folder.path(), &logs.join(seed.to_string()))?;
            }
        }
    }
    Ok(broken)
}

/// Waits for SIGTERM or SIGINT, and tells of it as the reason of the end.
async fn wait_for_signal() -> anyhow::Error {
    let terminate = async {
        match signal(SignalKind::terminate()) {
            Ok(mut terminate) => terminate.recv().await,
            Err(_) => pending().await,
        }
    };
    tokio::select! {
        _ = terminate => anyhow::anyhow!("told to stop"),
        _ = tokio::signal::ctrl_c() => anyhow::anyhow!("interrupted"),
    }
}

fn keep_logs(from: &Path, to: &Path) -> anyhow::Result<()> {
    fs::create_dir_all(to).with_context(|| format!("{} not created", to.display()))?;
    for file in fs::read_dir(from)? {
        let file = file?;
        fs::copy(file.path(), to.join(file.file_name()))?;
    }
    Ok(())
}
