use crate::simulation::{Deployment, VirtualRandom};

/// Shortest and longest flood in seconds.
const FLOOD_SECONDS: (u64, u64) = (5, 15);
/// Queues that are flooded in turn. With five times the mean in a flood and a twentieth in between, the
/// mean over time is right when each queue is flooded a fifth of the time.
const TURNS: u64 = 5;
const FLOOD_FACTOR: f64 = 5.0;
const QUIET_FACTOR: f64 = 0.05;
/// Mean need relative to the hosts of a pool.
const MEAN_SHARE: f64 = 0.6;
/// Need relative to the mean while a season lasts; each pool has one season in a run.
const SEASON_FACTOR: f64 = 2.0;
/// Start and duration of a season in seconds.
const SEASON_START: (u64, u64) = (3_600, 18_000);
const SEASON_SECONDS: (u64, u64) = (3_600, 7_200);

/// Need of one pool.
#[derive(Clone, Copy, Debug)]
struct PoolDemand {
    mean: f64,
    season: (u64, u64),
}

/// Demand in which each queue is flooded in turn for some seconds, and each pool has one season of lasting
/// need.
#[derive(Debug)]
pub(super) struct FloodDemand {
    flooded: u64,
    next_turn: u64,
    pools: Vec<PoolDemand>,
    random: VirtualRandom,
}

impl FloodDemand {
    pub(super) fn new(deployment: &Deployment, seed: u64) -> Self {
        let mut random = VirtualRandom::new(seed, 3);
        let pools = deployment.working().iter().map(|pool| {
            let start = random.between(SEASON_START);
            PoolDemand {
                mean: pool.hosts as f64 * MEAN_SHARE,
                season: (start, start + random.between(SEASON_SECONDS)),
            }
        });
        Self {
            flooded: 0,
            next_turn: 0,
            pools: pools.collect(),
            random,
        }
    }

    /// Lets the turn pass on; seconds must not decrease.
    pub(super) fn advance(&mut self, second: u64) {
        while second >= self.next_turn {
            self.flooded = (self.flooded + 1) % TURNS;
            self.next_turn += self.random.between(FLOOD_SECONDS);
        }
    }

    /// Returns the need of a pool now, in hosts.
    pub(super) fn present(&self, pool: usize, second: u64) -> f64 {
        let flooded = self.flooded == pool as u64;
        let factor = if flooded { FLOOD_FACTOR } else { QUIET_FACTOR };
        self.lasting(pool, second) * factor
    }

    /// Returns the need of a pool without floods, in hosts.
    pub(super) fn lasting(&self, pool: usize, second: u64) -> f64 {
        let demand = &self.pools[pool];
        let season = (demand.season.0..demand.season.1).contains(&second);
        demand.mean * if season { SEASON_FACTOR } else { 1.0 }
    }
}
