use goldcreststall_core::ids::{LocalTime, Millis};

/// Parts of the window that are counted separately. The count covers nine to ten of them, so that it is never higher than
/// that of the whole window.
const SLOTS: usize = 10;
const MILLIS_PER_SECOND: u64 = 1_000;

/// Counts the jobs of an organisation that were accepted within the window.
#[derive(Clone, Copy, Debug, Default)]
pub struct SubmissionRate {
    counts: [u32; SLOTS],
    newest: u64,
}

impl SubmissionRate {
    /// Returns whether one more job is within the rate of `weight` jobs a second over the window; one job always is.
    pub fn allows(&mut self, weight: u64, window: Millis, now: LocalTime) -> bool {
        self.advance(window, now);
        let count: u64 = self.counts.iter().map(|count| u64::from(*count)).sum();
        let limit = weight.saturating_mul(window.0) / MILLIS_PER_SECOND;
        count < limit.max(1)
    }

    /// Counts an accepted job.
    pub fn record(&mut self, window: Millis, now: LocalTime) {
        self.advance(window, now);
        let slot = &mut self.counts[self.newest as usize % SLOTS];
        *slot = slot.saturating_add(1);
    }

    fn advance(&mut self, window: Millis, now: LocalTime) {
        let newest = now.0 / (window.0 / SLOTS as u64).max(1);
        let passed = newest.saturating_sub(self.newest).min(SLOTS as u64);
        for slot in 0..passed {
            self.counts[(newest - slot) as usize % SLOTS] = 0;
        }
        self.newest = self.newest.max(newest);
    }
}
