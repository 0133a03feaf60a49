use std::collections::VecDeque;

/// How a target handles more requests than it has slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OverloadBehaviour {
    /// The excess requests wait in order of arrival.
    #[default]
    Queue,
    /// All requests run at once, which slows each of them and wastes part of the target's time.
    Slow,
}

/// Fraction of a slot's time that a target wastes for each request beyond its slots.
const WASTE_FRACTION: f64 = 0.05;

/// A simulated target with a fixed number of slots, whatever it declares.
#[derive(Debug)]
pub struct FakeTarget {
    /// Whether every request fails immediately.
    pub failing: bool,
    busy: usize,
    on_overload: OverloadBehaviour,
    slots: usize,
    waiting: VecDeque<usize>,
}

impl FakeTarget {
    /// Creates an idle target.
    pub fn new(slots: usize, on_overload: OverloadBehaviour, failing: bool) -> Self {
        Self {
            busy: 0,
            on_overload,
            failing,
            slots,
            waiting: VecDeque::new(),
        }
    }

    /// Accepts an attempt and returns whether it starts at once; otherwise it waits for a slot.
    pub fn receive(&mut self, attempt: usize) -> bool {
        if self.busy < self.slots || self.on_overload == OverloadBehaviour::Slow {
            self.busy += 1;
            return true;
        }
        self.waiting.push_back(attempt);
        false
    }

    /// Returns how long a request takes if it starts now; both times are in microseconds.
    pub fn duration(&self, size: u64) -> u64 {
        let excess = self.busy.saturating_sub(self.slots) as f64;
        let sharing = (self.busy as f64 / self.slots as f64).max(1.0);
        (size as f64 * sharing * (1.0 + WASTE_FRACTION * excess)) as u64
    }

    /// Ends a running attempt and returns the waiting attempt that starts in its slot.
    pub fn end(&mut self) -> Option<usize> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }
}
