/// Indexes of the targets of a service that can take a request now, as a dense list.
///
/// Adding, removing and picking take constant time regardless of the number of targets.
#[derive(Clone, Debug, Default)]
pub struct OpenTargets {
    indexes: Vec<u32>,
}

impl OpenTargets {
    /// Returns the number of open targets.
    pub fn len(&self) -> usize {
        self.indexes.len()
    }

    /// Adds a target and returns its position in the list.
    pub fn add(&mut self, target: u32) -> u32 {
        self.indexes.push(target);
        self.indexes.len() as u32 - 1
    }

    /// Removes the target at a position and returns the target that moved to this position, if any.
    pub fn remove(&mut self, position: u32) -> Option<u32> {
        self.indexes.swap_remove(position as usize);
        self.indexes.get(position as usize).copied()
    }

    /// Picks two targets, one by each half of `random`; they may be the same.
    pub fn pick_two(&self, random: u64) -> Option<(u32, u32)> {
        let count = self.indexes.len() as u64;
        if count == 0 {
            return None;
        }
        let first = ((random >> 32) * count) >> 32;
        let second = ((random & u64::from(u32::MAX)) * count) >> 32;
        Some((self.indexes[first as usize], self.indexes[second as usize]))
    }
}
