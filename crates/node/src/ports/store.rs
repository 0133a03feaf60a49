use {async_trait::async_trait, bytes::Bytes, goldcreststall_core::ids::Millis};

/// A topic of this system in the platform's store; only one partition of each is used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreTopic {
    /// Claims, renewals and releases of the ownership of the fleet.
    Ownership,
    /// Jobs and waves; the newest record of each key is kept.
    Jobs,
    /// Reports to operators; the newest record of each key is kept.
    Status,
}

/// Condition under which the store executes an append.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AppendCondition {
    /// Offset at which the partition must end.
    pub at: Option<u64>,
    /// Epoch and sequence number of the write; the epoch is the owner's fencing token.
    pub fence: Option<(u64, u64)>,
}

/// Position of appended records in the partition.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AppendPosition {
    /// Offset of the first appended record.
    pub offset: u64,
    /// End of the partition after the append.
    pub end: u64,
}

/// Records read from a partition.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReadBatch {
    /// End of the partition when the records were read.
    pub end: u64,
    /// The records from the requested offset on.
    pub records: Vec<Bytes>,
}

/// A page of the newest records of a keyed topic.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NewestPage {
    /// Keys and values, sorted by key.
    pub items: Vec<(String, Bytes)>,
    /// Whether more pages follow.
    pub more: bool,
    /// End of the partition when the page was read.
    pub end: u64,
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The requested records are no longer kept.
    #[error("the offset has expired; the first is {first}")]
    Expired {
        /// Offset of the first record that is still kept.
        first: u64,
    },
    /// A writer with a higher epoch has written.
    #[error("a newer owner writes")]
    Fenced,
    /// The partition does not end at the offset of the condition.
    #[error("the topic ends at {end}")]
    NotAtEnd {
        /// Offset at which it ends.
        end: u64,
    },
    /// The sequence number does not follow the last one.
    #[error("the sequence number {expected} was expected")]
    Sequence {
        /// The number that follows the last one.
        expected: u64,
    },
    /// The store did not execute the call.
    #[error("the store refused the call")]
    Refused,
    /// The outcome is unknown: the call may have been executed, or may still be.
    #[error("the store did not answer")]
    Unknown,
}

/// The platform's store.
#[async_trait]
pub trait PlatformStore: Send + Sync {
    /// Appends records, all or none.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn append(
        &self,
        topic: StoreTopic,
        records: &[Bytes],
        condition: AppendCondition,
        timeout: Millis,
    ) -> Result<AppendPosition, StoreError>;

    /// Appends keyed records, all or none; an empty value deletes the key.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn append_keyed(
        &self,
        topic: StoreTopic,
        records: &[(String, Vec<u8>)],
        condition: AppendCondition,
        timeout: Millis,
    ) -> Result<AppendPosition, StoreError>;

    /// Reads records from the offset `from` on, and waits for the first at most `wait`.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn read(
        &self,
        topic: StoreTopic,
        from: u64,
        wait: Millis,
    ) -> Result<ReadBatch, StoreError>;

    /// Reads a page of the newest records of a keyed topic, starting after the key `after`.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn newest(
        &self,
        topic: StoreTopic,
        after: Option<&str>,
    ) -> Result<NewestPage, StoreError>;

    /// Reports the state of a wave to operators. The epoch and sequence number in `fence` keep a report that the store
    /// executes late from replacing a newer one.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn report_wave(
        &self,
        wave: u64,
        completed: bool,
        fence: (u64, u64),
    ) -> Result<(), StoreError>;
}
