use {
    anyhow::Context,
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::File,
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        time::{Duration, Instant},
    },
};

/// How often the end of a process is looked for.
const WAIT_STEP: Duration = Duration::from_millis(20);

/// A process that is killed when it is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts a program of this workspace with its standard error in `log`.
    ///
    /// # Errors
    /// When the program is not built or cannot be started.
    pub fn start(program: &str, arguments: &[String], log: &Path) -> anyhow::Result<Self> {
        let log = File::create(log).with_context(|| format!("{} not created", log.display()))?;
        let mut command = Command::new(find_program(program)?);
        command.args(arguments).stdout(Stdio::null()).stderr(log);
        Self::spawn(program, &mut command)
    }

    /// Starts a program of this workspace with environment variables; what it writes is added to `log`.
    ///
    /// # Errors
    /// When the program is not built or cannot be started.
    pub fn start_logged(
        program: &str,
        variables: &[(&str, String)],
        log: &Path,
    ) -> anyhow::Result<Self> {
        let opened = File::options().append(true).create(true).open(log);
        let log = opened.with_context(|| format!("{} not opened", log.display()))?;
        let mut command = Command::new(find_program(program)?);
        let variables = variables.iter().map(|(name, value)| (name, value));
        command.envs(variables).stdout(log.try_clone()?).stderr(log);
        Self::spawn(program, &mut command)
    }

    fn spawn(program: &str, command: &mut Command) -> anyhow::Result<Self> {
        let child = command
            .stdin(Stdio::null())
            .spawn()
            .with_context(|| format!("{program} not started"))?;
        Ok(Self { child })
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // A process that has ended gets no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits for the end of the process; `None` when it still runs after `limit`.
    pub fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + limit;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= deadline {
                return None;
            }
            std::thread::sleep(WAIT_STEP);
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Finds a program beside the running one, which is in the build folder or its `deps`.
fn find_program(name: &str) -> anyhow::Result<PathBuf> {
    let current = std::env::current_exe()?;
    let folders = current.ancestors().skip(1).take(2);
    let mut paths = folders.map(|folder| folder.join(name));
    paths
        .find(|path| path.is_file())
        .with_context(|| format!("{name} is not built; run: cargo build --workspace --bins"))
}
