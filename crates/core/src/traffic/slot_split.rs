/// Targets at which each entry host with demand has at least one slot when demand is uneven. A host
/// whose only target fails could otherwise send nothing.
const FLOOR_TARGETS: u32 = 3;

/// Demand of one entry host, in halves of the mean, from which on the others have a slot at the first targets
/// only. With less a floor everywhere costs little, and an entry host that uses every target learns
/// the limits of all.
const UNEVEN_HALVES: i64 = 4;

/// Splits the slots of a service's targets between entry hosts in proportion to their demand.
///
/// Demand counts in halves of the mean demand, and in at least one half. It is a largest-remainder split
/// with at least one slot for each entry host that has demand, where the slots allow it. When one
/// entry host has twice the mean demand or more, this holds at the first targets only, since the
/// floor at every target would take most slots from that entry host. What an entry host gets too little or too much at one target is carried to
/// the next, so that the same entry host does not lose the rounding at every target. All entry
/// hosts that hold the same digests and go through the targets in the same order get the same split.
#[derive(Clone, Debug)]
pub struct SlotSplit {
    /// Owed slots of each entry host, in units of one slot divided by the total demand.
    carry: Vec<i64>,
    /// Demand of each entry host in halves of the mean.
    demands: Vec<i64>,
    /// Targets left at which each entry host with demand has a slot.
    floors: u32,
    shares: Vec<u32>,
    total: i64,
}

impl SlotSplit {
    /// Starts a split; `demands` lists the entry hosts in an order that all of them agree on.
    pub fn new(demands: &[u32]) -> Self {
        let sum: u64 = demands.iter().map(|demand| u64::from(*demand)).sum();
        let asking = demands.iter().filter(|demand| **demand > 0).count() as u64;
        // Entry hosts with nearly equal demand would otherwise swap the remainders with every digest,
        // and hosts that hold different digests would both claim a slot or both leave it idle.
        let halves = |demand: u32| match u64::from(demand) {
            0 => 0,
            demand => ((4 * demand * asking + sum) / (2 * sum)).max(1) as i64,
        };
        let demands: Vec<i64> = demands.iter().map(|demand| halves(*demand)).collect();
        let most = demands.iter().copied().max().unwrap_or_default();
        Self {
            carry: vec![0; demands.len()],
            floors: if most >= UNEVEN_HALVES {
                FLOOR_TARGETS
            } else {
                u32::MAX
            },
            shares: vec![0; demands.len()],
            total: demands.iter().sum(),
            demands,
        }
    }

    /// Splits the slots of the next target; the result sums up to `slots` unless nobody has demand.
    pub fn next_target(&mut self, slots: u32) -> &[u32] {
        if self.total == 0 {
            return &self.shares;
        }
        let asking = self.demands.iter().filter(|demand| **demand > 0).count();
        let floor = u32::from(self.floors > 0 && asking as u64 <= u64::from(slots));
        self.floors -= floor;
        let mut left = i64::from(slots);
        for (index, demand) in self.demands.iter().enumerate() {
            self.carry[index] += i64::from(slots) * demand;
            let whole = self.carry[index].max(0) / self.total;
            let least = if *demand > 0 { floor } else { 0 };
            let share = u32::try_from(whole).unwrap_or(slots).max(least);
            self.shares[index] = share;
            self.carry[index] -= i64::from(share) * self.total;
            left -= i64::from(share);
        }
        while left > 0 {
            self.give();
            left -= 1;
        }
        while left < 0 && self.take(floor) {
            left += 1;
        }
        for carry in &mut self.carry {
            *carry = (*carry).clamp(-self.total, self.total);
        }
        &self.shares
    }

    fn give(&mut self) {
        let indices = (0..self.carry.len()).filter(|index| self.demands[*index] > 0);
        // The first of equal remainders wins, so that the result does not depend on the host.
        let best = indices.min_by_key(|index| (-self.carry[*index], *index));
        if let Some(best) = best {
            self.shares[best] += 1;
            self.carry[best] -= self.total;
        }
    }

    fn take(&mut self, floor: u32) -> bool {
        let indices = (0..self.carry.len()).filter(|index| self.shares[*index] > floor);
        let worst = indices.min_by_key(|index| (self.carry[*index], *index));
        if let Some(worst) = worst {
            self.shares[worst] -= 1;
            self.carry[worst] += self.total;
        }
        worst.is_some()
    }
}
