use {
    goldcreststall_core::ids::LocalTime,
    rustix::time::{ClockId, clock_gettime},
};

/// Returns the time since boot, including time in suspend (`CLOCK_BOOTTIME`).
pub fn boot_time() -> LocalTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    LocalTime(seconds * 1000 + nanos / 1_000_000)
}
