use {
    crate::{
        clock::BootClock,
        control::{ControlActor, EncodeState, GetPosition},
        peering::PeerState,
    },
    bytes::Bytes,
    goldcreststall_core::{
        duties::Duty,
        ids::{LocalTime, LogTime, Millis},
        ledger::{LogOffset, SnapshotId, decode_chunk, encode_chunk, split_snapshot},
    },
    goldcreststall_platform::log::{LogBounds, LogError, LogService, LogStream},
    kameo::actor::ActorRef,
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
    uuid::Uuid,
};

/// Number of ledger entries after which a new snapshot is written.
const MAX_ENTRIES_SINCE_SNAPSHOT: u64 = 10_000;
/// A new snapshot is written when the age of the last one reaches the retention time divided by this.
const RETENTION_DIVISOR: u64 = 4;
const POLL_INTERVAL: Millis = Millis(1_000);

/// Writes snapshots while this entry host holds the snapshot duty.
pub(crate) struct SnapshotWriter {
    actor: ActorRef<ControlActor>,
    peer_state: Arc<PeerState>,
    clock: BootClock,
    log: Arc<dyn LogService>,
    logger: Logger,
    /// Ledger offset and time of the last known snapshot.
    last_snapshot: Option<(LogOffset, LocalTime)>,
}

impl SnapshotWriter {
    pub(crate) fn new(
        actor: ActorRef<ControlActor>,
        peer_state: Arc<PeerState>,
        log: Arc<dyn LogService>,
        logger: Logger,
    ) -> Self {
        Self {
            actor,
            peer_state,
            clock: BootClock,
            log,
            logger,
            last_snapshot: None,
        }
    }

    /// Runs until the actor ends.
    pub(crate) async fn run(mut self) {
        loop {
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL.0)).await;
            if !self.peer_state.holds(&Duty::Snapshots) {
                // Another entry host may write snapshots meanwhile, so the last one has to be looked up again.
                self.last_snapshot = None;
                continue;
            }
            if let Err(error) = self.check().await {
                warn!(self.logger, "ledger: no snapshot was written"; "error" => %error);
            }
        }
    }

    async fn check(&mut self) -> Result<(), LogError> {
        let bounds = self.log.bounds(LogStream::Snapshots).await?;
        let Ok(position) = self.actor.ask(GetPosition).await else {
            return Ok(());
        };
        if self.last_snapshot.is_none() {
            self.last_snapshot = self.find_last_snapshot(&bounds, position.time).await?;
        }
        if position.next > LogOffset(0) && self.is_due(position.next, bounds.retention_ms) {
            return self.write_snapshot().await;
        }
        Ok(())
    }

    /// Returns whether a snapshot is due. One of unknown age may be about to expire, so then it is.
    fn is_due(&self, next: LogOffset, retention_ms: u64) -> bool {
        let Some((offset, time)) = self.last_snapshot else {
            return true;
        };
        let age = self.clock.now().since(time);
        // Age alone is a reason, even without new entries: the snapshot itself must not expire.
        age.0 >= retention_ms / RETENTION_DIVISOR || next.0 >= offset.0 + MAX_ENTRIES_SINCE_SNAPSHOT
    }

    async fn write_snapshot(&mut self) -> Result<(), LogError> {
        match self.actor.ask(EncodeState).await {
            Ok(Some(reply)) => self.write_chunks(reply.position.next, &reply.state).await,
            _ => Ok(()),
        }
    }

    /// Returns the ledger offset of the last chunk in the stream and when it was written. The age is taken from the
    /// log: if it were counted from the start of the process, processes that are replaced more often than snapshots
    /// are due would never write one.
    async fn find_last_snapshot(
        &self,
        bounds: &LogBounds,
        time: Option<LogTime>,
    ) -> Result<Option<(LogOffset, LocalTime)>, LogError> {
        if bounds.next <= bounds.first {
            return Ok(None);
        }
        let last = LogOffset(bounds.next.0 - 1);
        let entries = self.log.read(LogStream::Snapshots, last, Millis(0)).await?;
        let chunk = entries
            .first()
            .and_then(|entry| Some((decode_chunk(&entry.payload).ok()?, entry.time)));
        let now = self.clock.now();
        Ok(chunk
            .zip(time)
            .map(|((chunk, written), time)| (chunk.next, now - time.since(written))))
    }

    async fn write_chunks(&mut self, next: LogOffset, state: &[u8]) -> Result<(), LogError> {
        let id = SnapshotId(Uuid::now_v7().as_u128());
        for chunk in split_snapshot(id, next, state) {
            let payload = Bytes::from(encode_chunk(&chunk));
            // A duplicate chunk is harmless; a missing one makes the snapshot unusable.
            self.log.append(LogStream::Snapshots, payload).await?;
        }
        info!(self.logger, "ledger: a snapshot was written"; "offset" => next.0, "bytes" => state.len());
        self.last_snapshot = Some((next, self.clock.now()));
        Ok(())
    }
}
