use {
    goldcreststall_core::ids::{LocalTime, Millis},
    std::collections::VecDeque,
};

/// Time over which arrivals are added up. Shorter than it takes until the work at hand shows a flood: that grows for as
/// long as a job runs.
const WINDOW: Millis = Millis(800);

/// The work that arrives for each pool.
#[derive(Clone, Debug, Default)]
pub struct ArrivalRate {
    pools: Vec<(String, VecDeque<(LocalTime, u64)>)>,
}

impl ArrivalRate {
    /// Takes note of a job with its work, in thousandths of a core times milliseconds.
    pub fn arrived(&mut self, pool: &str, work: u64, now: LocalTime) {
        let place = self
            .pools
            .binary_search_by(|(own, _)| own.as_str().cmp(pool));
        let place = place.unwrap_or_else(|place| {
            self.pools.insert(place, (pool.to_owned(), VecDeque::new()));
            place
        });
        self.pools[place].1.push_back((now, work));
    }

    /// Returns the processor time that arrivals at the rate of the last moments keep in use, in thousandths of a core.
    pub fn demand_cpu(&mut self, pool: &str, now: LocalTime) -> u64 {
        let place = self
            .pools
            .binary_search_by(|(own, _)| own.as_str().cmp(pool));
        let Ok(place) = place else {
            return 0;
        };
        let arrivals = &mut self.pools[place].1;
        while arrivals
            .front()
            .is_some_and(|(at, _)| now.since(*at) > WINDOW)
        {
            arrivals.pop_front();
        }
        let work: u64 = arrivals.iter().map(|(_, work)| work).sum();
        work / WINDOW.0
    }
}
