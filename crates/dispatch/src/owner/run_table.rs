use {
    super::{OwnerCommand, OwnerState, RunCommand},
    crate::{
        jobs::{ItemKey, ItemRun, JobKey, RunPhase},
        runners::{Capacity, RunnerKey},
    },
    goldcreststall_core::ids::LocalTime,
};

/// Full speed, in percent.
pub(super) const FULL_PACE: u32 = 100;

impl OwnerState {
    /// Returns the room that a work item takes.
    pub(super) fn demand(&self, key: ItemKey) -> Capacity {
        let Some((job, item)) = self.jobs.item(key) else {
            return Capacity::default();
        };
        let step = job.step_of(item);
        Capacity {
            cpu: step.counted_cpu(),
            mem_mb: step.mem_mb,
            gpu: step.gpu,
        }
    }

    /// Books a run on a runner.
    pub(super) fn attach_run(
        &mut self,
        key: ItemKey,
        runner: RunnerKey,
        run: u32,
        phase: RunPhase,
        now: LocalTime,
    ) {
        let demand = self.demand(key);
        if let Some(state) = self.runners.get_mut(runner) {
            state.used = state.used.plus(&demand);
            state.items.push(key);
        }
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        job.begun = true;
        let item = &mut job.items[key.item as usize];
        item.last_run = item.last_run.max(run);
        item.runs.push(ItemRun {
            run,
            runner,
            phase,
            sent: now,
            percent: 0,
            moved: now,
            pace: FULL_PACE,
        });
    }

    /// Frees the room of a run that is over for certain. Returns whether the run was booked.
    pub(super) fn detach_run(
        &mut self,
        key: ItemKey,
        runner: RunnerKey,
        run: u32,
        now: LocalTime,
    ) -> bool {
        let demand = self.demand(key);
        let Some(item) = self.jobs.item_mut(key) else {
            return false;
        };
        let same = |booked: &ItemRun| booked.runner == runner && booked.run == run;
        let Some(place) = item.runs.iter().position(same) else {
            return false;
        };
        item.runs.remove(place);
        if let Some(state) = self.runners.get_mut(runner) {
            state.used = state.used.minus(&demand);
            if let Some(place) = state.items.iter().position(|own| *own == key) {
                state.items.swap_remove(place);
            }
            if state.items.is_empty() {
                state.empty_since = now;
            }
        }
        self.place_due = true;
        true
    }

    /// Changes what is known of a run.
    pub(super) fn set_phase(&mut self, key: ItemKey, runner: RunnerKey, run: u32, phase: RunPhase) {
        if let Some(booked) = self.run_mut(key, runner, run) {
            booked.phase = phase;
        }
    }

    /// Returns a booked run for changes.
    pub(super) fn run_mut(
        &mut self,
        key: ItemKey,
        runner: RunnerKey,
        run: u32,
    ) -> Option<&mut ItemRun> {
        let item = self.jobs.item_mut(key)?;
        let same = |booked: &&mut ItemRun| booked.runner == runner && booked.run == run;
        item.runs.iter_mut().find(same)
    }

    /// Commands the stop of a booked run, unless it is ordered already.
    pub(super) fn stop_run(&mut self, key: ItemKey, runner: RunnerKey, run: u32) {
        let Some(booked) = self.run_mut(key, runner, run) else {
            return;
        };
        if matches!(booked.phase, RunPhase::Stopping | RunPhase::Stopped { .. }) {
            return;
        }
        booked.phase = RunPhase::Stopping;
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

    /// Commands the stop of every run of a job.
    pub(super) fn stop_job_runs(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let items = (0..job.items.len() as u32).map(|item| ItemKey { job: key, item });
        for item in items.collect::<Vec<_>>() {
            self.stop_item_runs(item);
        }
    }

    /// Commands the stop of every run of a work item.
    pub(super) fn stop_item_runs(&mut self, key: ItemKey) {
        for (runner, run) in self.booked_runs(key) {
            self.stop_run(key, runner, run);
        }
    }

    /// Returns runner and number of each booked run of a work item.
    pub(super) fn booked_runs(&self, key: ItemKey) -> Vec<(RunnerKey, u32)> {
        let Some((_, item)) = self.jobs.item(key) else {
            return Vec::new();
        };
        item.runs
            .iter()
            .map(|booked| (booked.runner, booked.run))
            .collect()
    }

    /// Returns the work items and run numbers that are booked on a runner.
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
            let here = item.runs.iter().filter(|booked| booked.runner == runner);
            runs.extend(here.map(|booked| (key, booked.clone())));
        }
        runs
    }

    /// Takes note that the lifetime of a runner has ended, with everything on it.
    pub(super) fn end_runner(&mut self, runner: RunnerKey, why: &'static str, now: LocalTime) {
        if let Some(state) = self.runners.get_mut(runner) {
            state.listed = false;
            state.has_ended = true;
        }
        self.void_runner(runner, why, now);
    }

    /// Frees everything that is booked on a runner, which is over for certain.
    pub(super) fn void_runner(&mut self, runner: RunnerKey, why: &'static str, now: LocalTime) {
        for (key, booked) in self.runs_on(runner) {
            if let Some(job) = self.jobs.get(key.job) {
                let name = job.item_name(key.item).to_string();
                self.log_event("run lost", name, format!("run={} why={why}", booked.run));
            }
            self.detach_run(key, runner, booked.run, now);
        }
    }
}
