use goldcreststall_core::ledger::LogOffset;

/// Why a call of the log service failed.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum LogError {
    /// The response does not follow the protocol.
    #[error("malformed response: {0}")]
    Malformed(String),
    /// The entry at the requested offset has expired.
    #[error("the entry has expired; the oldest one kept is {}", first.0)]
    OffsetGone {
        /// Offset of the oldest entry that is kept.
        first: LogOffset,
    },
    /// The call had no effect.
    #[error("the log service cannot be reached: {0}")]
    Unavailable(String),
    /// The call may have taken effect.
    #[error("the log service did not confirm: {0}")]
    Unconfirmed(String),
}
