/// The targets of a service that can take a request now, as a dense list.
///
/// Adding, removing and drawing take constant time whatever the number of targets.
#[derive(Clone, Debug, Default)]
pub struct OpenTargets {
    list: Vec<u32>,
}

impl OpenTargets {
    /// Returns the number of open targets.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Adds a target and returns its place.
    pub fn add(&mut self, target: u32) -> u32 {
        self.list.push(target);
        self.list.len() as u32 - 1
    }

    /// Removes the target at a place and returns the target that takes over the place.
    pub fn remove(&mut self, place: u32) -> Option<u32> {
        self.list.swap_remove(place as usize);
        self.list.get(place as usize).copied()
    }

    /// Returns two targets drawn with the halves of `random`; they may be the same.
    pub fn draw(&self, random: u64) -> Option<(u32, u32)> {
        let count = self.list.len() as u64;
        if count == 0 {
            return None;
        }
        let first = ((random >> 32) * count) >> 32;
        let second = ((random & u64::from(u32::MAX)) * count) >> 32;
        Some((self.list[first as usize], self.list[second as usize]))
    }
}
