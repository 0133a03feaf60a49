use {
    super::{OwnerCommand, OwnerState, RunName, StartCommand},
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
    /// acknowledgement of a stop, shows what became of it. That list comes from a call with a token above those of the calls
    /// for the ended instance, so that none of them has an effect after it.
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
        self.store_restart(next);
        if let Some(report) = self.runner_report(next) {
            let detail = format!("born={} why={reason}", report.started_ms);
            let id = report.id.clone();
            self.log_event("runner restarted", id, detail);
        }
    }

    /// Returns whether this owner has called a later instance under the id of `runner` with a higher token, for which it
    /// refuses commands that were meant for `runner`. An instance that is not known any more has ended long ago.
    pub(super) fn has_raised_token(&self, runner: RunnerKey) -> bool {
        let Some(state) = self.runners.get(runner) else {
            return true;
        };
        let newest = self.runners.find(&state.report.id);
        let newest = newest.and_then(|key| self.runners.get(key));
        newest.is_none_or(|newest| newest.token > state.token)
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
        if is_stopping {
            self.issue_stop(key, next, run);
        }
        if let Some(job) = self.jobs.get(key.job) {
            let name = job.item_name(key.item);
            self.commands
                .push(OwnerCommand::Withdraw(RunName { name, run }));
            self.log_event(
                "run in doubt",
                name.to_string(),
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
