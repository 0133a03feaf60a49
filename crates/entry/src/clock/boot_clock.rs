use {
    goldcreststall_core::ids::{LocalTime, LogTime},
    rustix::time::{ClockId, clock_gettime},
    std::time::{SystemTime, UNIX_EPOCH},
};

const MILLIS_PER_SECOND: u64 = 1_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// Monotonic clock that includes the time during which the host was suspended, so that a process that was frozen finds
/// its deadlines expired.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the host was booted.
    pub fn now(self) -> LocalTime {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        LocalTime(seconds * MILLIS_PER_SECOND + nanos / NANOS_PER_MILLI)
    }
}

/// Returns the wall-clock time. It is used in identities, for scheduled work, and to estimate the age of recovered jobs
/// and of the host list in status reports, and never to check a lease or a timeout.
pub fn wall_time() -> LogTime {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    LogTime(u64::try_from(elapsed.as_millis()).unwrap_or_default())
}
