use std::collections::VecDeque;

/// A target that runs a fixed number of requests at once and queues the others in order of arrival.
#[derive(Debug, Default)]
pub struct FakeTarget {
    /// Whether every request fails at once.
    pub failing: bool,
    /// Requests that run at the same time, whatever the target declares.
    pub slots: usize,
    busy: usize,
    waiting: VecDeque<usize>,
}

impl FakeTarget {
    /// Returns an idle target.
    pub fn new(slots: usize, failing: bool) -> Self {
        Self {
            failing,
            slots,
            ..Self::default()
        }
    }

    /// Takes an attempt; true when it starts at once.
    pub fn receive(&mut self, attempt: usize) -> bool {
        if self.busy < self.slots {
            self.busy += 1;
            return true;
        }
        self.waiting.push_back(attempt);
        false
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
