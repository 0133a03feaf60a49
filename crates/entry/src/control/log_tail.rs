use {
    super::{
        ControlActor,
        control_messages::{
            AppliedPosition, ApplyEntries, CaughtUp, GetPosition, LoadState, StateOrigin,
        },
        snapshot_reader::SnapshotReader,
    },
    crate::{clock::BootClock, peering::PeerState},
    goldcreststall_core::{
        ids::{LocalTime, Millis},
        ledger::{LogIdentity, LogOffset},
    },
    goldcreststall_platform::log::{LogBounds, LogError, LogService, LogStream},
    kameo::actor::ActorRef,
    slog::{Logger, warn},
    std::{sync::Arc, time::Duration},
};

/// How long one read waits for new entries. Duties need a completed read within 2 s, even when reads are slow.
const LONG_POLL_TIMEOUT: Millis = Millis(500);
const RETRY_DELAY: Millis = Millis(200);

/// Follows the log from the applied position.
pub(super) struct LogTail {
    actor: ActorRef<ControlActor>,
    peer_state: Arc<PeerState>,
    clock: BootClock,
    log: Arc<dyn LogService>,
    logger: Logger,
    snapshots: SnapshotReader,
}

impl LogTail {
    pub(super) fn new(
        actor: ActorRef<ControlActor>,
        peer_state: Arc<PeerState>,
        log: Arc<dyn LogService>,
        logger: Logger,
    ) -> Self {
        let snapshots = SnapshotReader::new(Arc::clone(&log), logger.clone());
        Self {
            actor,
            peer_state,
            clock: BootClock,
            log,
            logger,
            snapshots,
        }
    }

    /// Runs until the actor ends.
    pub(super) async fn run(self) {
        loop {
            match self.follow().await {
                Ok(()) => return,
                Err(error) => {
                    warn!(self.logger, "ledger: the log was not read"; "error" => %error);
                }
            }
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY.0)).await;
        }
    }

    /// Reads entries and has them applied until the actor ends or a call fails.
    async fn follow(&self) -> Result<(), LogError> {
        let bounds = self.log.bounds(LogStream::Ledger).await?;
        while let Ok(position) = self.actor.ask(GetPosition).await {
            if position.has_state && position.log != bounds.identity {
                let reason = "the log service serves a different log".to_owned();
                return Err(LogError::Malformed(reason));
            }
            let expired = position.next < bounds.first;
            let position = if !position.has_state || expired {
                self.load_snapshot(position).await?
            } else {
                position
            };
            let sent = self.clock.now();
            match self.read_step(bounds.identity, position).await {
                Ok(next) => self.record_log_end(&bounds, next, sent).await,
                Err(error) => {
                    // The entries expired while this entry host was away; the latest snapshot includes their effects.
                    if matches!(error, LogError::OffsetGone { .. }) {
                        self.load_snapshot(position).await?;
                    }
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    async fn load_snapshot(&self, position: AppliedPosition) -> Result<AppliedPosition, LogError> {
        let Some(state) = self.snapshots.latest().await? else {
            return Ok(position);
        };
        let message = LoadState {
            origin: StateOrigin::Snapshot,
            state: Box::new(state),
        };
        let loaded = self.actor.ask(message).await;
        Ok(loaded.unwrap_or(position))
    }

    /// Records that a read reached the end that the log had when `follow` started.
    async fn record_log_end(&self, bounds: &LogBounds, next: LogOffset, sent: LocalTime) {
        if next >= bounds.next {
            self.peer_state.record_log_read(sent);
            // Fails only at shutdown, when the actor has ended.
            let _ = self.actor.tell(CaughtUp).await;
        }
    }

    async fn read_step(
        &self,
        log: LogIdentity,
        position: AppliedPosition,
    ) -> Result<LogOffset, LogError> {
        let entries = self
            .log
            .read(LogStream::Ledger, position.next, LONG_POLL_TIMEOUT)
            .await?;
        let end = entries.last().map(|entry| LogOffset(entry.offset.0 + 1));
        let applied = self.actor.ask(ApplyEntries { entries, log }).await;
        let next = applied.map_or(position.next, |position| position.next);
        if end.is_some_and(|end| next < end) {
            // The state no longer advances, so this entry host must not count as one that follows the log.
            let reason = format!("the entry at offset {} cannot be applied", next.0);
            return Err(LogError::Malformed(reason));
        }
        Ok(next)
    }
}
