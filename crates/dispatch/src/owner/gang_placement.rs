use {
    super::OwnerState,
    crate::{
        jobs::{ItemKey, ItemRun, JobState, RunPhase},
        runners::{Capacity, RunnerKey, RunnerState},
    },
    goldcreststall_core::ids::LocalTime,
};

/// Members of a gang and the runners to start them on.
pub(super) type GangPlacement = Vec<(ItemKey, RunnerKey)>;

impl OwnerState {
    /// Returns the members of the gang that a work item belongs to; none when it is not part of a gang.
    pub(super) fn gang_of(&self, key: ItemKey) -> Option<Vec<ItemKey>> {
        let (job, item) = self.jobs.item(key)?;
        if !job.step_of(item).gang {
            return None;
        }
        let indexes = job.step_range(item.occurrence, item.step);
        Some(indexes.map(|item| ItemKey { item, ..key }).collect())
    }

    /// Finds runners with enough of the capacity `room` for all members of a gang at once; in one rack if possible, when
    /// the members are slower on several.
    pub(super) fn find_gang_placement(
        &self,
        members: &[ItemKey],
        pool: &[RunnerKey],
        room: fn(&RunnerState) -> Capacity,
        now: LocalTime,
    ) -> Option<GangPlacement> {
        let first = members.first()?;
        let (job, item) = self.jobs.item(*first)?;
        if job.step_of(item).same_rack {
            let in_one_rack = self.racks(pool).into_iter().find_map(|rack| {
                let in_rack: Vec<RunnerKey> = pool
                    .iter()
                    .copied()
                    .filter(|runner| self.is_in_rack(*runner, &rack))
                    .collect();
                self.fit_gang(members, &in_rack, room, now)
            });
            if in_one_rack.is_some() {
                return in_one_rack;
            }
        }
        self.fit_gang(members, pool, room, now)
    }

    fn fit_gang(
        &self,
        members: &[ItemKey],
        pool: &[RunnerKey],
        room: fn(&RunnerState) -> Capacity,
        now: LocalTime,
    ) -> Option<GangPlacement> {
        let takes_runs = |runner: RunnerKey, added: u32| {
            let state = self.runners.get(runner);
            state.is_some_and(|state| state.takes_runs(added as usize))
        };
        let mut free_capacities: Vec<(RunnerKey, Capacity, u32)> = pool
            .iter()
            .filter_map(|runner| Some((*runner, room(self.runners.get(*runner)?), 0_u32)))
            .collect();
        let mut placement = GangPlacement::new();
        for member in members {
            let demand = self.demand(*member);
            let (job, item) = self.jobs.item(*member)?;
            let max_per_runner = match job.step_of(item).anti_affinity {
                0 => u32::MAX,
                max_per_runner => max_per_runner,
            };
            let candidate = free_capacities.iter_mut().find(|(runner, free, count)| {
                *count < max_per_runner
                    && free.covers(&demand)
                    && takes_runs(*runner, *count + 1)
                    && self.is_eligible(*member, *runner, demand, now)
            });
            let (runner, free, count) = candidate?;
            *free = free.minus(&demand);
            *count += 1;
            placement.push((*member, *runner));
        }
        Some(placement)
    }

    /// Returns the racks of a pool, those with the most runners first.
    pub(super) fn racks(&self, pool: &[RunnerKey]) -> Vec<String> {
        let mut racks: Vec<(usize, String)> = Vec::new();
        for runner in pool {
            let Some(rack) = self.rack_of(*runner) else {
                continue;
            };
            match racks.iter_mut().find(|(_, name)| name == rack) {
                Some((count, _)) => *count += 1,
                None => racks.push((1, rack.to_owned())),
            }
        }
        racks.sort_unstable_by(|left, right| right.cmp(left));
        racks.into_iter().map(|(_, rack)| rack).collect()
    }

    pub(super) fn rack_of(&self, runner: RunnerKey) -> Option<&str> {
        self.runners.get(runner)?.report.rack.as_deref()
    }

    pub(super) fn is_in_rack(&self, runner: RunnerKey, rack: &str) -> bool {
        self.rack_of(runner) == Some(rack)
    }

    /// Stops the other members of a gang's run, which could only wait without this one.
    pub(super) fn stop_gang(&mut self, key: ItemKey, run: u32) {
        for member in self.gang_of(key).unwrap_or_default() {
            if member == key {
                continue;
            }
            for (runner, other) in self.recorded_runs(member) {
                if other == run {
                    self.stop_run(member, runner, other);
                }
            }
        }
    }

    /// Sets the newest checkpoint of one member for all members of a gang: it is valid for all, and all must resume
    /// from the same one.
    pub(super) fn share_checkpoint(&mut self, key: ItemKey, checkpoint: &str) {
        for member in self.gang_of(key).unwrap_or_default() {
            if let Some(item) = self.jobs.item_mut(member) {
                checkpoint.clone_into(&mut item.checkpoint);
            }
        }
    }

    /// Stops gangs with a missing member, for example after the loss of a runner or a change of the owner.
    pub(super) fn stop_incomplete_gangs(&mut self) {
        for key in self.jobs.unfinished().to_vec() {
            let incomplete = self.jobs.get(key).map(incomplete_gangs).unwrap_or_default();
            for item in incomplete {
                self.stop_item_runs(ItemKey { job: key, item });
            }
        }
    }
}

/// Returns the indexes of the members of all gangs whose newest run lacks a member.
fn incomplete_gangs(job: &JobState) -> Vec<u32> {
    let mut indexes = Vec::new();
    if job.unconfirmed || job.is_dormant || !job.spec.steps.iter().any(|step| step.gang) {
        return indexes;
    }
    for occurrence in 0..job.spec.occurrences() {
        for (step, shape) in (0_u32..).zip(&job.spec.steps) {
            let members = job.step_items(occurrence, step);
            if !shape.gang || members.iter().any(|item| item.done) {
                continue;
            }
            let is_active =
                |phase: RunPhase| !matches!(phase, RunPhase::Stopping | RunPhase::Stopped { .. });
            let runs = members.iter().flat_map(|item| &item.runs);
            let newest = runs
                .filter(|run| is_active(run.phase))
                .map(|run| run.run)
                .max();
            let Some(newest) = newest else {
                continue;
            };
            let is_newest = |run: &ItemRun| run.run == newest && is_active(run.phase);
            let complete = members.iter().all(|item| item.runs.iter().any(is_newest));
            if !complete {
                indexes.extend(job.step_range(occurrence, step));
            }
        }
    }
    indexes
}
