use {
    super::LogFaults,
    goldcreststall_core::{
        ids::LogTime,
        ledger::{LogIdentity, LogOffset},
    },
    goldcreststall_platform::log::{LogBounds, RawEntry},
    parking_lot::Mutex,
    std::time::{SystemTime, UNIX_EPOCH},
    tokio::sync::watch,
};

/// A read ends once its payloads reach this size; the entry that reaches it is still included.
const MAX_READ_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug, Default)]
struct StoredStream {
    entries: Vec<RawEntry>,
    first_offset: u64,
    name: String,
}

/// Keeps the log streams in memory, each with its own offsets, until their entries expire.
#[derive(Debug)]
pub struct LogStore {
    appended: watch::Sender<u64>,
    faults: Mutex<LogFaults>,
    identity: LogIdentity,
    retention_ms: u64,
    streams: Mutex<Vec<StoredStream>>,
}

impl LogStore {
    /// Creates an empty log whose entries expire after `retention_ms` milliseconds.
    pub fn new(identity: LogIdentity, retention_ms: u64) -> Self {
        Self {
            appended: watch::Sender::new(0),
            faults: Mutex::default(),
            identity,
            retention_ms,
            streams: Mutex::default(),
        }
    }

    /// Returns the active faults.
    pub fn faults(&self) -> LogFaults {
        *self.faults.lock()
    }

    /// Replaces all active faults.
    pub fn set_faults(&self, faults: LogFaults) {
        *self.faults.lock() = faults;
    }

    /// Decrements [`LogFaults::lose_answers`] and returns whether the current response has to be dropped.
    pub fn consume_lost_response(&self) -> bool {
        let mut faults = self.faults.lock();
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    }

    /// Appends an entry with the current platform time and returns its offset. An unknown stream is created.
    pub fn append(&self, stream_name: &str, payload: Vec<u8>) -> LogOffset {
        let offset = self.with_stream(stream_name, |stream| {
            let offset = LogOffset(stream.first_offset + stream.entries.len() as u64);
            stream.entries.push(RawEntry {
                offset,
                payload,
                time: platform_time(),
            });
            offset
        });
        self.appended.send_modify(|count| *count += 1);
        offset
    }

    /// Returns the offsets that can be read: from the oldest retained entry to the next append.
    pub fn bounds(&self, stream_name: &str) -> LogBounds {
        self.with_stream(stream_name, |stream| LogBounds {
            first: LogOffset(stream.first_offset),
            identity: self.identity,
            next: LogOffset(stream.first_offset + stream.entries.len() as u64),
            retention_ms: self.retention_ms,
        })
    }

    /// Reads entries from offset `from`; `None` when that entry has expired.
    pub fn read(&self, stream_name: &str, from: LogOffset) -> Option<Vec<RawEntry>> {
        self.with_stream(stream_name, |stream| {
            let skipped = usize::try_from(from.0.checked_sub(stream.first_offset)?).ok()?;
            let mut bytes = 0;
            let entries = stream.entries.iter().skip(skipped).take_while(|entry| {
                let fits = bytes < MAX_READ_BYTES;
                bytes += entry.payload.len();
                fits
            });
            Some(entries.cloned().collect())
        })
    }

    /// Returns a receiver that is notified of each append to any stream.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.appended.subscribe()
    }

    fn with_stream<T>(&self, name: &str, action: impl FnOnce(&mut StoredStream) -> T) -> T {
        let mut streams = self.streams.lock();
        let index = match streams.iter().position(|stream| stream.name == name) {
            Some(index) => index,
            None => {
                streams.push(StoredStream {
                    name: name.to_owned(),
                    ..StoredStream::default()
                });
                streams.len() - 1
            }
        };
        let stream = &mut streams[index];
        let min_time = LogTime(platform_time().0.saturating_sub(self.retention_ms));
        let expired = stream
            .entries
            .partition_point(|entry| entry.time < min_time);
        stream.entries.drain(..expired);
        stream.first_offset += expired as u64;
        action(stream)
    }
}

/// Returns the time of the platform clock, which is the system clock.
pub(crate) fn platform_time() -> LogTime {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    LogTime(elapsed.as_millis() as u64)
}
