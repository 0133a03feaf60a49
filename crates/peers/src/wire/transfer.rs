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

/// Largest log entry that is relayed, in bytes. With its message tags it fits a frame.
pub const MAX_ENTRY_BYTES: usize = 768 * 1024;
/// Bytes of a state in one frame. A state of tens of MB would not fit one.
pub const STATE_CHUNK_BYTES: usize = 256 * 1024;

/// A log entry as the log stores it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredLogEntry {
    /// Encoded records.
    pub bytes: Bytes,
    /// Place of the entry.
    pub offset: LogOffset,
    /// Time stamped by the log.
    pub time: LogTime,
}

/// Asks a peer for log entries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchEntries {
    /// Offset of the first entry that is wanted.
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

/// Answers a request for log entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EntriesResponse {
    /// Entries with consecutive offsets, starting with the one asked for; empty when there are none yet.
    Entries {
        /// The entries.
        entries: Vec<StoredLogEntry>,
        /// Identity of the log.
        log: LogIdentity,
    },
    /// The offset is no longer kept. The asker has to take a state.
    Gone {
        /// The first offset that is kept.
        first: LogOffset,
        /// Identity of the log.
        log: LogIdentity,
    },
    /// The peer knows no log or another one.
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
            return Err(WireError::Malformed("entries beside a refusal".to_owned()));
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
    /// Place of the chunk in the state, in bytes.
    pub offset: u64,
    /// How far the state follows its log.
    pub position: LogPosition,
    /// Size of the whole state in bytes.
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
                field: "place",
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

/// Cuts a state into chunks without copying it.
#[derive(Clone, Debug)]
pub struct StateChunks {
    encoded: EncodedState,
    offset: usize,
}

impl StateChunks {
    /// Starts with the first chunk of `encoded`.
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
