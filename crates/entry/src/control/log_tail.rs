use {
    super::{
        ControlActor,
        control_messages::{ApplyEntries, AskPosition, CaughtUp, FoldPosition},
    },
    goldcreststall_core::{
        ids::Millis,
        ledger::{LogIdentity, LogOffset},
    },
    goldcreststall_platform::log::{LogBounds, LogError, LogService, LogStream},
    kameo::actor::ActorRef,
    slog::{Logger, warn},
    std::{sync::Arc, time::Duration},
};

/// Longest wait for new entries in one read.
const READ_WAIT: Millis = Millis(1_000);
/// Pause after a failed read.
const RETRY_PAUSE: Millis = Millis(200);

/// Reads the log from where the fold stands.
pub(super) struct LogTail {
    actor: ActorRef<ControlActor>,
    log: Arc<dyn LogService>,
    logger: Logger,
}

impl LogTail {
    pub(super) fn new(
        actor: ActorRef<ControlActor>,
        log: Arc<dyn LogService>,
        logger: Logger,
    ) -> Self {
        Self { actor, log, logger }
    }

    /// Runs until the actor ends.
    pub(super) async fn run(self) {
        let mut bounds = self.first_bounds().await;
        while let Ok(position) = self.actor.ask(AskPosition).await {
            match self.step(bounds.identity, position).await {
                Ok(next) if next >= bounds.next => {
                    if self.actor.tell(CaughtUp).await.is_err() {
                        return;
                    }
                }
                Ok(_) => {}
                Err(error) => {
                    warn!(self.logger, "ledger: the log was not read"; "error" => %error);
                    tokio::time::sleep(Duration::from_millis(RETRY_PAUSE.0)).await;
                    bounds = self.first_bounds().await;
                }
            }
        }
    }

    async fn first_bounds(&self) -> LogBounds {
        loop {
            match self.log.bounds(LogStream::Ledger).await {
                Ok(bounds) => return bounds,
                Err(error) => {
                    warn!(self.logger, "ledger: the log cannot be reached"; "error" => %error);
                    tokio::time::sleep(Duration::from_millis(RETRY_PAUSE.0)).await;
                }
            }
        }
    }

    async fn step(&self, log: LogIdentity, position: FoldPosition) -> Result<LogOffset, LogError> {
        let entries = self
            .log
            .read(LogStream::Ledger, position.next, READ_WAIT)
            .await?;
        let applied = self.actor.ask(ApplyEntries { entries, log }).await;
        Ok(applied.map_or(position.next, |position| position.next))
    }
}
