use {
    crate::clock::BootClock,
    bytes::Bytes,
    goldcreststall_core::{
        ids::{LocalTime, Millis},
        ledger::{LedgerRecord, encode_records},
    },
    goldcreststall_platform::log::{LogError, LogService, LogStream},
    slog::{Logger, debug, warn},
    std::{sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// Most records in one append.
const MAX_BATCH: usize = 512;
/// Most bytes in one append with several records. Peers do not relay entries above 768 KiB.
const MAX_BYTES: usize = 512 * 1024;
/// Pause after a failed append.
const RETRY_PAUSE: Millis = Millis(100);

/// A record that waits to be appended.
#[derive(Debug)]
pub(super) struct QueuedRecord {
    /// The record is dropped when it was not appended by then.
    pub(super) give_up: LocalTime,
    /// The record. It keeps its id when it is sent again.
    pub(super) record: LedgerRecord,
}

/// Appends records in batches, one append at a time and at a bounded rate.
pub(super) struct AppendQueue {
    clock: BootClock,
    /// Shortest time between two appends: this entry host's part of the append budget.
    interval: Millis,
    log: Arc<dyn LogService>,
    logger: Logger,
    records: mpsc::UnboundedReceiver<QueuedRecord>,
}

impl AppendQueue {
    pub(super) fn new(
        log: Arc<dyn LogService>,
        records: mpsc::UnboundedReceiver<QueuedRecord>,
        interval: Millis,
        logger: Logger,
    ) -> Self {
        Self {
            clock: BootClock,
            interval,
            log,
            logger,
            records,
        }
    }

    /// Runs until the sender is dropped.
    pub(super) async fn run(mut self) {
        let mut batch = Vec::new();
        loop {
            if batch.is_empty() && self.records.recv_many(&mut batch, MAX_BATCH).await == 0 {
                return;
            }
            self.fill(&mut batch);
            let pause = self.append(&mut batch).await;
            tokio::time::sleep(Duration::from_millis(pause.0)).await;
        }
    }

    fn fill(&mut self, batch: &mut Vec<QueuedRecord>) {
        while batch.len() < MAX_BATCH {
            match self.records.try_recv() {
                Ok(record) => batch.push(record),
                Err(_) => break,
            }
        }
        let now = self.clock.now();
        batch.retain(|queued| queued.give_up > now);
    }

    /// Appends the batch and returns the pause before the next append.
    async fn append(&self, batch: &mut Vec<QueuedRecord>) -> Millis {
        if batch.is_empty() {
            return Millis(0);
        }
        let (count, payload) = encode_part(batch);
        match self.log.append(LogStream::Ledger, payload).await {
            Ok(receipt) => {
                let offset = receipt.offset.0;
                debug!(self.logger, "ledger: records were appended"; "offset" => offset, "records" => count);
                batch.drain(..count);
                self.interval
            }
            Err(error) => self.retry_pause(&error),
        }
    }

    /// The records stay in the batch with their ids, so that a repeated append has no second effect.
    fn retry_pause(&self, error: &LogError) -> Millis {
        warn!(self.logger, "ledger: an append failed and is repeated"; "error" => %error);
        self.interval.max(RETRY_PAUSE)
    }
}

/// Encodes as many records of the batch as fit into an entry, and at least one.
fn encode_part(batch: &[QueuedRecord]) -> (usize, Bytes) {
    let mut count = batch.len();
    loop {
        let records = batch[..count].iter().map(|queued| &queued.record);
        let payload = encode_records(records);
        if payload.len() <= MAX_BYTES || count == 1 {
            return (count, Bytes::from(payload));
        }
        count = count.div_ceil(2);
    }
}
