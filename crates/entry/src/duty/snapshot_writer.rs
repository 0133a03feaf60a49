use {
    crate::{
        clock::wall_time,
        control::{AskPosition, ControlActor, TakeImage},
        peering::PeerBoard,
    },
    bytes::Bytes,
    goldcreststall_core::{
        duties::Duty,
        ids::{LogTime, Millis},
        ledger::{LogOffset, SnapshotId, decode_chunk, encode_chunk, split_snapshot},
    },
    goldcreststall_platform::log::{LogError, LogService, LogStream},
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
    board: Arc<PeerBoard>,
    log: Arc<dyn LogService>,
    logger: Logger,
    /// Offset and time of the last snapshot that is known. Its age is judged by the wall clock, because the
    /// clock of the fold stands still while nothing is appended.
    written: Option<(LogOffset, LogTime)>,
}

impl SnapshotWriter {
    pub(crate) fn new(
        actor: ActorRef<ControlActor>,
        board: Arc<PeerBoard>,
        log: Arc<dyn LogService>,
        logger: Logger,
    ) -> Self {
        Self {
            actor,
            board,
            log,
            logger,
            written: None,
        }
    }

    /// Runs until the actor ends.
    pub(crate) async fn run(mut self) {
        loop {
            tokio::time::sleep(Duration::from_millis(LOOK_INTERVAL.0)).await;
            if !self.board.holds(&Duty::Snapshots) {
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
        let (offset, time) = match self.written {
            Some(written) => written,
            None => self.last_written(bounds.next).await?,
        };
        self.written = Some((offset, time));
        let age = wall_time().since(time);
        // The age alone is enough: the snapshot itself must not expire either.
        let due = age.0 >= bounds.retention_ms / RETENTION_PART;
        let position = self.actor.ask(AskPosition).await;
        let grown = position.is_ok_and(|position| position.next.0 >= offset.0 + MAX_ENTRIES);
        if !due && !grown {
            return Ok(());
        }
        match self.actor.ask(TakeImage).await {
            Ok(Some(image)) => self.write(image.0.position.next, &image.0.bytes).await,
            _ => Ok(()),
        }
    }

    /// Returns the ledger offset and the time of the last chunk in the stream; zero when there is none.
    async fn last_written(&self, next: LogOffset) -> Result<(LogOffset, LogTime), LogError> {
        let Some(last) = next.0.checked_sub(1).map(LogOffset) else {
            return Ok((LogOffset(0), LogTime(0)));
        };
        let entries = self.log.read(LogStream::Snapshots, last, Millis(0)).await?;
        let Some(entry) = entries.first() else {
            return Ok((LogOffset(0), LogTime(0)));
        };
        let chunk = decode_chunk(&entry.payload).ok();
        Ok((chunk.map_or(LogOffset(0), |chunk| chunk.next), entry.time))
    }

    async fn write(&mut self, next: LogOffset, state: &[u8]) -> Result<(), LogError> {
        let id = SnapshotId(Uuid::now_v7().as_u128());
        for chunk in split_snapshot(id, next, state) {
            let payload = Bytes::from(encode_chunk(&chunk));
            // A chunk that is written twice does no harm; one that is missing leaves the snapshot unused.
            self.log.append(LogStream::Snapshots, payload).await?;
        }
        info!(self.logger, "ledger: a snapshot was written"; "offset" => next.0, "bytes" => state.len());
        self.written = Some((next, wall_time()));
        Ok(())
    }
}
