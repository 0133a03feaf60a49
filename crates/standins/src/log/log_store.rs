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

/// Largest read, in bytes of payload.
const MAX_READ_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug, Default)]
struct StreamRows {
    entries: Vec<RawEntry>,
    first: u64,
    name: String,
}

/// The streams of the stand-in, in memory.
#[derive(Debug)]
pub struct LogStore {
    appended: watch::Sender<u64>,
    faults: Mutex<LogFaults>,
    identity: LogIdentity,
    retention_ms: u64,
    streams: Mutex<Vec<StreamRows>>,
}

impl LogStore {
    /// Creates an empty log that keeps entries for `retention_ms` milliseconds.
    pub fn new(identity: LogIdentity, retention_ms: u64) -> Self {
        Self {
            appended: watch::Sender::new(0),
            faults: Mutex::default(),
            identity,
            retention_ms,
            streams: Mutex::default(),
        }
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> LogFaults {
        *self.faults.lock()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LogFaults) {
        *self.faults.lock() = faults;
    }

    /// Uses up one lost answer, if any is left.
    pub fn lose_answer(&self) -> bool {
        let mut faults = self.faults.lock();
        let lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        lost
    }

    /// Writes an entry.
    pub fn append(&self, stream: &str, payload: Vec<u8>) -> LogOffset {
        let offset = self.with_stream(stream, |rows| {
            let offset = LogOffset(rows.first + rows.entries.len() as u64);
            rows.entries.push(RawEntry {
                offset,
                payload,
                time: platform_time(),
            });
            offset
        });
        self.appended.send_modify(|count| *count += 1);
        offset
    }

    /// Returns which part of a stream can be read.
    pub fn bounds(&self, stream: &str) -> LogBounds {
        self.with_stream(stream, |rows| LogBounds {
            first: LogOffset(rows.first),
            identity: self.identity,
            next: LogOffset(rows.first + rows.entries.len() as u64),
            retention_ms: self.retention_ms,
        })
    }

    /// Reads entries from `from`; `None` when that entry has expired.
    pub fn read(&self, stream: &str, from: LogOffset) -> Option<Vec<RawEntry>> {
        self.with_stream(stream, |rows| {
            let skipped = usize::try_from(from.0.checked_sub(rows.first)?).ok()?;
            let mut bytes = 0;
            let entries = rows.entries.iter().skip(skipped).take_while(|entry| {
                let fits = bytes < MAX_READ_BYTES;
                bytes += entry.payload.len();
                fits
            });
            Some(entries.cloned().collect())
        })
    }

    /// Returns a receiver that changes with each append.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.appended.subscribe()
    }

    fn with_stream<T>(&self, name: &str, action: impl FnOnce(&mut StreamRows) -> T) -> T {
        let mut streams = self.streams.lock();
        let index = match streams.iter().position(|rows| rows.name == name) {
            Some(index) => index,
            None => {
                streams.push(StreamRows {
                    name: name.to_owned(),
                    ..StreamRows::default()
                });
                streams.len() - 1
            }
        };
        let rows = &mut streams[index];
        let oldest = LogTime(platform_time().0.saturating_sub(self.retention_ms));
        let expired = rows.entries.partition_point(|entry| entry.time < oldest);
        rows.entries.drain(..expired);
        rows.first += expired as u64;
        action(rows)
    }
}

/// Returns the clock of the platform.
pub(crate) fn platform_time() -> LogTime {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    LogTime(elapsed.as_millis() as u64)
}
