use {
    crate::wire::{EntriesResponse, FetchEntries, MAX_ENTRY_BYTES, StoredLogEntry},
    goldcreststall_core::ledger::{LogIdentity, LogOffset},
    std::collections::VecDeque,
};

/// Maximum size in bytes of the entries kept for lagging peers.
pub const MAX_BUFFER_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size in bytes of the entries in one response, unless its first entry alone is larger.
pub const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// Overhead in bytes that counts as part of the size of each entry, so that the number of empty entries is
/// bounded too.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// Outcome of adding an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushResult {
    /// The entry follows the last one and was added.
    Added,
    /// The entry precedes the end of the buffer; nothing changed.
    Known,
    /// The entry does not follow the last one or belongs to another log: the buffer was cleared and starts with
    /// this entry.
    Restarted,
    /// The entry is too large to be relayed: the buffer was cleared and starts after it.
    TooLarge,
}

/// Bounded buffer of recent log entries with consecutive offsets, for lagging peers.
#[derive(Clone, Debug)]
pub struct LogEntryBuffer {
    bytes: usize,
    entries: VecDeque<StoredLogEntry>,
    log: LogIdentity,
    next: LogOffset,
}

impl LogEntryBuffer {
    /// Creates an empty buffer. `next` is the offset of the first entry to be added.
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

    /// Returns the offset of the first buffered entry, or of the next entry if the buffer is empty.
    pub fn first(&self) -> LogOffset {
        self.entries.front().map_or(self.next, |entry| entry.offset)
    }

    /// Returns the offset of the next entry to be added.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the size of the buffered entries in bytes, including the overhead of each.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds an entry that was read from the log or fetched from a peer, evicting the oldest ones if necessary.
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
        self.bytes += entry_size(&entry);
        self.entries.push_back(entry);
        self.evict_oldest();
        if follows {
            PushResult::Added
        } else {
            PushResult::Restarted
        }
    }

    /// Returns the response to a request for entries.
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
        let mut remaining = MAX_RESPONSE_BYTES;
        let mut entries = Vec::new();
        for entry in self.entries.iter().skip(skipped) {
            if !entries.is_empty() && entry_size(entry) > remaining {
                break;
            }
            remaining = remaining.saturating_sub(entry_size(entry));
            entries.push(entry.clone());
        }
        EntriesResponse::Entries { entries, log }
    }

    fn evict_oldest(&mut self) {
        while self.bytes > MAX_BUFFER_BYTES {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= entry_size(&entry);
        }
    }
}

fn entry_size(entry: &StoredLogEntry) -> usize {
    entry.bytes.len() + ENTRY_OVERHEAD_BYTES
}
