//! Runs the program inside the test process.

#![allow(dead_code, reason = "every test file compiles its own copy")]

use {
    crate::fake::{FakeBackend, NOW, id},
    async_trait::async_trait,
    goldcreststall_cli::{EntryConnector, ExitStatus, Invocation, Terminal, Variables, run},
    goldcreststall_operators::{OperatorBackend, OperatorError, OperatorErrorKind},
    std::{net::SocketAddr, time::Duration},
};

/// What a run printed and how it ended.
#[derive(Debug)]
pub struct FinishedRun {
    pub errors: String,
    pub output: String,
    pub status: ExitStatus,
}

impl FinishedRun {
    pub fn error_lines(&self) -> Vec<&str> {
        self.errors.lines().collect()
    }
}

/// Entry hosts at the addresses 10.0.0.1:1, 10.0.0.2:1 and so on. `None` is an unreachable one.
pub struct FakeEntries(pub Vec<Option<FakeBackend>>);

#[async_trait]
impl EntryConnector for FakeEntries {
    async fn connect(
        &self,
        address: SocketAddr,
        _timeout: Duration,
    ) -> Result<Box<dyn OperatorBackend>, OperatorError> {
        let addresses = (1..).map(|number: u8| SocketAddr::from(([10, 0, 0, number], 1)));
        let mut entries = addresses.zip(&self.0);
        match entries.find(|(entry, _)| *entry == address) {
            Some((_, Some(backend))) => Ok(Box::new(backend.clone())),
            _ => Err(OperatorError::new(
                OperatorErrorKind::Unreachable,
                "no connection",
            )),
        }
    }
}

/// Returns the invocation for a command line, split at spaces, with no environment.
pub fn invocation(line: &str) -> Invocation {
    Invocation {
        arguments: line.split_whitespace().map(Into::into).collect(),
        now: NOW,
        request_id: id(5),
        variables: Variables::default(),
    }
}

pub async fn run_invocation(invocation: Invocation, connector: &dyn EntryConnector) -> FinishedRun {
    let (mut errors, mut output) = (Vec::new(), Vec::new());
    let mut terminal = Terminal {
        errors: &mut errors,
        output: &mut output,
    };
    let status = run(invocation, connector, &mut terminal).await;
    FinishedRun {
        errors: String::from_utf8(errors).unwrap(),
        output: String::from_utf8(output).unwrap(),
        status,
    }
}

/// Runs a command line as operator `kim` against one entry host.
pub async fn run_line(line: &str, backend: &FakeBackend) -> FinishedRun {
    let line = format!("{line} --entry 10.0.0.1:1 --operator kim");
    run_invocation(invocation(&line), &FakeEntries(vec![Some(backend.clone())])).await
}
