use crate::ids::LocalTime;

/// Time over which the use of an organisation is averaged, in milliseconds.
pub const USAGE_TIME_MS: f64 = 2_000.0;

/// Slot time that an organisation used lately, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct OrganisationUsage {
    at: LocalTime,
    used: f64,
}

impl OrganisationUsage {
    /// Adds slot time in milliseconds; a correction may be negative.
    pub fn add(&mut self, now: LocalTime, time: f64) {
        self.used = (self.slots_used(now) * USAGE_TIME_MS + time).max(0.0);
        self.at = now;
    }

    /// Returns the mean number of slots in use over the last [`USAGE_TIME_MS`].
    pub fn slots_used(&self, now: LocalTime) -> f64 {
        let elapsed = now.since(self.at).0 as f64;
        self.used * (-elapsed / USAGE_TIME_MS).exp() / USAGE_TIME_MS
    }
}
