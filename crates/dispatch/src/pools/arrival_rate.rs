use {
    goldcreststall_core::ids::{LocalTime, Millis},
    std::collections::VecDeque,
};

/// Time window over which arrivals are summed. It must be shorter than the running time of the jobs: the demand of the
/// accepted jobs keeps rising for as long as a job runs, and therefore shows a flood later than the arrivals do.
const WINDOW: Millis = Millis(800);

/// Rate at which work arrives for each pool.
#[derive(Clone, Debug, Default)]
pub struct ArrivalRate {
    pools: Vec<(String, VecDeque<(LocalTime, u64)>)>,
}

impl ArrivalRate {
    /// Records the arrival of a job; `work` is in thousandths of a core times milliseconds.
    pub fn record_arrival(&mut self, pool: &str, work: u64, now: LocalTime) {
        let index = self
            .pools
            .binary_search_by(|(name, _)| name.as_str().cmp(pool));
        let index = index.unwrap_or_else(|index| {
            self.pools.insert(index, (pool.to_owned(), VecDeque::new()));
            index
        });
        self.pools[index].1.push_back((now, work));
    }

    /// Returns the processor time that is kept in use by arrivals at the rate of the last window, in thousandths of a
    /// core.
    pub fn demand_cpu(&mut self, pool: &str, now: LocalTime) -> u64 {
        let index = self
            .pools
            .binary_search_by(|(name, _)| name.as_str().cmp(pool));
        let Ok(index) = index else {
            return 0;
        };
        let arrivals = &mut self.pools[index].1;
        while arrivals
            .front()
            .is_some_and(|(at, _)| now.since(*at) > WINDOW)
        {
            arrivals.pop_front();
        }
        let work = arrivals
            .iter()
            .fold(0_u64, |sum, (_, work)| sum.saturating_add(*work));
        work / WINDOW.0
    }
}
