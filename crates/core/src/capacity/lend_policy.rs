use crate::{
    collections::SortedMap,
    ids::{LogTime, Millis, PoolName},
};

/// Limits of lending.
#[derive(Clone, Debug, PartialEq)]
pub struct LendSettings {
    /// Most moves that start within an hour, those of operators included.
    pub max_moves_per_hour: usize,
    /// Time for which a moved host does no work.
    pub move_time: Millis,
    /// How long a pool must need one host less before a host is given back.
    pub return_after: Millis,
    /// Hosts that a pool must have beyond its need, besides the one that is given back.
    pub return_margin: f64,
    /// Time constant of the smoothed need. It has to be long against a flood.
    pub smoothing: Millis,
    /// The pool that lends hosts.
    pub spare: PoolName,
}

impl LendSettings {
    /// Returns the settings for floods that last some seconds.
    pub fn new(spare: PoolName) -> Self {
        Self {
            max_moves_per_hour: 6,
            move_time: Millis(60 * 1000),
            return_after: Millis(20 * 60 * 1000),
            return_margin: 0.5,
            smoothing: Millis(5 * 60 * 1000),
            spare,
        }
    }
}

/// The hosts that the present demand of a pool would keep busy.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolNeed {
    /// Number of hosts.
    pub hosts: f64,
    /// The pool.
    pub pool: PoolName,
}

/// What is known of the need of one pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct NeedTrend {
    /// Smoothed need in hosts.
    pub(super) hosts: f64,
    /// Time of the last observation.
    pub(super) observed: LogTime,
    /// Host-milliseconds that were missing since the need last was below the capacity.
    pub(super) missing: f64,
    /// Since when a host could be given back.
    pub(super) excess_since: Option<LogTime>,
}

/// Observes the need of pools and decides which hosts to lend and to give back.
///
/// The smoothed need filters floods. A host is lent when the work that was missed since the pool became
/// short exceeds the work that a move costs: a need that has lasted so long is expected to go on as long.
#[derive(Clone, Debug, PartialEq)]
pub struct LendPolicy {
    pub(super) settings: LendSettings,
    pub(super) trends: SortedMap<PoolName, NeedTrend>,
}

impl LendPolicy {
    /// Creates a policy that has observed nothing.
    pub fn new(settings: LendSettings) -> Self {
        Self {
            settings,
            trends: SortedMap::default(),
        }
    }

    /// Returns the smoothed need of a pool in hosts.
    pub fn smoothed(&self, pool: &PoolName) -> Option<f64> {
        self.trends.get(pool).map(|trend| trend.hosts)
    }

    /// Takes note of the need of a pool that has `capacity` available or arriving hosts.
    pub fn observe(&mut self, now: LogTime, need: &PoolNeed, capacity: usize) {
        let settings = &self.settings;
        let known = self.trends.get(&need.pool).copied();
        let mut trend = known.unwrap_or(NeedTrend {
            // A new duty holder must not act on one sample, which may be a flood.
            hosts: need.hosts.min(capacity as f64),
            observed: now,
            missing: 0.0,
            excess_since: None,
        });
        let elapsed = now.since(trend.observed).0 as f64;
        let weight = 1.0 - (-elapsed / settings.smoothing.0 as f64).exp();
        trend.hosts += weight * (need.hosts - trend.hosts);
        trend.observed = now;
        let short = trend.hosts - capacity as f64;
        trend.missing = if short > 0.0 {
            trend.missing + short * elapsed
        } else {
            0.0
        };
        let excess = -short >= 1.0 + settings.return_margin;
        trend.excess_since = excess.then(|| trend.excess_since.unwrap_or(now));
        self.trends.insert(need.pool.clone(), trend);
    }
}
