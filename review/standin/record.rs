//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// What happened to a run of a work item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunChange {
    Started,
    /// It ended, with one of the words that runners list.
    Ended(&'static str),
    /// Its runner was killed.
    Lost,
}

/// A change of a run, as its runner has seen it.
#[derive(Clone, Debug)]
pub struct RunEvent {
    pub at_ms: u64,
    pub machine: String,
    pub task: String,
    pub run: u64,
    pub change: RunChange,
}

/// Writes lines with the time since the start, and keeps the changes of runs.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
    events: Mutex<Vec<RunEvent>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
            events: Mutex::default(),
        })
    }

    /// Milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:>8.3} {text}\n", self.now() as f64 / 1_000.0);
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Records a change of a run.
    pub fn run(&self, machine: &str, task: &str, run: u64, change: RunChange) {
        let at_ms = self.now();
        self.line(&format!("runner {machine}: {task} run {run} {change:?}"));
        self.events.lock().unwrap().push(RunEvent {
            at_ms,
            machine: machine.to_owned(),
            task: task.to_owned(),
            run,
            change,
        });
    }

    /// Returns all changes so far.
    pub fn events(&self) -> Vec<RunEvent> {
        self.events.lock().unwrap().clone()
    }
}
