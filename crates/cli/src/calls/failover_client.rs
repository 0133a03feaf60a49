use {
    super::EntryConnector,
    goldcreststall_operators::{
        ChangeOutcome, ChangeRequest, OperatorBackend, OperatorError, OperatorErrorKind,
    },
    std::{net::SocketAddr, time::Duration},
};

/// How many times a change with an unknown outcome is sent to all entry hosts.
const MAX_CHANGE_ROUNDS: u32 = 3;
/// Delay before the second round; before the third it is twice as long.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Calls the entry hosts in the order of the settings until one of them can answer.
pub(crate) struct FailoverClient<'a> {
    pub(crate) connector: &'a dyn EntryConnector,
    /// Addresses in the order in which they are tried. Empty only for commands that need no entry host.
    pub(crate) entries: &'a [SocketAddr],
    /// Limit of each attempt, for connecting and for the call separately.
    pub(crate) timeout: Duration,
}

/// Results of the attempts so far, none of which has been conclusive.
#[derive(Default)]
struct AttemptLog {
    /// Kind of the last error.
    last_kind: Option<OperatorErrorKind>,
    /// Address and reason of each unsuccessful attempt, without duplicates.
    lines: Vec<String>,
    /// Whether an attempt may have made the change. A later refusal says nothing about that attempt, so the outcome
    /// stays unknown.
    outcome_unknown: bool,
}

impl AttemptLog {
    fn add_error(&mut self, address: SocketAddr, error: &OperatorError) {
        self.add_line(address, &error.to_string());
        self.last_kind = Some(error.kind);
        self.outcome_unknown |= !error.kind.mapping().not_done;
    }

    /// Adds a reason unless the same entry host gave it before.
    fn add_line(&mut self, address: SocketAddr, reason: &str) {
        let line = format!("{address}: {reason}");
        if !self.lines.contains(&line) {
            self.lines.push(line);
        }
    }

    fn into_error(self) -> OperatorError {
        let kind = self.last_kind.unwrap_or(OperatorErrorKind::Unreachable);
        OperatorError::new(kind, self.lines.join("\n"))
    }

    fn into_outcome(self) -> Result<ChangeOutcome, OperatorError> {
        match self.outcome_unknown {
            true => Ok(ChangeOutcome::NotConfirmed {
                reason: self.lines.join("\n"),
            }),
            false => Err(self.into_error()),
        }
    }
}

impl FailoverClient<'_> {
    /// Reads from the first entry host that can answer.
    pub(crate) async fn read<T, F>(&self, call: F) -> Result<T, OperatorError>
    where
        F: AsyncFn(&dyn OperatorBackend) -> Result<T, OperatorError>,
    {
        let mut log = AttemptLog::default();
        for address in self.entries {
            let result = match self.connector.connect(*address, self.timeout).await {
                Ok(backend) => call(backend.as_ref()).await,
                Err(error) => Err(error),
            };
            match result {
                Err(error) if error.kind.mapping().retryable => log.add_error(*address, &error),
                result => return result,
            }
        }
        Err(log.into_error())
    }

    /// Makes a change. While an attempt may have made it, the same request is sent again: the same request id rules out
    /// a second effect, and the response tells the outcome.
    pub(crate) async fn change(
        &self,
        change_request: ChangeRequest,
    ) -> Result<ChangeOutcome, OperatorError> {
        let mut log = AttemptLog::default();
        for round in 0..MAX_CHANGE_ROUNDS {
            tokio::time::sleep(RETRY_DELAY * round).await;
            for address in self.entries {
                match self.attempt(*address, change_request.clone()).await {
                    Ok(ChangeOutcome::NotConfirmed { reason }) => {
                        log.add_line(*address, &reason);
                        log.outcome_unknown = true;
                    }
                    Ok(outcome) => return Ok(outcome),
                    Err(error) if error.kind.mapping().retryable => log.add_error(*address, &error),
                    Err(error) if log.outcome_unknown => {
                        log.add_error(*address, &error);
                        return log.into_outcome();
                    }
                    Err(error) => return Err(error),
                }
            }
            if !log.outcome_unknown {
                break;
            }
        }
        log.into_outcome()
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        change_request: ChangeRequest,
    ) -> Result<ChangeOutcome, OperatorError> {
        let backend = self.connector.connect(address, self.timeout).await?;
        backend.change(change_request).await
    }
}
