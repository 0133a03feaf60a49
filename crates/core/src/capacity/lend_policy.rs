use crate::{
    collections::SortedMap,
    ids::{LogTime, Millis, PoolName},
};

/// Settings of lending.
#[derive(Clone, Debug, PartialEq)]
pub struct LendSettings {
    /// Maximum number of moves that start within an hour, including those of operators.
    pub max_moves_per_hour: usize,
    /// Time for which a host that is moved does no work.
    pub move_duration: Millis,
    /// How long a pool must need one host less before it returns a host.
    pub return_delay: Millis,
    /// Number of hosts that a pool must have beyond its need, in addition to the one that it returns.
    pub return_margin: f64,
    /// Time constant of the smoothed need. It has to be long compared with a flood.
    pub smoothing_time: Millis,
    /// The pool that lends hosts.
    pub spare: PoolName,
}

impl LendSettings {
    /// Creates the settings for floods that last some seconds.
    pub fn new(spare: PoolName) -> Self {
        Self {
            max_moves_per_hour: 6,
            move_duration: Millis(60 * 1000),
            return_delay: Millis(20 * 60 * 1000),
            return_margin: 0.5,
            smoothing_time: Millis(5 * 60 * 1000),
            spare,
        }
    }
}

/// Number of hosts that the current demand of a pool would keep busy.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolNeed {
    /// Number of hosts.
    pub hosts: f64,
    /// Name of the pool.
    pub pool: PoolName,
}

/// Trend of the need of one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct NeedTrend {
    /// Smoothed need in hosts.
    pub(super) hosts: f64,
    /// Time of the last observation.
    pub(super) observed: LogTime,
    /// Missing capacity in host-milliseconds, summed up since the need last was at or below the capacity.
    pub(super) shortfall: f64,
    /// Time since which the pool could return a host.
    pub(super) surplus_since: Option<LogTime>,
}

/// Observes the need of pools and decides which hosts to lend and to return.
///
/// The smoothed need filters out floods. A host is lent when the work that the pool could not do since it became
/// short of hosts exceeds the work that a move costs: a need that has lasted so long is expected to continue as
/// long.
#[derive(Clone, Debug, PartialEq)]
pub struct LendPolicy {
    pub(super) settings: LendSettings,
    pub(super) trends: SortedMap<PoolName, NeedTrend>,
}

impl LendPolicy {
    /// Creates a policy without observations.
    pub fn new(settings: LendSettings) -> Self {
        Self {
            settings,
            trends: SortedMap::default(),
        }
    }

    /// Returns the smoothed need of a pool in hosts.
    pub fn smoothed_need(&self, pool: &PoolName) -> Option<f64> {
        self.trends.get(pool).map(|trend| trend.hosts)
    }

    /// Records the need of a pool that has `capacity` available or arriving hosts.
    pub fn observe(&mut self, now: LogTime, need: &PoolNeed, capacity: usize) {
        let settings = &self.settings;
        let existing = self.trends.get(&need.pool).copied();
        let mut trend = existing.unwrap_or(NeedTrend {
            // A new duty holder must not act on a single sample, which may be part of a flood.
            hosts: need.hosts.min(capacity as f64),
            observed: now,
            shortfall: 0.0,
            surplus_since: None,
        });
        let elapsed = now.since(trend.observed).0 as f64;
        let weight = 1.0 - (-elapsed / settings.smoothing_time.0 as f64).exp();
        trend.hosts += weight * (need.hosts - trend.hosts);
        trend.observed = now;
        let deficit = trend.hosts - capacity as f64;
        trend.shortfall = if deficit > 0.0 {
            trend.shortfall + deficit * elapsed
        } else {
            0.0
        };
        let has_surplus = -deficit >= 1.0 + settings.return_margin;
        trend.surplus_since = has_surplus.then(|| trend.surplus_since.unwrap_or(now));
        self.trends.insert(need.pool.clone(), trend);
    }
}
