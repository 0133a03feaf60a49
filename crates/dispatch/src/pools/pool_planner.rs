use {super::JobDemand, crate::runners::Capacity, goldcreststall_core::ids::LocalTime};

/// Share of a pool's capacity that is planned as used, in percent. The rest serves the arrivals during the two seconds
/// that a host takes to move, and covers fragmentation: work does not fill hosts completely.
const PLANNED_USE_PERCENT: u64 = 70;
/// Minimum number of hosts of a pool, for the first seconds of its next period of demand.
const MIN_POOL_HOSTS: usize = 4;
/// Most hosts that a pool can need. More than any fleet has, and little enough that sums over pools and products with
/// the number of hosts cannot overflow, whatever processor time a job asks for.
const MAX_POOL_HOSTS: u64 = 1_000_000;

/// Number of hosts kept beyond those that long-running work must be spread over: a work item must be restarted on a
/// host without another one of its step, also while hosts are away for maintenance.
const SPREAD_MARGIN: usize = 2;

/// Hosts and demand of a pool.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolStats {
    /// Name of the pool.
    pub name: String,
    /// Hosts of this pool are switched off and not paid for.
    pub spare: bool,
    /// Number of usable hosts that are in the pool or moving to it.
    pub hosts: usize,
    /// Processor time demanded by work that can be in time, in thousandths of a core.
    pub demand_cpu: u64,
    /// Processor time demanded by late work, in thousandths of a core.
    pub late_cpu: u64,
    /// Capacity of one host.
    pub host_capacity: Capacity,
    /// Number of hosts that long-running work must be spread over.
    pub spread: usize,
    /// Number of hosts that accept work, and of those that long-running work waits for beyond them; the second is 0 when
    /// none waits.
    pub serving: (usize, usize),
    /// Number of hosts in the pool, without those that are on their way to it, and of those that waves need beyond them; the
    /// second is 0 when they need none.
    pub waves: (usize, usize),
    /// Hosts that can move, with the time since which they have been empty.
    pub movable: Vec<(LocalTime, String)>,
    /// Hosts whose work ends by itself, with the processor time in use.
    pub busy: Vec<(u32, String)>,
}

impl PoolStats {
    /// Adds the demand of a job, whose long-running work must be spread over `spread` hosts.
    pub fn add_demand(&mut self, demand: &JobDemand, spread: usize) {
        self.spread = self.spread.max(spread);
        self.demand_cpu = self.demand_cpu.saturating_add(demand.in_time);
        self.late_cpu = self.late_cpu.saturating_add(demand.late);
    }

    fn hosts_for(&self, cpu: u64) -> usize {
        let planned = u64::from(self.host_capacity.cpu.max(1)) * PLANNED_USE_PERCENT / 100;
        cpu.div_ceil(planned.max(1)).min(MAX_POOL_HOSTS) as usize
    }

    /// Returns the number of hosts that the pool needs for work that can be in time, and for waves.
    fn needed(&self) -> usize {
        let waves = match self.waves {
            (_, 0) => 0,
            (present, missing) => present + missing,
        };
        self.needed_for_work().max(waves)
    }

    /// Returns the number of hosts that the pool needs for work that can be in time.
    pub fn needed_for_work(&self) -> usize {
        if self.spare {
            return 0;
        }
        let spread = if self.spread > 0 {
            self.spread + SPREAD_MARGIN
        } else {
            0
        };
        // Long-running work may find no host for lack of memory, or because hosts are due for maintenance, however low
        // the demand for processor time is.
        let serving = match self.serving {
            (_, 0) => 0,
            (accepting, missing) => accepting + missing,
        };
        self.hosts_for(self.demand_cpu)
            .max(MIN_POOL_HOSTS)
            .max(spread)
            .max(serving)
    }

    /// Returns the number of additional hosts that late work would use.
    fn late_demand_hosts(&self) -> usize {
        if self.spare {
            return 0;
        }
        self.hosts_for(self.demand_cpu.saturating_add(self.late_cpu))
            .saturating_sub(self.needed())
    }
}

/// A host that should change its pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostMove {
    /// The host.
    pub host: String,
    /// Its new pool.
    pub pool: String,
    /// The numbers behind the decision, for the log.
    pub reason: String,
}

/// Moves and drains of hosts that should start now.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolPlan {
    /// Hosts that move.
    pub moves: Vec<HostMove>,
    /// Hosts that should get no new work, so that they can move once they are empty.
    pub drains: Vec<String>,
    /// Number of hosts that each pool should have, in the order of the given pools.
    pub targets: Vec<usize>,
}

/// Decides which hosts move now and which are drained for a move.
///
/// Every pool gets the hosts that it needs for work that can be in time. When there are too few, each pool gets the
/// same fraction of its need beyond the minimum: otherwise the pool whose flood came first would keep its hosts for
/// late work while the next pool's work becomes late for lack of hosts.
pub fn plan_pools(pools: &[PoolStats]) -> PoolPlan {
    let targets = targets(pools);
    let mut plan = PoolPlan {
        targets: targets.clone(),
        ..PoolPlan::default()
    };
    let mut donors: Vec<DonorPool> = pools
        .iter()
        .zip(&targets)
        .map(|(pool, target)| DonorPool::new(pool, *target))
        .collect();
    let mut shortfalls: Vec<(usize, usize)> = pools
        .iter()
        .zip(&targets)
        .enumerate()
        .filter(|(_, (pool, _))| !pool.spare)
        .map(|(index, (pool, target))| (target.saturating_sub(pool.hosts), index))
        .filter(|(shortfall, _)| *shortfall > 0)
        .collect();
    shortfalls.sort_unstable_by(|left, right| right.cmp(left));
    for (shortfall, index) in shortfalls {
        for _ in 0..shortfall {
            let Some((donor, donated)) = next_host(&mut donors) else {
                return plan;
            };
            match donated {
                DonatedHost::Empty(host) => plan.moves.push(HostMove {
                    host,
                    pool: pools[index].name.clone(),
                    reason: format!(
                        "target={} have={} from={} its_target={} its_hosts={}",
                        targets[index],
                        pools[index].hosts,
                        pools[donor].name,
                        targets[donor],
                        pools[donor].hosts
                    ),
                }),
                DonatedHost::Busy(host) => plan.drains.push(host),
            }
        }
    }
    plan
}

/// Returns the number of hosts that each pool should have.
fn targets(pools: &[PoolStats]) -> Vec<usize> {
    let total: usize = pools.iter().map(|pool| pool.hosts).sum();
    let needed: usize = pools.iter().map(PoolStats::needed).sum();
    if needed > total {
        return reduced_targets(pools, total);
    }
    let late: usize = pools.iter().map(PoolStats::late_demand_hosts).sum();
    let remaining = total - needed;
    let extra = |pool: &PoolStats| match late {
        0 => 0,
        late => pool.late_demand_hosts() * remaining.min(late) / late,
    };
    pools
        .iter()
        .map(|pool| pool.needed() + extra(pool))
        .collect()
}

/// Returns the number of hosts for each pool when there are fewer hosts than needed.
fn reduced_targets(pools: &[PoolStats], total: usize) -> Vec<usize> {
    let minimum = |pool: &PoolStats| {
        if pool.spare {
            return 0;
        }
        MIN_POOL_HOSTS.max(pool.spread).min(pool.needed())
    };
    let minimums: usize = pools.iter().map(minimum).sum();
    let remaining = total.saturating_sub(minimums);
    let above_minimum = |pool: &PoolStats| pool.needed() - minimum(pool);
    let total_above: usize = pools.iter().map(above_minimum).sum();
    pools
        .iter()
        .map(|pool| minimum(pool) + above_minimum(pool) * remaining / total_above.max(1))
        .collect()
}

/// A pool that can give up hosts.
struct DonorPool {
    surplus: usize,
    movable: Vec<(LocalTime, String)>,
    busy: Vec<(u32, String)>,
}

enum DonatedHost {
    Empty(String),
    Busy(String),
}

impl DonorPool {
    fn new(pool: &PoolStats, target: usize) -> Self {
        let mut movable = pool.movable.clone();
        movable.sort_unstable_by(|left, right| right.cmp(left));
        let mut busy = pool.busy.clone();
        busy.sort_unstable_by(|left, right| right.cmp(left));
        Self {
            surplus: pool.hosts.saturating_sub(target),
            movable,
            busy,
        }
    }

    fn rank(&self) -> (bool, usize) {
        (!self.movable.is_empty(), self.surplus)
    }

    /// Removes and returns the host that has been empty longest, or else the one with the least work.
    fn take(&mut self) -> Option<DonatedHost> {
        self.surplus = self.surplus.checked_sub(1)?;
        if let Some((_, host)) = self.movable.pop() {
            return Some(DonatedHost::Empty(host));
        }
        let (_, host) = self.busy.pop()?;
        Some(DonatedHost::Busy(host))
    }
}

/// Takes a host from a pool that has an empty one, or else from any; of several pools from the one with the largest
/// surplus.
fn next_host(donors: &mut [DonorPool]) -> Option<(usize, DonatedHost)> {
    let can_give = |donor: &DonorPool| {
        donor.surplus > 0 && (!donor.movable.is_empty() || !donor.busy.is_empty())
    };
    let (index, donor) = donors
        .iter_mut()
        .enumerate()
        .filter(|(_, donor)| can_give(donor))
        .max_by_key(|(_, donor)| donor.rank())?;
    Some((index, donor.take()?))
}
