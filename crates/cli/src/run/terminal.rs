use {
    crate::output::ExitStatus,
    std::io::{self, Write},
};

/// Where a run prints to.
pub struct Terminal<'a> {
    /// Mistakes and reasons of failures.
    pub errors: &'a mut dyn Write,
    /// Results.
    pub output: &'a mut dyn Write,
}

impl Terminal<'_> {
    /// Prints a result. The status is `Failed` when it could not be written.
    pub(crate) fn print(&mut self, text: &str, status: ExitStatus) -> ExitStatus {
        let written = write_all(self.output, text);
        match written {
            Ok(()) => status,
            Err(error) => {
                let line = format!("the output could not be written: {error}");
                self.fail(&line, ExitStatus::Failed)
            }
        }
    }

    /// Prints why a run failed. There is no place to report that the errors cannot be written.
    pub(crate) fn fail(&mut self, text: &str, status: ExitStatus) -> ExitStatus {
        let _ = write_all(self.errors, &format!("{text}\n"));
        status
    }
}

fn write_all(target: &mut dyn Write, text: &str) -> io::Result<()> {
    target.write_all(text.as_bytes())?;
    target.flush()
}
