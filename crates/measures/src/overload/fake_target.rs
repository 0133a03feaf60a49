use std::collections::VecDeque;

/// What a target does with more requests than it has slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Excess {
    /// The target queues them in order of arrival.
    #[default]
    Queue,
    /// The target runs them all, which makes each one slower and wastes a part of its time.
    Slow,
}

/// Part of a slot's time that a target wastes for each request beyond its slots.
const WASTE: f64 = 0.05;

/// A target that runs a fixed number of requests at once, whatever it declares.
#[derive(Debug)]
pub struct FakeTarget {
    /// Whether every request fails at once.
    pub failing: bool,
    busy: usize,
    excess: Excess,
    slots: usize,
    waiting: VecDeque<usize>,
}

impl FakeTarget {
    /// Returns an idle target.
    pub fn new(slots: usize, excess: Excess, failing: bool) -> Self {
        Self {
            busy: 0,
            excess,
            failing,
            slots,
            waiting: VecDeque::new(),
        }
    }

    /// Takes an attempt; true when it starts at once.
    pub fn receive(&mut self, attempt: usize) -> bool {
        if self.busy < self.slots || self.excess == Excess::Slow {
            self.busy += 1;
            return true;
        }
        self.waiting.push_back(attempt);
        false
    }

    /// Returns the time that a request of a size takes when it starts now, in microseconds.
    pub fn duration(&self, size: u64) -> u64 {
        let excess = self.busy.saturating_sub(self.slots) as f64;
        let sharing = (self.busy as f64 / self.slots as f64).max(1.0);
        (size as f64 * sharing * (1.0 + WASTE * excess)) as u64
    }

    /// Ends a running attempt and returns the one that starts in its place.
    pub fn end(&mut self) -> Option<usize> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }
}
