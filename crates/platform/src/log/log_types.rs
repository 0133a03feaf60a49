use {
    goldcreststall_core::{
        ids::LogTime,
        ledger::{LogIdentity, LogOffset},
    },
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A stream of the log service that this system uses.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LogStream {
    /// The records from which every entry host derives the state.
    Ledger,
    /// The chunks of snapshots.
    Snapshots,
}

impl LogStream {
    /// Returns the name of the stream in the log service.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ledger => "ledger",
            Self::Snapshots => "snapshots",
        }
    }
}

impl fmt::Display for LogStream {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The range of a stream that can be read.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogBounds {
    /// Offset of the oldest entry that is kept.
    pub first: LogOffset,
    /// Identity of the log; a log that was recreated after it lost its entries has another one.
    pub identity: LogIdentity,
    /// Offset of the next entry to be written.
    pub next: LogOffset,
    /// How long entries are kept, in milliseconds.
    pub retention_ms: u64,
}

/// Confirms an append.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AppendReceipt {
    /// Offset of the new entry.
    pub offset: LogOffset,
}

/// An entry as stored by the log service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RawEntry {
    /// Offset of the entry.
    pub offset: LogOffset,
    /// The bytes that were appended.
    pub payload: Vec<u8>,
    /// Time at which the log service appended the entry, on its own clock.
    pub time: LogTime,
}
