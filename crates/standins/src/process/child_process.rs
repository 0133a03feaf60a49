use {
    anyhow::Context,
    rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid},
    std::{
        fs::File,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process. Dropping it kills the process and waits for its end.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts a program of this workspace. Its standard error replaces the content of the file `log`; its standard
    /// output is discarded.
    ///
    /// # Errors
    /// When the log file cannot be opened, or the program is not built or cannot be started.
    pub fn start(program: &str, arguments: &[String], log: &Path) -> anyhow::Result<Self> {
        let log =
            File::create(log).with_context(|| format!("failed to create {}", log.display()))?;
        let mut command = Command::new(find_program(program)?);
        command.args(arguments).stdout(Stdio::null()).stderr(log);
        Self::spawn(program, &mut command)
    }

    /// Starts a program of this workspace with environment variables. Its standard output and standard error are
    /// appended to the file `log`.
    ///
    /// # Errors
    /// When the log file cannot be opened, or the program is not built or cannot be started.
    pub fn start_logged(
        program: &str,
        variables: &[(&str, String)],
        log: &Path,
    ) -> anyhow::Result<Self> {
        let log_file = File::options().append(true).create(true).open(log);
        let log = log_file.with_context(|| format!("failed to open {}", log.display()))?;
        let mut command = Command::new(find_program(program)?);
        let variables = variables.iter().map(|(name, value)| (name, value));
        command.envs(variables).stdout(log.try_clone()?).stderr(log);
        Self::spawn(program, &mut command)
    }

    fn spawn(program: &str, command: &mut Command) -> anyhow::Result<Self> {
        let child = command
            .stdin(Stdio::null())
            .spawn()
            .with_context(|| format!("failed to start {program}"))?;
        Ok(Self { child })
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal; a process that has ended is left alone.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // Sending fails when the process has ended, which is not an error here.
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns whether every thread of the process is stopped.
    ///
    /// After SIGSTOP was sent, the threads go on until one of them handles it, which takes milliseconds on a busy
    /// machine.
    pub fn is_stopped(&self) -> bool {
        // The kernel reports the stop when the last thread has stopped. `NOWAIT` keeps the report for later calls.
        let options = WaitIdOptions::STOPPED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
        let status = self.pid().map(|pid| waitid(WaitId::Pid(pid), options));
        matches!(status, Some(Ok(Some(status))) if status.stopped())
    }

    fn pid(&self) -> Option<Pid> {
        i32::try_from(self.child.id()).ok().and_then(Pid::from_raw)
    }

    /// Waits for the end of the process, blocking the thread; `None` when it still runs after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= deadline {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Finds a program next to the running executable, or one directory above it: test executables are in the
/// subdirectory `deps` of the build directory.
fn find_program(name: &str) -> anyhow::Result<PathBuf> {
    let current = std::env::current_exe()?;
    let directories = current.ancestors().skip(1).take(2);
    let mut paths = directories.map(|directory| directory.join(name));
    paths
        .find(|path| path.is_file())
        .with_context(|| format!("{name} is not built; run: cargo build --workspace --bins"))
}
