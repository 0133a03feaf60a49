//! Waits of work for capacity near its data.

use {
    super::{
        OwnerState,
        gang_placement::GangPlacement,
        learned_durations::kind_of,
        locality_state::{RackWait, WaitCounts},
        placement::PlacedItem,
        rack_forecasts::{RackForecasts, StepTimes},
        ready_items::PlacementTier,
    },
    crate::{
        jobs::ItemKey,
        locality::{WaitDecision, WaitInputs, wait_bound},
        runners::{RunnerKey, RunnerState},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Where a work item with a data rack starts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum DataPlacement {
    /// It has no data rack, or is not slower on others.
    Anywhere,
    /// On this runner; `None` if no runner has free capacity for it.
    Chosen(Option<RunnerKey>),
    /// Not now: it waits for capacity near its data.
    Waits,
}

impl OwnerState {
    /// Returns how many waits for capacity near data have begun and ended in this term.
    pub fn wait_counts(&self) -> WaitCounts {
        self.locality.counts
    }

    /// Returns where a work item with a data rack starts; whether it waits depends on what waits for the rack before it.
    pub(super) fn place_near_data(
        &mut self,
        item: &PlacedItem,
        pool: &[RunnerKey],
        reserved: &[RunnerKey],
        forecasts: &mut RackForecasts,
        now: LocalTime,
    ) -> DataPlacement {
        if !self.locality.is_effective() || item.tier == PlacementTier::Serving {
            return DataPlacement::Anywhere;
        }
        let Some((job, placed)) = self.jobs.item(item.key) else {
            return DataPlacement::Anywhere;
        };
        let Some(rack) = job.step_of(placed).data_rack.as_deref() else {
            return DataPlacement::Anywhere;
        };
        let rack_index = forecasts.index_of(&job.queue.service, rack, || {
            let has_label = |runner: &RunnerKey| {
                let state = self.runners.get(*runner);
                state.is_some_and(|state| state.has_label(rack))
            };
            pool.iter().copied().filter(has_label).collect()
        });
        let failed_on = self.failed_on(item.key);
        let can_start = |runner: &RunnerKey| {
            failed_on != Some(*runner) && self.can_start(item, *runner, reserved, now)
        };
        let rack = &mut forecasts.racks[rack_index];
        let near = rack.runners.iter().rev().copied().find(can_start);
        if let Some(runner) = near {
            if let Some(capacity) = &mut rack.capacity {
                let learned = self.locality.durations.expected(&kind_of(job, placed));
                capacity.start(runner, &item.demand, learned.median);
            }
            self.end_rack_wait(item.key, true, now);
            return DataPlacement::Chosen(Some(runner));
        }
        let Some(far) = pool.iter().rev().copied().find(can_start) else {
            return match self.choose_runner(item, pool, reserved, now) {
                None => DataPlacement::Chosen(None),
                Some(runner) => {
                    let is_near = rack.runners.contains(&runner);
                    self.end_rack_wait(item.key, is_near, now);
                    DataPlacement::Chosen(Some(runner))
                }
            };
        };
        if self.waits_for_capacity(item, reserved, rack_index, forecasts, now) {
            return DataPlacement::Waits;
        }
        self.end_rack_wait(item.key, false, now);
        DataPlacement::Chosen(Some(far))
    }

    /// Decides whether a work item waits for capacity in a rack, and claims it if so.
    fn waits_for_capacity(
        &mut self,
        item: &PlacedItem,
        reserved: &[RunnerKey],
        rack_index: usize,
        forecasts: &mut RackForecasts,
        now: LocalTime,
    ) -> bool {
        let Some(times) = self.step_times(item.key, forecasts) else {
            return false;
        };
        let rack = &mut forecasts.racks[rack_index];
        let capacity = rack
            .capacity
            .get_or_insert_with(|| self.capacity_forecast(&rack.runners, reserved, now));
        let slot = capacity.earliest(&item.demand, |runner| {
            self.is_eligible(item.key, runner, item.demand, now)
        });
        let expected_wait = slot.map(|slot| slot.at);
        let inputs = self.wait_inputs(item.key, times, expected_wait, now);
        let Some(slot) = slot.filter(|_| inputs.decide() == WaitDecision::Wait) else {
            return false;
        };
        let detail = format!("rack={}", rack.rack);
        let waits = self.begin_rack_wait(item.key, &inputs, &detail, now);
        if waits {
            capacity.claim(slot, &item.demand, times.learned.median);
        }
        waits
    }

    /// Returns the runners that a gang waits for in one rack, when it can start now on several racks only and the wait
    /// pays; they are reserved for it.
    pub(super) fn wait_for_rack(
        &mut self,
        members: &[ItemKey],
        placement: &GangPlacement,
        pool: &[RunnerKey],
        forecasts: &mut RackForecasts,
        now: LocalTime,
    ) -> Option<Vec<RunnerKey>> {
        let first = *members.first()?;
        let (job, item) = self.jobs.item(first)?;
        if !self.locality.is_effective() || !job.step_of(item).same_rack {
            return None;
        }
        if !self.spans_racks(placement.iter().map(|(_, runner)| *runner)) {
            self.end_rack_wait(first, true, now);
            return None;
        }
        let reserved = self.reserve_rack(members, pool, forecasts, now);
        if reserved.is_none() {
            self.end_rack_wait(first, false, now);
        }
        reserved
    }

    fn reserve_rack(
        &mut self,
        members: &[ItemKey],
        pool: &[RunnerKey],
        forecasts: &mut RackForecasts,
        now: LocalTime,
    ) -> Option<Vec<RunnerKey>> {
        let first = *members.first()?;
        let times = self.step_times(first, forecasts)?;
        let demand = self.demand(first);
        let mut best: Option<(Millis, String, Vec<RunnerKey>)> = None;
        for rack in self.racks(pool) {
            let is_usable = |runner: &RunnerKey| {
                let state = self.runners.get(*runner);
                self.is_in_rack(*runner, &rack) && state.is_some_and(|state| !state.due)
            };
            let in_rack: Vec<RunnerKey> = pool.iter().copied().filter(is_usable).collect();
            let mut capacity = self.capacity_forecast(&in_rack, &[], now);
            let is_eligible = |runner| self.is_eligible(first, runner, demand, now);
            let duration = times.learned.median;
            let at = capacity.claim_all(members.len(), &demand, duration, is_eligible);
            let Some(at) = at.filter(|at| best.as_ref().is_none_or(|(best, ..)| at < best)) else {
                continue;
            };
            let drained = RunnerState::free_when_drained;
            if let Some(placement) = self.find_gang_placement(members, &in_rack, drained, now) {
                let runners = placement.into_iter().map(|(_, runner)| runner).collect();
                best = Some((at, rack, runners));
            }
        }
        let (at, rack, runners) = best?;
        let inputs = self.wait_inputs(first, times, Some(at), now);
        let waits = inputs.decide() == WaitDecision::Wait
            && self.begin_rack_wait(first, &inputs, &format!("rack={rack} gang=true"), now);
        waits.then_some(runners)
    }

    fn wait_inputs(
        &self,
        key: ItemKey,
        times: StepTimes,
        expected_wait: Option<Millis>,
        now: LocalTime,
    ) -> WaitInputs {
        let far_percent = self.locality.far_percent;
        let wait = self.locality.wait(key);
        WaitInputs {
            duration: times.learned.median,
            far_percent,
            expected_wait,
            waited: wait.map_or(Millis(0), |wait| now.since(wait.since)),
            bound: wait.map_or_else(
                || {
                    wait_bound(
                        times.learned.median,
                        far_percent,
                        times.latest_start.since(now),
                    )
                },
                |wait| wait.bound,
            ),
        }
    }

    fn step_times(&self, key: ItemKey, forecasts: &mut RackForecasts) -> Option<StepTimes> {
        let step = self.step_key(key)?;
        if let Some((known, times)) = forecasts.step
            && known == step
        {
            return Some(times);
        }
        let (job, item) = self.jobs.item(key)?;
        let times = StepTimes {
            latest_start: job.latest_start(item),
            learned: self.locality.durations.expected(&kind_of(job, item)),
        };
        forecasts.step = Some((step, times));
        Some(times)
    }

    /// Records that a work item waits; returns false if too many wait already.
    fn begin_rack_wait(
        &mut self,
        key: ItemKey,
        inputs: &WaitInputs,
        detail: &str,
        now: LocalTime,
    ) -> bool {
        if self.locality.wait(key).is_some() {
            return true;
        }
        let begun = self.locality.begin_wait(RackWait {
            key,
            since: now,
            bound: inputs.bound,
        });
        if begun && let Some(job) = self.jobs.get(key.job) {
            let name = job.item_name(key.item).to_string();
            let detail = format!(
                "{detail} expected_wait_ms={} bound_ms={} duration_ms={}",
                inputs.expected_wait.unwrap_or_default().0,
                inputs.bound.0,
                inputs.duration.0
            );
            self.log_event("wait for data", name, detail);
        }
        begun
    }

    /// Records that a work item starts; if it has waited, also whether the wait has paid.
    fn end_rack_wait(&mut self, key: ItemKey, is_near: bool, now: LocalTime) {
        let Some(wait) = self.locality.end_wait(key) else {
            return;
        };
        if is_near {
            self.locality.counts.paid += 1;
        } else {
            self.locality.counts.unpaid += 1;
        }
        if let Some(job) = self.jobs.get(key.job) {
            let name = job.item_name(key.item).to_string();
            let waited = now.since(wait.since);
            let detail = format!(
                "paid={is_near} waited_ms={} bound_ms={}",
                waited.0, wait.bound.0
            );
            self.log_event("wait for data ended", name, detail);
        }
    }

    /// Forgets the waits of work that does not wait any more although it was not started by a pass.
    pub(super) fn forget_waits(&mut self) {
        let jobs = &self.jobs;
        let before = self.locality.waits.len();
        self.locality.waits.retain(|wait| {
            let item = jobs.item(wait.key);
            item.is_some_and(|(job, item)| !job.phase.is_final() && item.is_idle())
        });
        let dropped = before - self.locality.waits.len();
        self.locality.counts.dropped += dropped as u64;
    }
}
