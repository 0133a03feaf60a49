use {
    super::StoreError,
    async_trait::async_trait,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{owner::WaveRequest, routes::FleetRules},
};

/// What operators write.
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
    /// Key and record; none for a key that was dropped or a record that names nothing of use.
    pub records: Vec<(String, Option<T>)>,
    /// Offset of the record that follows.
    pub next: u64,
}

/// A topic that others write, of which the newest record of each key counts.
#[async_trait]
pub trait RecordFeed<T>: Send + Sync {
    /// Reads the newest record of every key.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn newest(&self) -> Result<FeedBatch<T>, StoreError>;

    /// Reads the records from `from` on, waiting for the first at most `wait`.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn follow(&self, from: u64, wait: Millis) -> Result<FeedBatch<T>, StoreError>;
}
