use serde::{Deserialize, Serialize};

/// Why the fold ignored a record.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize, thiserror::Error,
)]
pub enum Rejection {
    /// A record with the same id was applied before.
    #[error("the record was applied before")]
    Duplicate,
    /// The id of the record is older than the window in which duplicates are recognised.
    #[error("the record id is too old")]
    IdTooOld,
    /// The id of the record lies in the future.
    #[error("the record id lies in the future")]
    IdTooNew,
    /// The configuration is not valid.
    #[error("the configuration is not valid")]
    InvalidConfig,
    /// The request key is claimed.
    #[error("the request key is claimed")]
    KeyClaimed,
    /// The request key is too old.
    #[error("the request key is too old")]
    KeyTooOld,
    /// The request key lies in the future.
    #[error("the request key lies in the future")]
    KeyTooNew,
    /// The author does not hold the claim or lease.
    #[error("the author is not the holder")]
    NotHolder,
    /// The record names a version that has passed.
    #[error("the record names a version that has passed")]
    StaleVersion,
    /// The record names a host that is not in the fleet.
    #[error("the host is not known")]
    UnknownHost,
    /// The record names a pool that is not configured.
    #[error("the pool is not known")]
    UnknownPool,
}
