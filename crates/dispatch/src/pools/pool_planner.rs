use goldcreststall_core::ids::LocalTime;

/// Share of a pool's room that is planned as used, in percent. The rest takes the arrivals of the two seconds that
/// a host needs to move, and room comes in pieces that work does not fill.
const PLANNED_USE: u64 = 70;
/// Hosts that a pool keeps beyond its need when it gives some away.
const KEPT: usize = 2;

/// What a pool has and needs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PoolFigures {
    /// Name of the pool.
    pub name: String,
    /// Its hosts are off and are not paid for.
    pub spare: bool,
    /// Hosts that are in the pool or on their way to it.
    pub hosts: usize,
    /// Processor time that its work asks for, in thousandths of a core.
    pub demand_cpu: u64,
    /// Processor time of one host, in thousandths of a core.
    pub host_cpu: u32,
    /// Hosts that can move, with the time since when they are empty.
    pub movable: Vec<(LocalTime, String)>,
}

impl PoolFigures {
    fn needed(&self) -> usize {
        if self.spare {
            return 0;
        }
        let planned = u64::from(self.host_cpu.max(1)) * PLANNED_USE / 100;
        self.demand_cpu.div_ceil(planned.max(1)) as usize
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

/// A pool that can give hosts away.
struct GiverPool {
    place: usize,
    surplus: usize,
    movable: Vec<(LocalTime, String)>,
}

impl GiverPool {
    fn new(place: usize, pool: &PoolFigures) -> Self {
        let kept = if pool.spare { 0 } else { pool.needed() + KEPT };
        let mut movable = pool.movable.clone();
        movable.sort_unstable();
        Self {
            place,
            surplus: pool.hosts.saturating_sub(kept).min(movable.len()),
            movable,
        }
    }
}

/// Decides which hosts move now.
pub fn plan_moves(pools: &[PoolFigures]) -> Vec<HostMove> {
    let mut givers: Vec<GiverPool> = pools
        .iter()
        .enumerate()
        .map(|(place, pool)| GiverPool::new(place, pool))
        .collect();
    let mut moves = Vec::new();
    let mut short: Vec<(usize, usize)> = pools
        .iter()
        .enumerate()
        .map(|(place, pool)| (pool.needed().saturating_sub(pool.hosts), place))
        .filter(|(missing, _)| *missing > 0)
        .collect();
    short.sort_unstable_by(|left, right| right.cmp(left));
    for (missing, place) in short {
        for _ in 0..missing {
            let giver = givers
                .iter_mut()
                .filter(|giver| giver.place != place && giver.surplus > 0)
                .max_by_key(|giver| giver.surplus);
            let Some(giver) = giver else {
                return moves;
            };
            giver.surplus -= 1;
            let (_, host) = giver.movable.remove(0);
            moves.push(HostMove {
                host,
                pool: pools[place].name.clone(),
                why: format!(
                    "need={} have={} from={} its_need={} its_hosts={}",
                    pools[place].needed(),
                    pools[place].hosts,
                    pools[giver.place].name,
                    pools[giver.place].needed(),
                    pools[giver.place].hosts
                ),
            });
        }
    }
    moves
}
