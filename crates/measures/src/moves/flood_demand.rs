use crate::simulation::{Deployment, SeededRandom};

/// Shortest and longest flood.
const FLOOD_DURATION_SECONDS: (u64, u64) = (5, 15);
/// Number of queues that are flooded in turn. The need is five times the mean during a flood and a twentieth of it
/// otherwise, so the average over time is right if each queue is flooded a fifth of the time. Each pool has the queue of
/// its index; a flood of a queue without a pool adds no need.
const FLOODED_QUEUES: u64 = 5;
/// Need during a flood relative to the need without floods.
const FLOOD_FACTOR: f64 = 5.0;
/// Need between floods relative to the need without floods.
const QUIET_FACTOR: f64 = 0.05;
/// Mean need as a fraction of the hosts of a pool.
const MEAN_NEED_FRACTION: f64 = 0.6;
/// Need relative to the mean during a season; each pool has one season per run.
const SEASON_FACTOR: f64 = 2.0;
/// Earliest and latest start of a season.
const SEASON_START_SECONDS: (u64, u64) = (3_600, 18_000);
/// Shortest and longest season.
const SEASON_DURATION_SECONDS: (u64, u64) = (3_600, 7_200);

#[derive(Clone, Copy, Debug)]
struct PoolDemand {
    /// In hosts.
    mean: f64,
    /// Start and end, in seconds of the run.
    season: (u64, u64),
}

/// Demand in which the queues are flooded in turn for some seconds each, and each pool has one season of higher
/// sustained need.
#[derive(Debug)]
pub(super) struct FloodDemand {
    flooded_queue: u64,
    next_flood: u64,
    pools: Vec<PoolDemand>,
    random: SeededRandom,
}

impl FloodDemand {
    pub(super) fn new(deployment: &Deployment, seed: u64) -> Self {
        let mut random = SeededRandom::new(seed, 3);
        let pools = deployment.working().iter().map(|pool| {
            let start = random.between(SEASON_START_SECONDS);
            PoolDemand {
                mean: pool.hosts as f64 * MEAN_NEED_FRACTION,
                season: (start, start + random.between(SEASON_DURATION_SECONDS)),
            }
        });
        Self {
            flooded_queue: 0,
            next_flood: 0,
            pools: pools.collect(),
            random,
        }
    }

    /// Selects the queue that is flooded at `second`, which must not decrease between calls.
    pub(super) fn advance(&mut self, second: u64) {
        while second >= self.next_flood {
            self.flooded_queue = (self.flooded_queue + 1) % FLOODED_QUEUES;
            self.next_flood += self.random.between(FLOOD_DURATION_SECONDS);
        }
    }

    /// Returns the need of a pool at `second` with floods, in hosts.
    pub(super) fn current_need(&self, pool: usize, second: u64) -> f64 {
        let flooded = self.flooded_queue == pool as u64;
        let factor = if flooded { FLOOD_FACTOR } else { QUIET_FACTOR };
        self.sustained_need(pool, second) * factor
    }

    /// Returns the need of a pool at `second` without floods, in hosts.
    pub(super) fn sustained_need(&self, pool: usize, second: u64) -> f64 {
        let demand = &self.pools[pool];
        let season = (demand.season.0..demand.season.1).contains(&second);
        demand.mean * if season { SEASON_FACTOR } else { 1.0 }
    }
}
