use {
    super::EntryConnector,
    goldcreststall_operators::{
        ChangeOutcome, ChangeRequest, OperatorBackend, OperatorError, OperatorErrorKind,
    },
    std::{net::SocketAddr, time::Duration},
};

/// How often a change with an open outcome is offered to all entry hosts.
const CHANGE_ROUNDS: u32 = 3;
/// Pause before each further round.
const ROUND_PAUSE: Duration = Duration::from_millis(200);

/// Calls the entry hosts in the order of the settings.
pub(crate) struct EntryCalls<'a> {
    /// Opens the connections.
    pub(crate) connector: &'a dyn EntryConnector,
    /// Entry hosts in the order in which they are tried; not empty.
    pub(crate) entries: &'a [SocketAddr],
    /// Limit of each attempt.
    pub(crate) limit: Duration,
}

/// What the attempts so far have told.
#[derive(Default)]
struct Attempts {
    /// The kind of the last failure.
    kind: Option<OperatorErrorKind>,
    /// Why each attempt failed.
    lines: Vec<String>,
    /// Whether an attempt may have made the change. Later refusals do not settle the outcome then.
    uncertain: bool,
}

impl Attempts {
    fn note(&mut self, address: SocketAddr, error: &OperatorError) {
        self.note_line(address, &error.to_string());
        self.kind = Some(error.kind);
        self.uncertain |= !error.kind.mapping().not_done;
    }

    /// Notes a reason unless the same entry host gave it before.
    fn note_line(&mut self, address: SocketAddr, reason: &str) {
        let line = format!("{address}: {reason}");
        if !self.lines.contains(&line) {
            self.lines.push(line);
        }
    }

    fn error(self) -> OperatorError {
        let kind = self.kind.unwrap_or(OperatorErrorKind::Unreachable);
        OperatorError::new(kind, self.lines.join("\n"))
    }

    fn outcome(self) -> Result<ChangeOutcome, OperatorError> {
        match self.uncertain {
            true => Ok(ChangeOutcome::NotConfirmed {
                reason: self.lines.join("\n"),
            }),
            false => Err(self.error()),
        }
    }
}

impl EntryCalls<'_> {
    /// Reads from the first entry host that can answer.
    pub(crate) async fn read<T, F>(&self, call: F) -> Result<T, OperatorError>
    where
        F: AsyncFn(&dyn OperatorBackend) -> Result<T, OperatorError>,
    {
        let mut attempts = Attempts::default();
        for address in self.entries {
            let result = match self.connector.connect(*address, self.limit).await {
                Ok(backend) => call(backend.as_ref()).await,
                Err(error) => Err(error),
            };
            match result {
                Err(error) if error.kind.mapping().retryable => attempts.note(*address, &error),
                result => return result,
            }
        }
        Err(attempts.error())
    }

    /// Makes a change. As long as an attempt may have made it, the same request is sent again: with the same
    /// request id it has no second effect, and its answer settles the outcome.
    pub(crate) async fn change(
        &self,
        change_request: ChangeRequest,
    ) -> Result<ChangeOutcome, OperatorError> {
        let mut attempts = Attempts::default();
        for round in 0..CHANGE_ROUNDS {
            tokio::time::sleep(ROUND_PAUSE * round).await;
            for address in self.entries {
                match self.attempt(*address, change_request.clone()).await {
                    Ok(ChangeOutcome::NotConfirmed { reason }) => {
                        attempts.note_line(*address, &reason);
                        attempts.uncertain = true;
                    }
                    Ok(outcome) => return Ok(outcome),
                    Err(error) if error.kind.mapping().retryable => attempts.note(*address, &error),
                    Err(error) if attempts.uncertain => {
                        attempts.note(*address, &error);
                        return attempts.outcome();
                    }
                    Err(error) => return Err(error),
                }
            }
            if !attempts.uncertain {
                break;
            }
        }
        attempts.outcome()
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        change_request: ChangeRequest,
    ) -> Result<ChangeOutcome, OperatorError> {
        let backend = self.connector.connect(address, self.limit).await?;
        backend.change(change_request).await
    }
}
