use {
    goldcreststall_core::ids::LocalTime,
    goldcreststall_entry::clock::BootClock,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Time until which this process may send commands as owner; shared by the election and the control actor.
#[derive(Clone, Debug, Default)]
pub struct OwnerLease {
    until: Arc<AtomicU64>,
}

impl OwnerLease {
    /// Extends the lease; an earlier end than the present one has no effect.
    pub fn extend(&self, until: LocalTime) {
        self.until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Ends the lease at once.
    pub fn end(&self) {
        self.until.store(0, Ordering::Relaxed);
    }

    /// Returns whether commands may be sent now.
    pub fn is_held(&self) -> bool {
        BootClock.now().0 < self.until.load(Ordering::Relaxed)
    }
}
