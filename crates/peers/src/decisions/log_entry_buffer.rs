use {
    crate::wire::{EntriesResponse, FetchEntries, MAX_ENTRY_BYTES, StoredLogEntry},
    goldcreststall_core::ledger::{LogIdentity, LogOffset},
    std::collections::VecDeque,
};

/// Bytes of entries that are kept for peers that lag.
pub const MAX_BUFFER_BYTES: usize = 4 * 1024 * 1024;
/// Bytes of entries in one answer, unless its first entry alone is larger.
pub const RESPONSE_BYTES: usize = 256 * 1024;

/// Bookkeeping per entry that is counted as part of its size, so that empty entries are bounded too.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// What became of an entry that was added.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushResult {
    /// The entry follows the last one.
    Added,
    /// The entry is known.
    Known,
    /// The entry does not follow the last one or is of another log: the tail was dropped and starts here.
    Restarted,
    /// The entry is too large to be relayed: the tail was dropped and starts after it.
    TooLarge,
}

/// A bounded tail of recent log entries with consecutive offsets, for peers that lag.
#[derive(Clone, Debug)]
pub struct LogEntryBuffer {
    bytes: usize,
    entries: VecDeque<StoredLogEntry>,
    log: LogIdentity,
    next: LogOffset,
}

impl LogEntryBuffer {
    /// Creates an empty tail. `next` is the offset of the first entry that will be added.
    pub fn new(log: LogIdentity, next: LogOffset) -> Self {
        Self {
            bytes: 0,
            entries: VecDeque::new(),
            log,
            next,
        }
    }

    /// Returns the identity of the log.
    pub fn log(&self) -> LogIdentity {
        self.log
    }

    /// Returns the first offset that is kept.
    pub fn first(&self) -> LogOffset {
        self.entries.front().map_or(self.next, |entry| entry.offset)
    }

    /// Returns the offset of the next entry.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the size of the tail in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds an entry that was read from the log or fetched from a peer.
    pub fn push(&mut self, log: LogIdentity, entry: StoredLogEntry) -> PushResult {
        let same_log = log == self.log;
        if same_log && entry.offset < self.next {
            return PushResult::Known;
        }
        let follows = same_log && entry.offset == self.next;
        let too_large = entry.bytes.len() > MAX_ENTRY_BYTES;
        if !follows || too_large {
            self.entries.clear();
            self.bytes = 0;
        }
        self.log = log;
        self.next = LogOffset(entry.offset.0 + 1);
        if too_large {
            return PushResult::TooLarge;
        }
        self.bytes += size(&entry);
        self.entries.push_back(entry);
        self.trim();
        if follows {
            PushResult::Added
        } else {
            PushResult::Restarted
        }
    }

    /// Answers a peer that asks for entries.
    pub fn respond(&self, fetch: FetchEntries) -> EntriesResponse {
        let log = self.log;
        if fetch.log != log {
            return EntriesResponse::OtherLog;
        }
        let first = self.first();
        if fetch.from < first {
            return EntriesResponse::Gone { first, log };
        }
        let skipped = usize::try_from(fetch.from.0 - first.0).unwrap_or(usize::MAX);
        let mut room = RESPONSE_BYTES;
        let mut entries = Vec::new();
        for entry in self.entries.iter().skip(skipped) {
            if !entries.is_empty() && size(entry) > room {
                break;
            }
            room = room.saturating_sub(size(entry));
            entries.push(entry.clone());
        }
        EntriesResponse::Entries { entries, log }
    }

    fn trim(&mut self) {
        while self.bytes > MAX_BUFFER_BYTES {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= size(&entry);
        }
    }
}

fn size(entry: &StoredLogEntry) -> usize {
    entry.bytes.len() + ENTRY_OVERHEAD_BYTES
}
