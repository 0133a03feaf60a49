use {
    super::{OwnerCommand, OwnerState, StartCommand},
    crate::{
        jobs::{ItemKey, ItemRun, JobState},
        runners::RunnerKey,
    },
    goldcreststall_core::ids::LocalTime,
};

impl OwnerState {
    pub(super) fn issue_start(&mut self, key: ItemKey, runner: RunnerKey, now: LocalTime) {
        let last_run = self.jobs.item(key).map_or(0, |(_, item)| item.last_run);
        self.issue_run(key, runner, last_run.saturating_add(1), now);
    }

    pub(super) fn issue_run(&mut self, key: ItemKey, runner: RunnerKey, run: u32, now: LocalTime) {
        let Some(ticket) = self.ticket(key, runner, now).map(ToOwned::to_owned) else {
            return;
        };
        let Some(state) = self.runners.get_mut(runner) else {
            return;
        };
        let Some(deadline_ms) = state.clock.grant(now) else {
            return;
        };
        let free = state.free();
        let Some(spec) = self.jobs.get_mut(key.job).map(JobState::shared_text) else {
            return;
        };
        let Some((job, item)) = self.jobs.item(key) else {
            return;
        };
        let command = StartCommand {
            runner,
            item: key,
            name: job.item_name(key.item),
            run,
            spec,
            deadline_ms,
            checkpoint: item.checkpoint.clone(),
            ticket,
        };
        let detail = format!(
            "run={} free_cpu={} waited_ms={} deadline_ms={deadline_ms} {}",
            command.run,
            free.cpu,
            now.since(job.first_seen).0,
            self.lease_evidence(runner, now)
        );
        self.log_event("place", command.name.to_string(), detail);
        self.take_start_budget(key, command.spec.len());
        let recorded_run = ItemRun::starting(command.run, runner, deadline_ms, now);
        let recorded_run = self.with_expectation(key, recorded_run);
        self.attach_run(key, recorded_run);
        self.end_evacuation(key);
        self.commands.push(OwnerCommand::Start(command));
    }

    /// Takes a start command from the budget. The first one of a job carries its text.
    fn take_start_budget(&mut self, key: ItemKey, text_bytes: usize) {
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        let carries_text = !std::mem::replace(&mut job.text_sent, true);
        self.start_budget
            .take(if carries_text { text_bytes } else { 0 });
    }
}
