use {
    super::EntryConnector,
    goldcreststall_operators::{
        ChangeOrder, ChangeOutcome, OperatorBackend, OperatorError, OperatorErrorKind,
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

/// What the attempts so far have told about a change.
#[derive(Default)]
struct ChangeAttempts {
    /// The last error of an attempt that certainly made no change.
    refused: Option<OperatorError>,
    /// Why an attempt may have made the change. Once set, later refusals do not settle the outcome.
    uncertain: Option<String>,
}

impl ChangeAttempts {
    fn note(&mut self, error: OperatorError) {
        match error.kind.row().not_done {
            true => self.refused = Some(error),
            false => self.uncertain = Some(error.to_string()),
        }
    }

    fn finish(self) -> Result<ChangeOutcome, OperatorError> {
        match (self.uncertain, self.refused) {
            (Some(reason), _) => Ok(ChangeOutcome::NotConfirmed { reason }),
            (None, Some(error)) => Err(error),
            (None, None) => Err(no_entry()),
        }
    }
}

fn no_entry() -> OperatorError {
    OperatorError::new(OperatorErrorKind::Unreachable, "no entry host is given")
}

impl EntryCalls<'_> {
    /// Reads from the first entry host that can answer.
    pub(crate) async fn read<T, F>(&self, call: F) -> Result<T, OperatorError>
    where
        F: AsyncFn(&dyn OperatorBackend) -> Result<T, OperatorError>,
    {
        let mut last = no_entry();
        for address in self.entries {
            let result = match self.connector.connect(*address, self.limit).await {
                Ok(backend) => call(backend.as_ref()).await,
                Err(error) => Err(error),
            };
            match result {
                Err(error) if error.kind.row().retryable => last = error,
                result => return result,
            }
        }
        Err(last)
    }

    /// Makes a change. As long as an attempt may have made it, the same order is sent again: with the same
    /// request id it has no second effect, and its answer settles the outcome.
    pub(crate) async fn change(&self, order: ChangeOrder) -> Result<ChangeOutcome, OperatorError> {
        let mut attempts = ChangeAttempts::default();
        for round in 0..CHANGE_ROUNDS {
            if round > 0 {
                tokio::time::sleep(ROUND_PAUSE * round).await;
            }
            for address in self.entries {
                match self.attempt(*address, order.clone()).await {
                    Ok(ChangeOutcome::NotConfirmed { reason }) => {
                        attempts.uncertain = Some(reason);
                    }
                    Ok(outcome) => return Ok(outcome),
                    Err(error) if error.kind.row().retryable => attempts.note(error),
                    Err(error) => {
                        attempts.note(error);
                        return attempts.finish();
                    }
                }
            }
            if attempts.uncertain.is_none() {
                break;
            }
        }
        attempts.finish()
    }

    async fn attempt(
        &self,
        address: SocketAddr,
        order: ChangeOrder,
    ) -> Result<ChangeOutcome, OperatorError> {
        let backend = self.connector.connect(address, self.limit).await?;
        backend.change(order).await
    }
}
