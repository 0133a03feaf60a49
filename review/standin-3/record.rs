//! The record of a case: what was sent, answered and run, with the time since the start in milliseconds.

use std::{
    collections::BTreeSet,
    fs::File,
    io::{self, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    started: Instant,
    /// Work items that have begun.
    begun: Mutex<BTreeSet<String>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            started: Instant::now(),
            begun: Mutex::default(),
        })
    }

    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn write(&self, line: &str) {
        let line = format!("{:>7} ms  {line}\n", self.now());
        // The case is decided by what the stand-ins hold; the file is for readers.
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn begin(&self, task: &str) {
        self.begun.lock().unwrap().insert(task.to_owned());
    }

    /// Returns whether a work item of the job has begun.
    pub fn has_begun(&self, job: &str) -> bool {
        self.begun.lock().unwrap().iter().any(|task| task.starts_with(job))
    }
}
