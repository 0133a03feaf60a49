use {
    super::{
        EncodedState, LogPosition, RawEntries, RawEntry, RawFetchEntries, RawState, WireError,
    },
    bytes::Bytes,
    goldcreststall_core::{
        ids::LogTime,
        ledger::{LogIdentity, LogOffset},
    },
};

/// Maximum size in bytes of a relayed log entry. Together with its message tags it fits into one frame.
pub const MAX_ENTRY_BYTES: usize = 768 * 1024;
/// Bytes of a state sent in one frame. States of tens of MB do not fit into a single frame.
pub const STATE_CHUNK_BYTES: usize = 256 * 1024;

/// A log entry as stored in the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredLogEntry {
    /// Encoded records.
    pub bytes: Bytes,
    /// Position of the entry in the log.
    pub offset: LogOffset,
    /// Timestamp assigned by the log.
    pub time: LogTime,
}

/// Request to a peer for log entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchEntries {
    /// Offset of the first requested entry.
    pub from: LogOffset,
    /// Identity of the log.
    pub log: LogIdentity,
}

impl From<FetchEntries> for RawFetchEntries {
    fn from(fetch: FetchEntries) -> Self {
        Self {
            from: fetch.from.0,
            log: fetch.log.0,
        }
    }
}

impl From<RawFetchEntries> for FetchEntries {
    fn from(raw: RawFetchEntries) -> Self {
        Self {
            from: LogOffset(raw.from),
            log: LogIdentity(raw.log),
        }
    }
}

/// Response to a request for log entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntriesResponse {
    /// Entries with consecutive offsets, starting at the requested one; empty when none exist yet.
    Entries {
        /// Entries in the order of their offsets.
        entries: Vec<StoredLogEntry>,
        /// Identity of the log.
        log: LogIdentity,
    },
    /// The peer no longer has the requested offset. The requester has to load a state instead.
    Gone {
        /// The first offset that the peer still has.
        first: LogOffset,
        /// Identity of the log.
        log: LogIdentity,
    },
    /// The peer follows no log or a different one.
    OtherLog,
}

impl From<EntriesResponse> for RawEntries {
    fn from(response: EntriesResponse) -> Self {
        match response {
            EntriesResponse::Entries { entries, log } => {
                let first = entries.first().map_or(0, |entry| entry.offset.0);
                let entries = entries.into_iter().map(|entry| RawEntry {
                    bytes: entry.bytes,
                    time: entry.time.0,
                });
                Self {
                    entries: entries.collect(),
                    first,
                    log: log.0,
                    ..Self::default()
                }
            }
            EntriesResponse::Gone { first, log } => Self {
                first: first.0,
                gone: true,
                log: log.0,
                ..Self::default()
            },
            EntriesResponse::OtherLog => Self {
                other_log: true,
                ..Self::default()
            },
        }
    }
}

impl TryFrom<RawEntries> for EntriesResponse {
    type Error = WireError;

    fn try_from(raw: RawEntries) -> Result<Self, WireError> {
        if (raw.other_log || raw.gone) && !raw.entries.is_empty() {
            return Err(WireError::Malformed(
                "entries in a response that reports none".to_owned(),
            ));
        }
        if raw.other_log {
            return Ok(Self::OtherLog);
        }
        let log = LogIdentity(raw.log);
        let first = raw.first;
        if raw.gone {
            let first = LogOffset(first);
            return Ok(Self::Gone { first, log });
        }
        let count = raw.entries.len() as u64;
        first.checked_add(count).ok_or(WireError::OutOfRange {
            field: "first",
            value: first,
        })?;
        let numbered = (first..).zip(raw.entries);
        let entries = numbered.map(|(offset, entry)| StoredLogEntry {
            bytes: entry.bytes,
            offset: LogOffset(offset),
            time: LogTime(entry.time),
        });
        Ok(Self::Entries {
            entries: entries.collect(),
            log,
        })
    }
}

/// One chunk of a state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StateChunk {
    /// Bytes of the chunk.
    pub bytes: Bytes,
    /// Byte offset of the chunk in the state.
    pub offset: u64,
    /// How far the log has been applied to the state.
    pub position: LogPosition,
    /// Size of the complete state in bytes.
    pub total: u64,
}

impl From<StateChunk> for RawState {
    fn from(chunk: StateChunk) -> Self {
        Self {
            bytes: chunk.bytes,
            log: chunk.position.log.0,
            next: chunk.position.next.0,
            none: false,
            offset: chunk.offset,
            total: chunk.total,
        }
    }
}

impl TryFrom<RawState> for Option<StateChunk> {
    type Error = WireError;

    fn try_from(raw: RawState) -> Result<Self, WireError> {
        if raw.none {
            return Ok(None);
        }
        let end = raw.offset.checked_add(raw.bytes.len() as u64);
        if raw.bytes.is_empty() || end.is_none_or(|end| end > raw.total) {
            return Err(WireError::OutOfRange {
                field: "offset",
                value: raw.offset,
            });
        }
        Ok(Some(StateChunk {
            bytes: raw.bytes,
            offset: raw.offset,
            position: LogPosition {
                log: LogIdentity(raw.log),
                next: LogOffset(raw.next),
            },
            total: raw.total,
        }))
    }
}

/// Splits a state into chunks without copying it.
#[derive(Clone, Debug)]
pub struct StateChunks {
    encoded: EncodedState,
    offset: usize,
}

impl StateChunks {
    /// Creates an iterator that starts at the first chunk of `encoded`.
    pub fn new(encoded: EncodedState) -> Self {
        Self { encoded, offset: 0 }
    }
}

impl Iterator for StateChunks {
    type Item = StateChunk;

    fn next(&mut self) -> Option<StateChunk> {
        let bytes = &self.encoded.bytes;
        if self.offset >= bytes.len() {
            return None;
        }
        let offset = self.offset;
        let end = bytes.len().min(offset + STATE_CHUNK_BYTES);
        self.offset = end;
        Some(StateChunk {
            bytes: bytes.slice(offset..end),
            offset: offset as u64,
            position: self.encoded.position,
            total: bytes.len() as u64,
        })
    }
}
