use {
    super::{OwnerCommand, OwnerState, RunCommand, run_table::FULL_PACE},
    crate::{
        jobs::{ItemKey, RunPhase},
        runners::{HoldResponse, ListedRun, RunnerKey},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Pause before the next hold call after one without a response.
const MISS_PAUSE: Millis = Millis(200);
/// Pause before the next hold call after one with a response, so that ends come together.
const HOLD_PAUSE: Millis = Millis(25);

impl OwnerState {
    /// Takes note that a hold call got no response.
    pub fn hold_missed(&mut self, runner: RunnerKey, now: LocalTime) {
        let Some(state) = self.runners.get_mut(runner) else {
            return;
        };
        state.hold_sent = None;
        state.missed_holds += 1;
        state.next_hold = now + MISS_PAUSE;
        if state.missed_holds == 1 {
            let id = state.report.id.clone();
            let age = now.since(state.last_response);
            self.log_event("runner silent", id, format!("last_answer_ms={}", age.0));
        }
    }

    /// Takes the response to a hold call that was sent at `sent` and acknowledged ends up to `last_seen`.
    pub fn hold_answered(
        &mut self,
        key: RunnerKey,
        sent: LocalTime,
        last_seen: u64,
        response: HoldResponse,
        now: LocalTime,
    ) {
        let Some(state) = self.runners.get_mut(key) else {
            return;
        };
        state.hold_sent = None;
        if response
            .started_ms
            .is_some_and(|born| born != state.report.started_ms)
        {
            // The list will show the new lifetime.
            self.end_runner(key, "a new lifetime answered", now);
            return;
        }
        state.missed_holds = 0;
        state.last_response = now;
        state.fenced = true;
        state.clock.read(response.clock_ms, now);
        state.acknowledged = state.acknowledged.max(last_seen);
        state.next_hold = now + HOLD_PAUSE;
        self.take_ends(key, response.ended, now);
        self.take_running(key, sent, &response.running, now);
        self.control_pace(key, &response.running);
        self.place_due = true;
    }

    fn take_running(
        &mut self,
        runner: RunnerKey,
        sent: LocalTime,
        running: &[ListedRun],
        now: LocalTime,
    ) {
        let mut has_unknown_runs = false;
        for listed in running {
            has_unknown_runs |= !self.take_listed(runner, listed, now);
        }
        if let Some(state) = self.runners.get_mut(runner) {
            state.has_unknown_runs = has_unknown_runs;
        }
        for (key, booked) in self.runs_on(runner) {
            let known_before = match booked.phase {
                RunPhase::Running { since } => since < sent,
                RunPhase::Stopped { at } => at < sent,
                RunPhase::Starting | RunPhase::Stopping => false,
            };
            let name = self.jobs.get(key.job).map(|job| job.item_name(key.item));
            let is_listed = running
                .iter()
                .any(|listed| Some(listed.name) == name && listed.run == booked.run);
            if known_before && !is_listed {
                self.detach_run(key, runner, booked.run, now);
            }
        }
    }

    /// Takes one run that a runner lists; returns false when its room is not known.
    fn take_listed(&mut self, runner: RunnerKey, listed: &ListedRun, now: LocalTime) -> bool {
        let Some(key) = self.jobs.find_item(&listed.name) else {
            self.commands.push(OwnerCommand::Stop(RunCommand {
                runner,
                item: None,
                name: listed.name,
                run: listed.run,
            }));
            self.log_event(
                "stopping an unknown run",
                listed.name.to_string(),
                format!("run={}", listed.run),
            );
            return false;
        };
        if self.run_mut(key, runner, listed.run).is_none() {
            self.adopt(key, runner, listed.run, now);
        }
        if let Some(item) = self.jobs.item_mut(key)
            && !listed.checkpoint.is_empty()
            && item.checkpoint != listed.checkpoint
        {
            item.checkpoint.clone_from(&listed.checkpoint);
            self.share_checkpoint(key, &listed.checkpoint);
        }
        if let Some(booked) = self.run_mut(key, runner, listed.run) {
            if booked.phase == RunPhase::Starting {
                booked.phase = RunPhase::Running { since: now };
            }
            if booked.percent != listed.percent || booked.pace < FULL_PACE {
                booked.percent = listed.percent;
                booked.moved = now;
            }
        }
        true
    }

    /// Books a run that an earlier owner started, and stops it where it is not wanted.
    fn adopt(&mut self, key: ItemKey, runner: RunnerKey, run: u32, now: LocalTime) {
        let Some((job, item)) = self.jobs.item(key) else {
            return;
        };
        let twice = !item.runs.is_empty() && !job.step_of(item).speculative;
        let unwanted = job.phase.is_final() || item.done || twice;
        let name = job.item_name(key.item).to_string();
        self.log_event(
            "run adopted",
            name,
            format!("run={run} wanted={}", !unwanted),
        );
        let phase = RunPhase::Running { since: now };
        self.attach_run(key, runner, run, phase, now);
        if unwanted {
            self.stop_run(key, runner, run);
        }
    }
}
