use {
    super::StoreError,
    async_trait::async_trait,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{owner::WaveRequest, routes::FleetRules},
};

/// A record that an operator wrote.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRecord {
    /// A configuration.
    Rules(FleetRules),
    /// A request to maintain hosts.
    Wave(WaveRequest),
}

/// Records of a feed in the order in which they were written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedBatch<T> {
    /// Keys and records; `None` for a deleted key, an unreadable record and one of no use here.
    pub records: Vec<(String, Option<T>)>,
    /// Offset at which the next read starts.
    pub next: u64,
}

/// A keyed topic that others write; only the newest record of each key counts.
#[async_trait]
pub trait RecordFeed<T>: Send + Sync {
    /// Reads the newest record of every key.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn newest(&self) -> Result<FeedBatch<T>, StoreError>;

    /// Reads the records from the offset `from` on, and waits for the first at most `wait`.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn follow(&self, from: u64, wait: Millis) -> Result<FeedBatch<T>, StoreError>;
}
