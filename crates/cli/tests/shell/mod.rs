//! Runs the program in the process of the test.

#![allow(dead_code, reason = "every test file compiles its own copy")]

use {
    crate::fake::{FakeBackend, NOW, id},
    async_trait::async_trait,
    goldcreststall_cli::{EntryConnector, ExitStatus, Invocation, Terminal, Variables, run},
    goldcreststall_operators::{OperatorBackend, OperatorError, OperatorErrorKind},
    std::{net::SocketAddr, time::Duration},
};

/// What a run has printed and how it ended.
#[derive(Debug)]
pub struct Ended {
    pub errors: String,
    pub output: String,
    pub status: ExitStatus,
}

impl Ended {
    pub fn error_lines(&self) -> Vec<&str> {
        self.errors.lines().collect()
    }
}

/// Entry hosts at the addresses 10.0.0.1:1, 10.0.0.2:1 and so on. `None` is one that cannot be reached.
pub struct FakeEntries(pub Vec<Option<FakeBackend>>);

#[async_trait]
impl EntryConnector for FakeEntries {
    async fn connect(
        &self,
        address: SocketAddr,
        _limit: Duration,
    ) -> Result<Box<dyn OperatorBackend>, OperatorError> {
        let hosts = (1..).map(|number: u8| SocketAddr::from(([10, 0, 0, number], 1)));
        let mut rows = hosts.zip(&self.0);
        match rows.find(|(host, _)| *host == address) {
            Some((_, Some(backend))) => Ok(Box::new(backend.clone())),
            _ => Err(OperatorError::new(
                OperatorErrorKind::Unreachable,
                "no connection",
            )),
        }
    }
}

/// Splits a line into arguments.
pub fn invocation(line: &str) -> Invocation {
    Invocation {
        arguments: line.split_whitespace().map(Into::into).collect(),
        now: NOW,
        request: id(5),
        variables: Variables::default(),
    }
}

/// Runs an invocation against entry hosts.
pub async fn run_invocation(invocation: Invocation, connector: &dyn EntryConnector) -> Ended {
    let (mut errors, mut output) = (Vec::new(), Vec::new());
    let mut terminal = Terminal {
        errors: &mut errors,
        output: &mut output,
    };
    let status = run(invocation, connector, &mut terminal).await;
    Ended {
        errors: String::from_utf8(errors).unwrap(),
        output: String::from_utf8(output).unwrap(),
        status,
    }
}

/// Runs a line against one entry host.
pub async fn run_line(line: &str, backend: &FakeBackend) -> Ended {
    let line = format!("{line} --entry 10.0.0.1:1 --operator kim");
    run_invocation(invocation(&line), &FakeEntries(vec![Some(backend.clone())])).await
}
