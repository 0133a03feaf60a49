use {
    super::RecordReader,
    crate::ports::{AppendCondition, PlatformStore, StoreError, StoreTopic},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::records::StoreRecord,
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
};

/// Longest wait for the response to one append.
const APPEND_TIMEOUT: Millis = Millis(1_000);
/// Delay before a failed call to the store is repeated.
const RETRY_DELAY: Millis = Millis(100);

/// Outcome of storing a batch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BatchOutcome {
    /// The batch is not stored and never will be, because a newer owner writes.
    Fenced,
    /// The batch is stored.
    Stored,
}

/// Writes the records of one term to the store.
pub struct JobJournal {
    logger: Logger,
    sequence: u64,
    store: Arc<dyn PlatformStore>,
    token: u64,
}

impl JobJournal {
    /// Starts the term with `token`: stores its start, which fences all older owners, and reads the records that they
    /// stored without the texts.
    ///
    /// Repeats until it succeeds; returns `None` when a newer owner exists.
    pub async fn start(reader: &RecordReader, token: u64) -> Option<(Self, Vec<StoreRecord>)> {
        let mut journal = Self {
            logger: reader.logger.clone(),
            sequence: 0,
            store: Arc::clone(&reader.store),
            token,
        };
        let started = StoreRecord::TermStarted(token).encode();
        if journal.store_batch(&started, || ()).await == BatchOutcome::Fenced {
            return None;
        }
        let records = reader.read_jobs().await;
        Some((journal, records))
    }

    /// Stores a batch, repeating the append until it succeeds or a newer owner writes. `on_failure` is called after
    /// each failed attempt.
    pub async fn store_batch(
        &mut self,
        records: &[(String, Vec<u8>)],
        on_failure: impl Fn(),
    ) -> BatchOutcome {
        loop {
            let condition = AppendCondition {
                at: None,
                fence: Some((self.token, self.sequence)),
            };
            let appended = self
                .store
                .append_keyed(StoreTopic::Jobs, records, condition, APPEND_TIMEOUT)
                .await;
            match appended {
                Ok(_) => {
                    self.sequence += u64::from(!records.is_empty());
                    return BatchOutcome::Stored;
                }
                Err(StoreError::Fenced) => return BatchOutcome::Fenced,
                Err(StoreError::Sequence { expected }) => {
                    info!(self.logger, "store: the store expects another sequence number";
                        "sent" => self.sequence, "expected" => expected);
                    self.sequence = expected;
                }
                Err(error) => {
                    warn!(self.logger, "store: an append failed and is repeated";
                        "token" => self.token, "sequence" => self.sequence,
                        "records" => records.len(), "failure" => %error);
                    on_failure();
                    tokio::time::sleep(Duration::from_millis(RETRY_DELAY.0)).await;
                }
            }
        }
    }
}
