use crate::ids::LocalTime;

/// Time constant of the average of an organisation's usage, in milliseconds.
pub const USAGE_TIME_CONSTANT_MS: f64 = 2_000.0;

/// Slot time that an organisation used, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrganisationUsage {
    updated: LocalTime,
    slot_time: f64,
}

impl OrganisationUsage {
    /// Adds slot time in milliseconds; it may be negative to correct an earlier value.
    pub fn add(&mut self, now: LocalTime, slot_time: f64) {
        self.slot_time = (self.slots_used(now) * USAGE_TIME_CONSTANT_MS + slot_time).max(0.0);
        self.updated = now;
    }

    /// Returns the mean number of slots in use, averaged with [`USAGE_TIME_CONSTANT_MS`].
    pub fn slots_used(&self, now: LocalTime) -> f64 {
        let elapsed = now.since(self.updated).0 as f64;
        self.slot_time * (-elapsed / USAGE_TIME_CONSTANT_MS).exp() / USAGE_TIME_CONSTANT_MS
    }
}
