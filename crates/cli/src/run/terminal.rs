use {
    crate::output::ExitStatus,
    std::io::{self, Write},
};

/// The output streams of a run.
pub struct Terminal<'a> {
    /// Receives mistakes and the reasons of failures.
    pub errors: &'a mut dyn Write,
    /// Receives results.
    pub output: &'a mut dyn Write,
}

impl Terminal<'_> {
    /// Prints a result and returns `status`, or `Failed` when the result could not be written.
    pub(crate) fn print(&mut self, text: &str, status: ExitStatus) -> ExitStatus {
        let written = write_all(self.output, text);
        match written {
            Ok(()) => status,
            Err(error) => {
                let line = format!("the output could not be written: {error}");
                self.print_error(&line, ExitStatus::Failed)
            }
        }
    }

    /// Prints why a run failed and returns `status`. A failure to write is ignored, since there is nowhere left to
    /// report it.
    pub(crate) fn print_error(&mut self, text: &str, status: ExitStatus) -> ExitStatus {
        let _ = write_all(self.errors, &format!("{text}\n"));
        status
    }
}

fn write_all(writer: &mut dyn Write, text: &str) -> io::Result<()> {
    writer.write_all(text.as_bytes())?;
    writer.flush()
}
