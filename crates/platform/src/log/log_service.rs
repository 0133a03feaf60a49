use {
    super::{AppendReceipt, LogBounds, LogError, LogStream, RawEntry},
    bytes::Bytes,
    goldcreststall_core::{ids::Millis, ledger::LogOffset},
};

/// The append-only log service of the platform.
#[async_trait::async_trait]
pub trait LogService: Send + Sync {
    /// Appends one entry.
    ///
    /// # Errors
    /// `Unavailable` when the entry was not written, `Unconfirmed` when it may have been.
    async fn append(&self, stream: LogStream, payload: Bytes) -> Result<AppendReceipt, LogError>;

    /// Returns the range of a stream that can be read.
    ///
    /// # Errors
    /// Any kind but `OffsetGone`.
    async fn bounds(&self, stream: LogStream) -> Result<LogBounds, LogError>;

    /// Reads entries from offset `from` on, in the order of the log; waits up to `wait` when there is none yet.
    ///
    /// # Errors
    /// `OffsetGone` when the entry at `from` has expired, or another kind.
    async fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait: Millis,
    ) -> Result<Vec<RawEntry>, LogError>;
}
