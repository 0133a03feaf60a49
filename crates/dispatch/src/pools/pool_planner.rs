use goldcreststall_core::ids::LocalTime;

/// Share of a pool's room that is planned as used, in percent. The rest takes the arrivals of the two seconds that a
/// host needs to move, and room comes in pieces that work does not fill.
const PLANNED_USE: u64 = 70;
/// Hosts that a pool keeps in any case, for the first seconds of its next turn of demand.
const FLOOR: usize = 4;

/// Hosts kept beyond those over which lasting work must be spread: a work item of it is restarted on a host without
/// another one of its step, also while hosts are away for maintenance.
const SPREAD_RESERVE: usize = 2;

/// What a pool has and needs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolStats {
    /// Name of the pool.
    pub name: String,
    /// Its hosts are off and are not paid for.
    pub spare: bool,
    /// Hosts that are in the pool or on their way to it.
    pub hosts: usize,
    /// Processor time that work which can be in time asks for, in thousandths of a core.
    pub demand_cpu: u64,
    /// Processor time that late work asks for, in thousandths of a core.
    pub late_cpu: u64,
    /// Processor time of one host, in thousandths of a core.
    pub host_cpu: u32,
    /// Hosts over which lasting work must be spread.
    pub spread: usize,
    /// Hosts that can move, with the time since when they are empty.
    pub movable: Vec<(LocalTime, String)>,
    /// Hosts whose work will end by itself, with the processor time in use.
    pub busy: Vec<(u32, String)>,
}

impl PoolStats {
    fn hosts_for(&self, cpu: u64) -> usize {
        let planned = u64::from(self.host_cpu.max(1)) * PLANNED_USE / 100;
        cpu.div_ceil(planned.max(1)) as usize
    }

    /// Returns the hosts that the pool needs for work that can be in time.
    fn needed(&self) -> usize {
        if self.spare {
            return 0;
        }
        let spread = if self.spread > 0 {
            self.spread + SPREAD_RESERVE
        } else {
            0
        };
        self.hosts_for(self.demand_cpu).max(FLOOR).max(spread)
    }

    /// Returns the hosts that late work would use besides.
    fn wanted_late(&self) -> usize {
        if self.spare {
            return 0;
        }
        self.hosts_for(self.demand_cpu + self.late_cpu)
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
    /// The figures that decided it.
    pub why: String,
}

/// What should be done with the hosts now.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolPlan {
    /// Hosts that move.
    pub moves: Vec<HostMove>,
    /// Hosts that take no new work, so that they can move when they are empty.
    pub drains: Vec<String>,
    /// Hosts that each pool should have, in the order of the figures.
    pub targets: Vec<usize>,
}

/// Decides which hosts move now and which are emptied for a move.
///
/// Every pool gets what its work in time needs. When that is more than there is, the pools get equal shares of their
/// needs beyond the floor: otherwise the pool whose flood came first keeps its hosts for late work while the next
/// pool's work becomes late for want of them.
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
    let mut short: Vec<(usize, usize)> = pools
        .iter()
        .zip(&targets)
        .enumerate()
        .filter(|(_, (pool, _))| !pool.spare)
        .map(|(place, (pool, target))| (target.saturating_sub(pool.hosts), place))
        .filter(|(missing, _)| *missing > 0)
        .collect();
    short.sort_unstable_by(|left, right| right.cmp(left));
    for (missing, place) in short {
        for _ in 0..missing {
            let Some((giver, given)) = next_host(&mut donors) else {
                return plan;
            };
            match given {
                DonatedHost::Empty(host) => plan.moves.push(HostMove {
                    host,
                    pool: pools[place].name.clone(),
                    why: format!(
                        "target={} have={} from={} its_target={} its_hosts={}",
                        targets[place],
                        pools[place].hosts,
                        pools[giver].name,
                        targets[giver],
                        pools[giver].hosts
                    ),
                }),
                DonatedHost::Busy(host) => plan.drains.push(host),
            }
        }
    }
    plan
}

/// Returns how many hosts each pool should have.
fn targets(pools: &[PoolStats]) -> Vec<usize> {
    let total: usize = pools.iter().map(|pool| pool.hosts).sum();
    let needed: usize = pools.iter().map(PoolStats::needed).sum();
    if needed > total {
        return shares(pools, total);
    }
    let late: usize = pools.iter().map(PoolStats::wanted_late).sum();
    let left = total - needed;
    let extra = |pool: &PoolStats| match late {
        0 => 0,
        late => pool.wanted_late() * left.min(late) / late,
    };
    pools
        .iter()
        .map(|pool| pool.needed() + extra(pool))
        .collect()
}

/// Shares the hosts when there are fewer than needed.
fn shares(pools: &[PoolStats], total: usize) -> Vec<usize> {
    let floor = |pool: &PoolStats| {
        if pool.spare {
            return 0;
        }
        FLOOR.max(pool.spread).min(pool.needed())
    };
    let floors: usize = pools.iter().map(floor).sum();
    let left = total.saturating_sub(floors);
    let beyond = |pool: &PoolStats| pool.needed() - floor(pool);
    let all: usize = pools.iter().map(beyond).sum();
    pools
        .iter()
        .map(|pool| floor(pool) + beyond(pool) * left / all.max(1))
        .collect()
}

/// A pool that can give hosts away.
struct DonorPool {
    surplus: usize,
    movable: Vec<(LocalTime, String)>,
    busy: Vec<(u32, String)>,
}

/// A host that a pool gives away.
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

    /// Takes the host that has been empty longest, else the one with the least work.
    fn take(&mut self) -> Option<DonatedHost> {
        self.surplus = self.surplus.checked_sub(1)?;
        if let Some((_, host)) = self.movable.pop() {
            return Some(DonatedHost::Empty(host));
        }
        let (_, host) = self.busy.pop()?;
        Some(DonatedHost::Busy(host))
    }
}

/// Takes a host from the pool with the most to spare, empty hosts first.
fn next_host(donors: &mut [DonorPool]) -> Option<(usize, DonatedHost)> {
    let can_give = |giver: &DonorPool| {
        giver.surplus > 0 && (!giver.movable.is_empty() || !giver.busy.is_empty())
    };
    let (place, giver) = donors
        .iter_mut()
        .enumerate()
        .filter(|(_, giver)| can_give(giver))
        .max_by_key(|(_, giver)| giver.rank())?;
    Some((place, giver.take()?))
}
