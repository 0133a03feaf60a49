use {
    goldcreststall_core::ids::{LocalTime, Millis},
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// When the records of operators were last read successfully; shared by the feed and the job API.
#[derive(Clone, Debug, Default)]
pub struct StoreContact {
    /// Local time in milliseconds; 0 before the first read.
    last_ms: Arc<AtomicU64>,
}

impl StoreContact {
    /// Records a read whose response holds all records up to `at`.
    pub fn record(&self, at: LocalTime) {
        self.last_ms.fetch_max(at.0, Ordering::Relaxed);
    }

    /// Returns whether there was no successful read for longer than `limit`.
    pub fn is_silent(&self, limit: Millis, now: LocalTime) -> bool {
        let last = LocalTime(self.last_ms.load(Ordering::Relaxed));
        now.since(last) > limit
    }
}
