use {
    crate::ports::{AppendCondition, PlatformStore, StoreError, StoreTopic},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::records::StoreRecord,
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
};

/// Longest wait for the response to one append.
const APPEND_TIMEOUT: Millis = Millis(1_000);
/// Pause before an append is repeated.
const REPEAT_PAUSE: Millis = Millis(100);

/// How the attempt to store a batch ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JournalEnd {
    /// A newer owner writes: the batch is not stored and never will be.
    Fenced,
    /// It is stored.
    Stored,
}

/// Writes the records of one term.
pub struct JobJournal {
    logger: Logger,
    sequence: u64,
    store: Arc<dyn PlatformStore>,
    token: u64,
}

impl JobJournal {
    /// Begins the term with `token`: fences all older owners and reads what they stored.
    ///
    /// Repeats until it succeeds; returns none when a newer owner exists.
    pub async fn begin(
        store: Arc<dyn PlatformStore>,
        token: u64,
        logger: Logger,
    ) -> Option<(Self, Vec<StoreRecord>)> {
        let mut journal = Self {
            logger,
            sequence: 0,
            store,
            token,
        };
        if journal.store_batch(&[], || ()).await == JournalEnd::Fenced {
            return None;
        }
        let records = journal.read_all().await;
        Some((journal, records))
    }

    /// Stores a batch. `trouble` is called for each attempt without success.
    pub async fn store_batch(
        &mut self,
        records: &[(String, Vec<u8>)],
        on_failure: impl Fn(),
    ) -> JournalEnd {
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
                    return JournalEnd::Stored;
                }
                Err(StoreError::Fenced) => return JournalEnd::Fenced,
                Err(StoreError::Sequence { expected }) => {
                    info!(self.logger, "store: another sequence number is expected";
                        "sent" => self.sequence, "expected" => expected);
                    self.sequence = expected;
                }
                Err(error) => {
                    warn!(self.logger, "store: an append has failed and is repeated";
                        "token" => self.token, "sequence" => self.sequence,
                        "records" => records.len(), "failure" => %error);
                    on_failure();
                    tokio::time::sleep(Duration::from_millis(REPEAT_PAUSE.0)).await;
                }
            }
        }
    }

    async fn read_all(&self) -> Vec<StoreRecord> {
        let mut records = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let page = match self.store.newest(StoreTopic::Jobs, after.as_deref()).await {
                Ok(page) => page,
                Err(error) => {
                    warn!(self.logger, "store: a page of jobs was not read"; "failure" => %error);
                    tokio::time::sleep(Duration::from_millis(REPEAT_PAUSE.0)).await;
                    continue;
                }
            };
            for (key, value) in &page.items {
                match StoreRecord::decode(key, value) {
                    Ok(record) => records.push(record),
                    Err(error) => {
                        warn!(self.logger, "store: a record is skipped"; "error" => %error);
                    }
                }
            }
            after = page.items.last().map(|(key, _)| key.clone());
            if !page.more || after.is_none() {
                return records;
            }
        }
    }
}
