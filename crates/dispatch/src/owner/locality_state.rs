use {
    crate::{jobs::ItemKey, locality::DurationTable},
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Maximum number of work items that wait for capacity near their data; further ones do not wait. It bounds the memory, and
/// the time of a pass.
const MAX_WAITS: usize = 8_192;

/// Number of waits for capacity near data, by their result.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaitCounts {
    /// Waits that began.
    pub begun: u64,
    /// Waits that ended with a start near the data.
    pub paid: u64,
    /// Waits that ended with a start far from the data.
    pub unpaid: u64,
    /// Waits whose job ended before, was cancelled or lost its steps.
    pub dropped: u64,
}

/// A work item, or the first member of a gang, that has waited for capacity near its data.
#[derive(Clone, Copy, Debug)]
pub(super) struct RackWait {
    pub(super) key: ItemKey,
    pub(super) since: LocalTime,
    pub(super) bound: Millis,
}

/// What the owner has learned about durations, and the work that waits for its data rack.
#[derive(Debug)]
pub(super) struct LocalityState {
    /// Duration of work far from its data, in percent of its duration near them.
    pub(super) far_percent: u32,
    pub(super) durations: DurationTable,
    /// Sorted by key. An entry stays until the work item starts, so that a wait that was too long is not begun again.
    pub(super) waits: Vec<RackWait>,
    pub(super) counts: WaitCounts,
}

impl Default for LocalityState {
    fn default() -> Self {
        Self {
            far_percent: 100,
            durations: DurationTable::default(),
            waits: Vec::new(),
            counts: WaitCounts::default(),
        }
    }
}

impl LocalityState {
    /// Returns whether any work is faster near its data.
    pub(super) fn is_effective(&self) -> bool {
        self.far_percent > 100
    }

    pub(super) fn wait(&self, key: ItemKey) -> Option<RackWait> {
        let index = self.index_of(key).ok()?;
        Some(self.waits[index])
    }

    /// Records that a wait begins; returns false if there are too many.
    pub(super) fn begin_wait(&mut self, wait: RackWait) -> bool {
        let Err(index) = self.index_of(wait.key) else {
            return true;
        };
        if self.waits.len() >= MAX_WAITS {
            return false;
        }
        self.waits.insert(index, wait);
        self.counts.begun += 1;
        true
    }

    pub(super) fn end_wait(&mut self, key: ItemKey) -> Option<RackWait> {
        let index = self.index_of(key).ok()?;
        Some(self.waits.remove(index))
    }

    fn index_of(&self, key: ItemKey) -> Result<usize, usize> {
        self.waits.binary_search_by_key(&key, |wait| wait.key)
    }
}
