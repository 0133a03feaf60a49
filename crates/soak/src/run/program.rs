use {
    super::{RunShape, SoakRun},
    crate::arguments::{HELP, SoakArguments},
    anyhow::Context,
    lexopt::Parser,
    std::{fs, future::pending, path::Path, process::ExitCode},
    tokio::signal::unix::{SignalKind, signal},
};

const EXIT_VIOLATION: u8 = 1;
const EXIT_INVALID_ARGUMENTS: u8 = 2;
const EXIT_RUN_ERROR: u8 = 3;

/// Runs the command and returns its exit code.
pub fn main() -> ExitCode {
    let arguments = match SoakArguments::read(Parser::from_env()) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("{error}\n{HELP}");
            return ExitCode::from(EXIT_INVALID_ARGUMENTS);
        }
    };
    if arguments.help {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match run_all(&arguments) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(violating_runs) => {
            eprintln!(
                "{violating_runs} of {} runs violated an invariant",
                arguments.seeds
            );
            ExitCode::from(EXIT_VIOLATION)
        }
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_RUN_ERROR)
        }
    }
}

/// Runs all seeds and returns the number of runs that violated an invariant.
fn run_all(arguments: &SoakArguments) -> anyhow::Result<u64> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let mut violating_runs = 0;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        let folder = tempfile::tempdir()?;
        let shape = RunShape {
            entries: arguments.entries,
            hosts: arguments.hosts,
            rate: arguments.rate,
            duration: arguments.duration,
            max_connections: arguments.max_connections,
            organisations: arguments.organisations,
            power_losses: arguments.power_losses,
            partitions: arguments.partitions,
            late_calls: arguments.late_calls,
            only: arguments.only.clone(),
        };
        // Dropping the run ends its processes, so that none is left over when the soak test is stopped by a signal.
        let report = runtime
            .block_on(async {
                tokio::select! {
                    report = SoakRun::run(seed, shape, folder.path()) => report,
                    error = wait_for_stop_signal() => Err(error),
                }
            })
            .with_context(|| format!("seed {seed}"))?;
        println!("{}", report.text(arguments.format));
        if !report.violations.is_empty() {
            violating_runs += 1;
            if let Some(logs) = &arguments.logs {
                copy_logs(folder.path(), &logs.join(seed.to_string()))?;
            }
        }
    }
    Ok(violating_runs)
}

/// Waits for SIGTERM or SIGINT and returns it as an error.
async fn wait_for_stop_signal() -> anyhow::Error {
    let terminate = async {
        match signal(SignalKind::terminate()) {
            Ok(mut terminate) => terminate.recv().await,
            Err(_) => pending().await,
        }
    };
    tokio::select! {
        _ = terminate => anyhow::anyhow!("stopped by SIGTERM"),
        _ = tokio::signal::ctrl_c() => anyhow::anyhow!("interrupted"),
    }
}

fn copy_logs(from: &Path, to: &Path) -> anyhow::Result<()> {
    fs::create_dir_all(to).with_context(|| format!("cannot create {}", to.display()))?;
    for file in fs::read_dir(from)? {
        let file = file?;
        fs::copy(file.path(), to.join(file.file_name()))?;
    }
    Ok(())
}
