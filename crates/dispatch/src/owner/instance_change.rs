use {
    super::{OwnerState, StartCommand},
    crate::{
        jobs::{ItemKey, ItemRun, RunPhase},
        runners::RunnerKey,
    },
    goldcreststall_core::ids::LocalTime,
    std::borrow::Cow,
};

impl OwnerState {
    /// Records that an instance has ended because `next` has started under its id.
    ///
    /// What the ended instance has listed ended with it. Any other start may have reached the next instance, which accepts
    /// commands for the id that both have: its run is recorded there until a list of the next instance, or its
    /// acknowledgement of a stop, shows what became of it.
    pub(super) fn end_replaced(
        &mut self,
        runner: RunnerKey,
        next: RunnerKey,
        reason: &'static str,
        now: LocalTime,
    ) {
        for (key, recorded_run) in self.runs_on(runner) {
            if !recorded_run.listed {
                self.transfer_run(key, recorded_run.transferred(next, now), runner, now);
            }
        }
        self.end_runner(runner, reason, now);
    }

    fn transfer_run(
        &mut self,
        key: ItemKey,
        transferred: ItemRun,
        earlier: RunnerKey,
        now: LocalTime,
    ) {
        let ItemRun {
            run, runner: next, ..
        } = transferred;
        let is_stopping = transferred.phase == RunPhase::Stopping;
        self.detach_run(key, earlier, run, now);
        self.attach_run(key, transferred);
        if let Some(state) = self.runners.get_mut(next) {
            // The deadline of the start is on the clock of the ended instance.
            state.clock.expect_lease(self.max_lease);
        }
        if is_stopping {
            self.issue_stop(key, next, run);
        }
        if let Some(job) = self.jobs.get(key.job) {
            let name = job.item_name(key.item).to_string();
            self.log_event(
                "run in doubt",
                name,
                format!("run={run} why=its runner has restarted"),
            );
        }
    }

    /// Returns a start command as one to the instance on which its run is recorded now.
    pub(super) fn readdressed<'a>(&self, command: &'a StartCommand) -> Cow<'a, StartCommand> {
        let runs = self.recorded_runs(command.item);
        match runs.iter().find(|(_, run)| *run == command.run) {
            Some((runner, _)) if *runner != command.runner => Cow::Owned(StartCommand {
                runner: *runner,
                ..command.clone()
            }),
            _ => Cow::Borrowed(command),
        }
    }
}
