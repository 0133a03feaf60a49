use {
    crate::runners::{Capacity, RunnerKey},
    goldcreststall_core::ids::Millis,
};

/// Time without a change of a run's progress that tells nothing: its runner lists it less often when it is busy.
const MIN_STANDSTILL: Millis = Millis(250);

/// Returns how long a run is expected to take from now on. `expected` is the expected duration of the whole run,
/// `elapsed` the time since its start, `percent` the share that is done by its runner's list, and `standstill` the time
/// for which that has not changed.
///
/// The longest of several estimates counts: a run that takes a multiple of the others shows it by its progress only, and
/// one that stands still, or whose runner's clock does, is expected to stand still for as long again.
pub fn remaining_time(
    expected: Millis,
    elapsed: Millis,
    percent: u32,
    standstill: Millis,
) -> Millis {
    let percent = u64::from(percent.min(100));
    let by_progress = if percent > 0 {
        // Shares are listed in whole percents, rounded down, and count from the time at which the share was reached.
        let observed_ms = elapsed.0.saturating_sub(standstill.0);
        let by_share = expected.0.saturating_mul(100 - percent) / 100;
        let by_speed = observed_ms.saturating_mul(100 - percent) / (percent + 1);
        by_share.max(by_speed).saturating_sub(standstill.0)
    } else if elapsed < expected {
        expected.0 - elapsed.0
    } else {
        elapsed.0
    };
    let is_standing = standstill.0 > expected.0 / 10 + MIN_STANDSTILL.0;
    Millis(if is_standing {
        by_progress.max(standstill.0)
    } else {
        by_progress
    })
}

/// Capacity of one runner, now and as its runs end.
#[derive(Clone, Debug)]
pub struct RunnerForecast {
    runner: RunnerKey,
    /// Earliest time, from now, of a further start: work ahead has taken what is free before.
    from: Millis,
    free: Capacity,
    /// Expected ends of runs, the earliest first.
    releases: Vec<(Millis, Capacity)>,
}

impl RunnerForecast {
    /// Creates the forecast of a runner from its free capacity and the expected ends of its runs.
    pub fn new(runner: RunnerKey, free: Capacity, mut releases: Vec<(Millis, Capacity)>) -> Self {
        releases.sort_unstable_by_key(|(at, _)| *at);
        Self {
            runner,
            from: Millis(0),
            free,
            releases,
        }
    }

    /// Returns when the demand is expected to fit; `None` if it does not even when all runs have ended.
    fn earliest(&self, demand: &Capacity) -> Option<Millis> {
        if self.free.covers(demand) {
            return Some(self.from);
        }
        let mut free = self.free;
        for (at, released) in &self.releases {
            free = free.plus(released);
            if free.covers(demand) {
                return Some(self.from.max(*at));
            }
        }
        None
    }

    fn claim(&mut self, demand: &Capacity, at: Millis, duration: Millis) {
        let ended = self.releases.partition_point(|(end, _)| *end <= at);
        for (_, released) in self.releases.drain(..ended) {
            self.free = self.free.plus(&released);
        }
        self.free = self.free.minus(demand);
        self.from = self.from.max(at);
        let end = at + duration;
        let index = self.releases.partition_point(|(other, _)| *other <= end);
        self.releases.insert(index, (end, *demand));
    }
}

/// A place in a forecast where work can start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ForecastSlot {
    /// The runner.
    pub runner: RunnerKey,
    /// Time of the start, from now.
    pub at: Millis,
    index: usize,
}

/// Capacity of the runners of one rack that take work, now and as their runs end. Work that waits for it claims its
/// part, in its order, so that work behind it sees what is left.
///
/// Designed for 20 runners of 64 runs and for as many claims as the rack runs in twice the duration of a work item.
#[derive(Clone, Debug, Default)]
pub struct CapacityForecast {
    runners: Vec<RunnerForecast>,
}

impl CapacityForecast {
    /// Creates the forecast of the given runners.
    pub fn new(runners: Vec<RunnerForecast>) -> Self {
        Self { runners }
    }

    /// Returns where the demand is expected to fit first.
    pub fn earliest(
        &self,
        demand: &Capacity,
        is_eligible: impl Fn(RunnerKey) -> bool,
    ) -> Option<ForecastSlot> {
        let mut best: Option<ForecastSlot> = None;
        for (index, forecast) in self.runners.iter().enumerate() {
            let Some(at) = forecast.earliest(demand) else {
                continue;
            };
            // Eligibility takes longer to check than the time.
            let is_earlier = best.is_none_or(|slot| at < slot.at);
            if is_earlier && is_eligible(forecast.runner) {
                best = Some(ForecastSlot {
                    runner: forecast.runner,
                    at,
                    index,
                });
            }
        }
        best
    }

    /// Takes the capacity of a slot for work of this duration.
    pub fn claim(&mut self, slot: ForecastSlot, demand: &Capacity, duration: Millis) {
        self.runners[slot.index].claim(demand, slot.at, duration);
    }

    /// Takes the capacity of work of this duration that starts now.
    pub fn start(&mut self, runner: RunnerKey, demand: &Capacity, duration: Millis) {
        if let Some(forecast) = self.runners.iter_mut().find(|known| known.runner == runner) {
            forecast.claim(demand, Millis(0), duration);
        }
    }

    /// Claims one slot after the other for `count` members of equal demand; returns when the last one can start.
    pub fn claim_all(
        &mut self,
        count: usize,
        demand: &Capacity,
        duration: Millis,
        is_eligible: impl Fn(RunnerKey) -> bool,
    ) -> Option<Millis> {
        let mut last = Millis(0);
        for _ in 0..count {
            let slot = self.earliest(demand, &is_eligible)?;
            self.claim(slot, demand, duration);
            last = last.max(slot.at);
        }
        Some(last)
    }
}
