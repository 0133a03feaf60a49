/// Number of targets at which each entry host with demand has at least one slot when demand is uneven.
/// An entry host with a single target could otherwise send nothing when this target fails.
const MIN_SLOT_TARGETS: u32 = 3;

/// Demand of one entry host, in halves of the mean, from which the others have a guaranteed slot at the first
/// targets only. Below it a minimum of one slot at every target costs little, and an entry host that uses every
/// target learns the limits of all.
const UNEVEN_DEMAND_HALVES: i64 = 4;

/// Divides the slots of a service's targets between entry hosts in proportion to their demand.
///
/// Demand is rounded to halves of the mean demand and is at least one half. The slots are divided by the
/// largest-remainder method, with at least one slot for each entry host that has demand where there are enough
/// slots. When one entry host has twice the mean demand or more, this minimum holds at the first targets only,
/// since at every target it would take most slots from that entry host. The rounding error of one target is
/// carried over to the next, so that the same entry host does not lose by rounding at every target. All entry
/// hosts that hold the same digests and process the targets in the same order get the same division.
#[derive(Clone, Debug)]
pub struct SlotDivision {
    /// Slots that each entry host is owed, in units of one slot divided by the total demand.
    remainders: Vec<i64>,
    /// Demand of each entry host in halves of the mean.
    demands: Vec<i64>,
    /// Number of remaining targets at which each entry host with demand has at least one slot.
    min_slot_targets: u32,
    shares: Vec<u32>,
    total_demand: i64,
}

impl SlotDivision {
    /// Starts a division. `demands` has to list the entry hosts in an order that all of them agree on.
    pub fn new(demands: &[u32]) -> Self {
        let sum: u64 = demands.iter().map(|demand| u64::from(*demand)).sum();
        let with_demand = demands.iter().filter(|demand| **demand > 0).count() as u64;
        // Without rounding, entry hosts with nearly equal demand would swap the remainders with every digest, and
        // entry hosts that hold different digests would both claim a slot or both leave it idle.
        let halves = |demand: u32| match u64::from(demand) {
            0 => 0,
            demand => ((4 * demand * with_demand + sum) / (2 * sum)).max(1) as i64,
        };
        let demands: Vec<i64> = demands.iter().map(|demand| halves(*demand)).collect();
        let max_demand = demands.iter().copied().max().unwrap_or_default();
        Self {
            remainders: vec![0; demands.len()],
            min_slot_targets: if max_demand >= UNEVEN_DEMAND_HALVES {
                MIN_SLOT_TARGETS
            } else {
                u32::MAX
            },
            shares: vec![0; demands.len()],
            total_demand: demands.iter().sum(),
            demands,
        }
    }

    /// Divides the slots of the next target. The shares sum up to `slots` unless no entry host has demand.
    pub fn next_target(&mut self, slots: u32) -> &[u32] {
        if self.total_demand == 0 {
            return &self.shares;
        }
        let with_demand = self.demands.iter().filter(|demand| **demand > 0).count();
        let min_slots =
            u32::from(self.min_slot_targets > 0 && with_demand as u64 <= u64::from(slots));
        self.min_slot_targets -= min_slots;
        let mut unassigned = i64::from(slots);
        for (index, demand) in self.demands.iter().enumerate() {
            self.remainders[index] += i64::from(slots) * demand;
            let quotient = self.remainders[index].max(0) / self.total_demand;
            let min_share = if *demand > 0 { min_slots } else { 0 };
            let share = u32::try_from(quotient).unwrap_or(slots).max(min_share);
            self.shares[index] = share;
            self.remainders[index] -= i64::from(share) * self.total_demand;
            unassigned -= i64::from(share);
        }
        while unassigned > 0 {
            self.add_slot();
            unassigned -= 1;
        }
        while unassigned < 0 && self.remove_slot(min_slots) {
            unassigned += 1;
        }
        for remainder in &mut self.remainders {
            *remainder = (*remainder).clamp(-self.total_demand, self.total_demand);
        }
        &self.shares
    }

    fn add_slot(&mut self) {
        let indexes = (0..self.remainders.len()).filter(|index| self.demands[*index] > 0);
        // The first of equal remainders wins, so that the result is the same on every entry host.
        let largest = indexes.min_by_key(|index| (-self.remainders[*index], *index));
        if let Some(largest) = largest {
            self.shares[largest] += 1;
            self.remainders[largest] -= self.total_demand;
        }
    }

    fn remove_slot(&mut self, min_slots: u32) -> bool {
        let indexes = (0..self.remainders.len()).filter(|index| self.shares[*index] > min_slots);
        let smallest = indexes.min_by_key(|index| (self.remainders[*index], *index));
        if let Some(smallest) = smallest {
            self.shares[smallest] -= 1;
            self.remainders[smallest] += self.total_demand;
        }
        smallest.is_some()
    }
}
