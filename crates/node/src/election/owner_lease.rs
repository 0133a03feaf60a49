use {
    goldcreststall_core::ids::LocalTime,
    goldcreststall_entry::clock::BootClock,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Until when this process may give commands; shared between the election and the control actor.
#[derive(Clone, Debug, Default)]
pub struct OwnerLease {
    until: Arc<AtomicU64>,
}

impl OwnerLease {
    /// Prolongs the lease.
    pub fn extend(&self, until: LocalTime) {
        self.until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Ends the lease.
    pub fn end(&self) {
        self.until.store(0, Ordering::Relaxed);
    }

    /// Returns whether commands may be given now.
    pub fn is_held(&self) -> bool {
        BootClock.now().0 < self.until.load(Ordering::Relaxed)
    }
}
