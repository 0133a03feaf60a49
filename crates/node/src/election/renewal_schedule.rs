use {
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_entry::clock::BootClock,
};

/// Shortest time from sending a renewal until the owner stops sending commands.
pub(super) const MIN_LEASE: Millis = Millis(1_300);
/// Longest such time. A slow store must not end the term of an owner that nobody could replace any faster.
pub(super) const MAX_LEASE: Millis = Millis(3_000);
/// Time between renewals; three fit into a lease.
const RENEWAL_INTERVAL: Millis = Millis(400);
/// Longest wait for the response to a claim or renewal.
pub(super) const APPEND_TIMEOUT: Millis = Millis(1_200);
/// Longest wait for the response to a renewal that follows a failed one. The store may have recovered while the earlier
/// one was still waiting on a silent connection.
const RETRY_TIMEOUT: Millis = Millis(600);
/// Delay after a failed call to the store.
pub(super) const RETRY_DELAY: Millis = Millis(150);

/// Decides when renewals are sent and how long their leases are.
#[derive(Default)]
pub(super) struct RenewalSchedule {
    /// When the renewal was first sent that is not known to be stored; `None` if the last one is stored.
    first_sent: Option<LocalTime>,
    latency: Millis,
}

impl RenewalSchedule {
    /// Returns the delay before the next renewal. The latency of a slow store counts as part of the interval, and a
    /// renewal that is not known to be stored is repeated soon.
    pub(super) fn delay(&self) -> Millis {
        if self.first_sent.is_some() {
            return RETRY_DELAY;
        }
        Millis(RENEWAL_INTERVAL.0.saturating_sub(self.latency.0))
    }

    /// Returns the longest wait for the response to the next renewal.
    pub(super) fn timeout(&self) -> Millis {
        if self.first_sent.is_some() {
            return RETRY_TIMEOUT.max(self.latency + self.latency);
        }
        APPEND_TIMEOUT
    }

    /// Returns a lease that lasts beyond the next renewal even if the store stays as slow as it was, and at least as long
    /// as the owner already holds one. The other processes know the lease of the newest record only.
    pub(super) fn lease(&self, held: Millis) -> Millis {
        let wanted = Millis(self.latency.0 * 2) + RENEWAL_INTERVAL;
        wanted.max(held).clamp(MIN_LEASE, MAX_LEASE)
    }

    pub(super) fn record_send(&mut self) {
        self.first_sent.get_or_insert_with(|| BootClock.now());
    }

    /// Records that the renewal is stored, and returns when it was first sent.
    pub(super) fn record_stored(&mut self) -> LocalTime {
        let now = BootClock.now();
        let first_sent = self.first_sent.take().unwrap_or(now);
        self.latency = now.since(first_sent);
        first_sent
    }
}
