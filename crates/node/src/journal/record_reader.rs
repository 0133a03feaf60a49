use {
    crate::ports::{NewestPage, PlatformStore, StoreTopic},
    bytes::Bytes,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::JobId,
        records::{FIRST_KEY_AFTER_TEXTS, StoreRecord},
    },
    slog::{Logger, warn},
    std::{sync::Arc, time::Duration},
};

/// Delay before a failed read is repeated.
const RETRY_DELAY: Millis = Millis(100);

/// Reads the records of earlier terms.
///
/// The texts of jobs are most of the bytes, and only starts need them. They are read last, so that a new owner can answer
/// callers and take over running work while a narrow link still carries the texts.
#[derive(Clone)]
pub struct RecordReader {
    /// The store.
    pub store: Arc<dyn PlatformStore>,
    /// Log of failures.
    pub logger: Logger,
}

impl RecordReader {
    /// Reads all records but the texts, repeating failed reads.
    pub async fn read_jobs(&self) -> Vec<StoreRecord> {
        let mut records = Vec::new();
        let mut after = Some(FIRST_KEY_AFTER_TEXTS.to_owned());
        loop {
            let page = self.read_page(after.as_deref()).await;
            records.extend(self.decode(&page.items));
            after = page.items.last().map(|(key, _)| key.clone());
            if !page.more || after.is_none() {
                return records;
            }
        }
    }

    /// Reads the page of texts that follows the key `after`; returns it with the key that the next page follows, which
    /// is `None` after the last text.
    pub async fn read_texts(&self, after: Option<&str>) -> (Vec<(JobId, String)>, Option<String>) {
        let page = self.read_page(after).await;
        let last = page.items.last().map(|(key, _)| key.clone());
        let has_more = |key: &String| page.more && key.as_str() < FIRST_KEY_AFTER_TEXTS;
        let texts = self.decode(&page.items).into_iter();
        let texts = texts.filter_map(|record| match record {
            StoreRecord::Text(id, text) => Some((id, text)),
            _ => None,
        });
        (texts.collect(), last.filter(has_more))
    }

    async fn read_page(&self, after: Option<&str>) -> NewestPage {
        loop {
            match self.store.newest(StoreTopic::Jobs, after).await {
                Ok(page) => return page,
                Err(error) => {
                    warn!(self.logger, "store: a page of job records was not read";
                        "failure" => %error);
                    tokio::time::sleep(Duration::from_millis(RETRY_DELAY.0)).await;
                }
            }
        }
    }

    fn decode(&self, items: &[(String, Bytes)]) -> Vec<StoreRecord> {
        let decode_item = |(key, value): &(String, Bytes)| {
            StoreRecord::decode(key, value)
                .inspect_err(|error| {
                    warn!(self.logger, "store: an unreadable job record is skipped";
                        "error" => %error);
                })
                .ok()
        };
        items.iter().filter_map(decode_item).collect()
    }
}
