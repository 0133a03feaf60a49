use {
    super::{OwnerCommand, OwnerState, RunCommand},
    crate::{
        jobs::{ItemKey, ItemRun, JobKey, RunPhase},
        runners::{Capacity, RunnerKey},
    },
    goldcreststall_core::ids::LocalTime,
};

impl OwnerState {
    /// Returns the capacity that a run of the work item uses.
    pub(super) fn demand(&self, key: ItemKey) -> Capacity {
        let Some((job, item)) = self.jobs.item(key) else {
            return Capacity::default();
        };
        job.step_of(item).demand()
    }

    /// Returns the capacity that a run of the work item uses until it is stopped.
    fn demand_for_good(&self, key: ItemKey) -> Capacity {
        if self.is_long_running(key) {
            self.demand(key)
        } else {
            Capacity::default()
        }
    }

    /// Records a run and the capacity that it uses on its runner.
    pub(super) fn attach_run(&mut self, key: ItemKey, recorded_run: ItemRun) {
        let demand = self.demand(key);
        let demand_for_good = self.demand_for_good(key);
        if let Some(state) = self.runners.get_mut(recorded_run.runner) {
            state.used = state.used.plus(&demand);
            state.used_for_good = state.used_for_good.plus(&demand_for_good);
            state.items.push(key);
        }
        let (organisation, quota_demand) = self.quota_demand(key);
        self.organisations.add_use(organisation, &quota_demand);
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        job.started = true;
        let item = &mut job.items[key.item as usize];
        item.last_run = item.last_run.max(recorded_run.run);
        // Most work items never have a second run.
        item.runs.reserve_exact(1);
        item.runs.push(recorded_run);
    }

    /// Removes a run that has certainly ended and frees its capacity. Returns whether the run was recorded.
    pub(super) fn detach_run(
        &mut self,
        key: ItemKey,
        runner: RunnerKey,
        run: u32,
        now: LocalTime,
    ) -> bool {
        let demand = self.demand(key);
        let demand_for_good = self.demand_for_good(key);
        let Some(item) = self.jobs.item_mut(key) else {
            return false;
        };
        let is_same_run =
            |recorded_run: &ItemRun| recorded_run.runner == runner && recorded_run.run == run;
        let Some(index) = item.runs.iter().position(is_same_run) else {
            return false;
        };
        item.runs.remove(index);
        let (organisation, quota_demand) = self.quota_demand(key);
        self.organisations.remove_use(organisation, &quota_demand);
        if let Some(state) = self.runners.get_mut(runner) {
            state.used = state.used.minus(&demand);
            state.used_for_good = state.used_for_good.minus(&demand_for_good);
            if let Some(index) = state.items.iter().position(|item_key| *item_key == key) {
                state.items.swap_remove(index);
            }
            if state.items.is_empty() {
                state.empty_since = now;
            }
        }
        self.placement_due = true;
        true
    }

    pub(super) fn set_phase(&mut self, key: ItemKey, runner: RunnerKey, run: u32, phase: RunPhase) {
        if let Some(recorded_run) = self.run_mut(key, runner, run) {
            recorded_run.phase = phase;
        }
    }

    pub(super) fn run_mut(
        &mut self,
        key: ItemKey,
        runner: RunnerKey,
        run: u32,
    ) -> Option<&mut ItemRun> {
        let item = self.jobs.item_mut(key)?;
        let is_same_run =
            |recorded_run: &&mut ItemRun| recorded_run.runner == runner && recorded_run.run == run;
        item.runs.iter_mut().find(is_same_run)
    }

    /// Issues a stop of a recorded run, unless one was issued already.
    pub(super) fn stop_run(&mut self, key: ItemKey, runner: RunnerKey, run: u32) {
        let now = self.last_tick;
        let Some(recorded_run) = self.run_mut(key, runner, run) else {
            return;
        };
        if matches!(
            recorded_run.phase,
            RunPhase::Stopping | RunPhase::Stopped { .. }
        ) {
            return;
        }
        recorded_run.phase = RunPhase::Stopping;
        recorded_run.progressed_at = now;
        self.issue_stop(key, runner, run);
    }

    pub(super) fn issue_stop(&mut self, key: ItemKey, runner: RunnerKey, run: u32) {
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        self.commands.push(OwnerCommand::Stop(RunCommand {
            runner,
            item: Some(key),
            name: job.item_name(key.item),
            run,
        }));
    }

    /// Issues a stop of every run of a job.
    pub(super) fn stop_job_runs(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let items = (0..job.items.len() as u32).map(|item| ItemKey { job: key, item });
        for item in items.collect::<Vec<_>>() {
            self.stop_item_runs(item);
        }
    }

    /// Removes every run of a job that is about to be removed: their runners would count their capacity as used for ever.
    /// A run that is listed later is stopped as that of an unknown job.
    pub(super) fn detach_job_runs(&mut self, key: JobKey) {
        let now = self.last_tick;
        let items = self.jobs.get(key).map_or(0, |job| job.items.len() as u32);
        for item in (0..items).map(|item| ItemKey { job: key, item }) {
            for (runner, run) in self.recorded_runs(item) {
                self.detach_run(item, runner, run, now);
            }
        }
    }

    /// Issues a stop of every run of a work item.
    pub(super) fn stop_item_runs(&mut self, key: ItemKey) {
        for (runner, run) in self.recorded_runs(key) {
            self.stop_run(key, runner, run);
        }
    }

    /// Returns the runner and number of each recorded run of a work item.
    pub(super) fn recorded_runs(&self, key: ItemKey) -> Vec<(RunnerKey, u32)> {
        let Some((_, item)) = self.jobs.item(key) else {
            return Vec::new();
        };
        item.runs
            .iter()
            .map(|recorded_run| (recorded_run.runner, recorded_run.run))
            .collect()
    }

    /// Returns the runs that are recorded on a runner, with their work items.
    pub(super) fn runs_on(&self, runner: RunnerKey) -> Vec<(ItemKey, ItemRun)> {
        let Some(state) = self.runners.get(runner) else {
            return Vec::new();
        };
        let mut keys = state.items.clone();
        keys.sort_unstable();
        keys.dedup();
        let mut runs = Vec::new();
        for key in keys {
            let Some((_, item)) = self.jobs.item(key) else {
                continue;
            };
            let here = item
                .runs
                .iter()
                .filter(|recorded_run| recorded_run.runner == runner);
            runs.extend(here.map(|recorded_run| (key, recorded_run.clone())));
        }
        runs
    }

    /// Records that an instance of a runner has ended, and with it all of its runs.
    pub(super) fn end_runner(&mut self, runner: RunnerKey, reason: &'static str, now: LocalTime) {
        if let Some(state) = self.runners.get_mut(runner) {
            state.has_ended = true;
        }
        self.release_lost_runs(runner, reason, now);
    }

    /// Removes all runs that are recorded on a runner, when they have certainly ended.
    pub(super) fn release_lost_runs(
        &mut self,
        runner: RunnerKey,
        reason: &'static str,
        now: LocalTime,
    ) {
        for (key, recorded_run) in self.runs_on(runner) {
            if let Some(job) = self.jobs.get(key.job) {
                let name = job.item_name(key.item).to_string();
                let detail = format!(
                    "run={} phase={:?} listed={} {} why={reason}",
                    recorded_run.run,
                    recorded_run.phase,
                    recorded_run.listed,
                    self.lease_evidence(runner, now)
                );
                self.log_event("run lost", name, detail);
            }
            self.detach_run(key, runner, recorded_run.run, now);
        }
    }
}
