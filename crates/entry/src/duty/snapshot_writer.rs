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

/// Ledger entries after which a snapshot is written.
const MAX_ENTRIES: u64 = 10_000;
/// A snapshot is written when this part of the retention time has passed.
const RETENTION_PART: u64 = 4;
/// Time between two looks.
const LOOK_INTERVAL: Millis = Millis(1_000);

/// Writes snapshots while this entry host holds the duty.
pub(crate) struct SnapshotWriter {
    actor: ActorRef<ControlActor>,
    peer_state: Arc<PeerState>,
    clock: BootClock,
    log: Arc<dyn LogService>,
    logger: Logger,
    /// Offset and time of the last snapshot that is known.
    written: Option<(LogOffset, LocalTime)>,
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
            written: None,
        }
    }

    /// Runs until the actor ends.
    pub(crate) async fn run(mut self) {
        loop {
            tokio::time::sleep(Duration::from_millis(LOOK_INTERVAL.0)).await;
            if !self.peer_state.holds(&Duty::Snapshots) {
                // Another host may write snapshots meanwhile, so its last one has to be looked up again.
                self.written = None;
                continue;
            }
            if let Err(error) = self.look().await {
                warn!(self.logger, "ledger: no snapshot was written"; "error" => %error);
            }
        }
    }

    async fn look(&mut self) -> Result<(), LogError> {
        let bounds = self.log.bounds(LogStream::Snapshots).await?;
        let Ok(position) = self.actor.ask(GetPosition).await else {
            return Ok(());
        };
        if self.written.is_none() {
            self.written = self.last_written(&bounds, position.time).await?;
        }
        if position.next > LogOffset(0) && self.is_due(position.next, bounds.retention_ms) {
            return self.take().await;
        }
        Ok(())
    }

    /// Tells whether a snapshot is due. One whose age is not known may be about to expire.
    fn is_due(&self, next: LogOffset, retention_ms: u64) -> bool {
        let Some((offset, time)) = self.written else {
            return true;
        };
        let age = self.clock.now().since(time);
        // The age alone is enough: the snapshot itself must not expire either.
        age.0 >= retention_ms / RETENTION_PART || next.0 >= offset.0 + MAX_ENTRIES
    }

    async fn take(&mut self) -> Result<(), LogError> {
        match self.actor.ask(EncodeState).await {
            Ok(Some(encoded)) => self.write(encoded.position.next, &encoded.state).await,
            _ => Ok(()),
        }
    }

    /// Returns the ledger offset of the last chunk in the stream and when it was written. Its age is taken
    /// from the log: counted from the start of this process, it would never be reached by processes that
    /// are replaced more often than snapshots are due.
    async fn last_written(
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

    async fn write(&mut self, next: LogOffset, state: &[u8]) -> Result<(), LogError> {
        let id = SnapshotId(Uuid::now_v7().as_u128());
        for chunk in split_snapshot(id, next, state) {
            let payload = Bytes::from(encode_chunk(&chunk));
            // A chunk that is written twice does no harm; one that is missing leaves the snapshot unused.
            self.log.append(LogStream::Snapshots, payload).await?;
        }
        info!(self.logger, "ledger: a snapshot was written"; "offset" => next.0, "bytes" => state.len());
        self.written = Some((next, self.clock.now()));
        Ok(())
    }
}
