use {async_trait::async_trait, bytes::Bytes, goldcreststall_core::ids::Millis};

/// A topic of the system in the platform's store; each has one partition in use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreTopic {
    /// Claims and renewals of the ownership.
    Ownership,
    /// Jobs and waves; the newest record of each key is kept.
    Jobs,
    /// What operators are told; the newest record of each key is kept.
    Status,
}

/// Under which condition an append is carried out.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AppendCondition {
    /// The partition must end at this offset.
    pub at: Option<u64>,
    /// Epoch and sequence number of the owner's writes.
    pub fence: Option<(u64, u64)>,
}

/// Where an append was placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AppendPosition {
    /// Offset of its first record.
    pub offset: u64,
    /// End of the partition after it.
    pub end: u64,
}

/// Records that were read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReadBatch {
    /// End of the partition.
    pub end: u64,
    /// The records from the offset that was asked for.
    pub records: Vec<Bytes>,
}

/// A page of the newest records of a keyed topic.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NewestPage {
    /// Keys and values, by key.
    pub items: Vec<(String, Bytes)>,
    /// More pages follow.
    pub more: bool,
    /// End of the partition when the page was read.
    pub end: u64,
}

/// Why a call of the store failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The records that were asked for are gone; the first that is kept.
    #[error("the offset has expired; the first is {first}")]
    Expired {
        /// Offset of the first record that is kept.
        first: u64,
    },
    /// A higher epoch has written.
    #[error("a newer owner writes")]
    Fenced,
    /// The partition ends elsewhere.
    #[error("the topic ends at {end}")]
    NotAtEnd {
        /// Where it ends.
        end: u64,
    },
    /// The sequence number does not follow the last one.
    #[error("the sequence number {expected} was expected")]
    Sequence {
        /// The number that would follow.
        expected: u64,
    },
    /// Nothing was done.
    #[error("the store refused the call")]
    Refused,
    /// It may have been done, or may be done later.
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

    /// Appends keyed records, all or none; an empty value drops the key.
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

    /// Reads records, waiting for the first at most `wait`.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn read(
        &self,
        topic: StoreTopic,
        from: u64,
        wait: Millis,
    ) -> Result<ReadBatch, StoreError>;

    /// Reads a page of the newest records of a keyed topic, after the key `after`.
    ///
    /// # Errors
    /// See [`StoreError`].
    async fn newest(
        &self,
        topic: StoreTopic,
        after: Option<&str>,
    ) -> Result<NewestPage, StoreError>;

    /// Tells operators where a wave stands. The epoch and sequence number of `fence` keep a report that is carried out
    /// late from replacing a newer one.
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
