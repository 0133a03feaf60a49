use {
    super::OwnerState,
    crate::{
        jobs::{ItemKey, ItemRun, JobState, RunPhase},
        runners::{Capacity, RunnerKey},
    },
    goldcreststall_core::ids::LocalTime,
};

/// Members of a gang with the runners that they get.
pub(super) type GangPlacement = Vec<(ItemKey, RunnerKey)>;

impl OwnerState {
    /// Returns the members of the gang that a work item belongs to; none when it does not belong to one.
    pub(super) fn gang_of(&self, key: ItemKey) -> Option<Vec<ItemKey>> {
        let (job, item) = self.jobs.item(key)?;
        if !job.step_of(item).gang {
            return None;
        }
        let places = job.step_places(item.occurrence, item.step);
        Some(places.map(|item| ItemKey { item, ..key }).collect())
    }

    /// Finds room for all members of a gang at once, in one rack where its members are slower on several.
    pub(super) fn gang_places(
        &self,
        members: &[ItemKey],
        pool: &[RunnerKey],
        now: LocalTime,
    ) -> Option<GangPlacement> {
        let first = members.first()?;
        let (job, item) = self.jobs.item(*first)?;
        if job.step_of(item).same_rack {
            let in_one = self.racks(pool).into_iter().find_map(|rack| {
                let near: Vec<RunnerKey> = pool
                    .iter()
                    .copied()
                    .filter(|runner| self.is_in_rack(*runner, &rack))
                    .collect();
                self.fit_gang(members, &near, now)
            });
            if in_one.is_some() {
                return in_one;
            }
        }
        self.fit_gang(members, pool, now)
    }

    fn fit_gang(
        &self,
        members: &[ItemKey],
        pool: &[RunnerKey],
        now: LocalTime,
    ) -> Option<GangPlacement> {
        let mut rooms: Vec<(RunnerKey, Capacity, u32)> = pool
            .iter()
            .filter_map(|runner| Some((*runner, self.runners.get(*runner)?.free(), 0)))
            .collect();
        let mut places = GangPlacement::new();
        for member in members {
            let demand = self.demand(*member);
            let (job, item) = self.jobs.item(*member)?;
            let most = match job.step_of(item).anti_affinity {
                0 => u32::MAX,
                most => most,
            };
            let room = rooms.iter_mut().find(|(runner, free, count)| {
                *count < most
                    && free.holds(&demand)
                    && self.is_eligible(*member, *runner, demand, now)
            });
            let (runner, free, count) = room?;
            *free = free.minus(&demand);
            *count += 1;
            places.push((*member, *runner));
        }
        Some(places)
    }

    /// Returns the racks of a pool; those with the most runners first.
    fn racks(&self, pool: &[RunnerKey]) -> Vec<String> {
        let mut racks: Vec<(usize, String)> = Vec::new();
        for runner in pool {
            let Some(rack) = self.rack_of(*runner) else {
                continue;
            };
            match racks.iter_mut().find(|(_, own)| own == rack) {
                Some((count, _)) => *count += 1,
                None => racks.push((1, rack.to_owned())),
            }
        }
        racks.sort_unstable_by(|left, right| right.cmp(left));
        racks.into_iter().map(|(_, rack)| rack).collect()
    }

    fn rack_of(&self, runner: RunnerKey) -> Option<&str> {
        self.runners.get(runner)?.report.rack.as_deref()
    }

    fn is_in_rack(&self, runner: RunnerKey, rack: &str) -> bool {
        self.rack_of(runner) == Some(rack)
    }

    /// Ends the other members of a gang's run: without this one they can only wait.
    pub(super) fn break_gang(&mut self, key: ItemKey, run: u32) {
        for member in self.gang_of(key).unwrap_or_default() {
            if member == key {
                continue;
            }
            for (runner, other) in self.booked_runs(member) {
                if other == run {
                    self.stop_run(member, runner, other);
                }
            }
        }
    }

    /// Gives all members of a gang the newest checkpoint of one: it is valid for all, and all must carry the same.
    pub(super) fn share_checkpoint(&mut self, key: ItemKey, checkpoint: &str) {
        for member in self.gang_of(key).unwrap_or_default() {
            if let Some(item) = self.jobs.item_mut(member) {
                checkpoint.clone_into(&mut item.checkpoint);
            }
        }
    }

    /// Ends gangs of which a member is missing, as after the loss of a runner or a change of the owner.
    pub(super) fn watch_gangs(&mut self) {
        for key in self.jobs.open().to_vec() {
            let incomplete = self.jobs.get(key).map(incomplete_gangs).unwrap_or_default();
            for item in incomplete {
                self.stop_item_runs(ItemKey { job: key, item });
            }
        }
    }
}

/// Returns the places of members that work without some other member of their run.
fn incomplete_gangs(job: &JobState) -> Vec<u32> {
    let mut places = Vec::new();
    if job.unconfirmed || !job.spec.steps.iter().any(|step| step.gang) {
        return places;
    }
    for occurrence in 0..job.spec.occurrences() {
        for (step, shape) in (0_u32..).zip(&job.spec.steps) {
            let members = job.step_items(occurrence, step);
            if !shape.gang || members.iter().any(|item| item.done) {
                continue;
            }
            let works =
                |phase: RunPhase| !matches!(phase, RunPhase::Stopping | RunPhase::Stopped { .. });
            let runs = members.iter().flat_map(|item| &item.runs);
            let newest = runs.filter(|run| works(run.phase)).map(|run| run.run).max();
            let Some(newest) = newest else {
                continue;
            };
            let here = |run: &ItemRun| run.run == newest && works(run.phase);
            let complete = members.iter().all(|item| item.runs.iter().any(here));
            if !complete {
                places.extend(job.step_places(occurrence, step));
            }
        }
    }
    places
}
