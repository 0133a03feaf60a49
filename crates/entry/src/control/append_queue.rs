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

const MAX_BATCH_RECORDS: usize = 512;
/// Maximum size of an append of more than one record. Peers do not forward entries above 768 KiB.
const MAX_BATCH_BYTES: usize = 512 * 1024;
const RETRY_DELAY: Millis = Millis(100);

#[derive(Debug)]
pub(super) struct QueuedRecord {
    /// The record is dropped if it has not been appended by then.
    pub(super) append_deadline: LocalTime,
    /// Keeps its id when the append is retried.
    pub(super) record: LedgerRecord,
}

/// Appends records in batches, one append at a time and at a bounded rate.
pub(super) struct AppendQueue {
    clock: BootClock,
    /// Minimum time between two appends: this entry host's share of the fleet's append rate.
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

    /// Runs until the sender of records is dropped.
    pub(super) async fn run(mut self) {
        let mut batch = Vec::new();
        loop {
            if batch.is_empty() && self.records.recv_many(&mut batch, MAX_BATCH_RECORDS).await == 0
            {
                return;
            }
            self.fill_batch(&mut batch);
            let delay = self.append(&mut batch).await;
            tokio::time::sleep(Duration::from_millis(delay.0)).await;
        }
    }

    fn fill_batch(&mut self, batch: &mut Vec<QueuedRecord>) {
        while batch.len() < MAX_BATCH_RECORDS {
            match self.records.try_recv() {
                Ok(record) => batch.push(record),
                Err(_) => break,
            }
        }
        let now = self.clock.now();
        batch.retain(|queued| queued.append_deadline > now);
    }

    /// Appends the records that fit into one log entry and returns the delay before the next append.
    async fn append(&self, batch: &mut Vec<QueuedRecord>) -> Millis {
        if batch.is_empty() {
            return Millis(0);
        }
        let (count, payload) = encode_prefix(batch);
        match self.log.append(LogStream::Ledger, payload).await {
            Ok(receipt) => {
                let offset = receipt.offset.0;
                debug!(self.logger, "ledger: records were appended"; "offset" => offset, "records" => count);
                batch.drain(..count);
                self.interval
            }
            Err(error) => self.retry_delay(&error),
        }
    }

    /// Logs a failed append and returns the delay before the retry. The records stay in the batch with their ids, so
    /// that a repeated append has no second effect.
    fn retry_delay(&self, error: &LogError) -> Millis {
        warn!(self.logger, "ledger: an append failed and is repeated"; "error" => %error);
        self.interval.max(RETRY_DELAY)
    }
}

/// Encodes as many of the first records as fit into one log entry, but at least one; returns their number and bytes.
fn encode_prefix(batch: &[QueuedRecord]) -> (usize, Bytes) {
    let mut count = batch.len();
    loop {
        let records = batch[..count].iter().map(|queued| &queued.record);
        let payload = encode_records(records);
        if payload.len() <= MAX_BATCH_BYTES || count == 1 {
            return (count, Bytes::from(payload));
        }
        count = count.div_ceil(2);
    }
}
