use {
    super::{OwnerState, journal_queue::StoredEffect},
    crate::{
        jobs::{ItemKey, JobPhase, JobState},
        runners::{EndKind, EndedRun, RunnerKey},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// How long the next hold call waits at most for the ends that the last one returned to be stored.
const STORE_TIMEOUT: Millis = Millis(250);
/// From the second consecutive failed run on, a runner gets no new work for this time multiplied by their number.
const FAILURE_COOLDOWN: Millis = Millis(1_500);
/// Maximum number of consecutive failed runs that lengthen this time.
const MAX_COUNTED_FAILURES: u32 = 4;

impl OwnerState {
    /// Handles the ends that a runner lists. An end is listed again until it is acknowledged, and is then ignored.
    pub(super) fn handle_ends(&mut self, key: RunnerKey, ended: &[EndedRun], now: LocalTime) {
        let processed = self.runners.get(key).map_or(0, |state| state.processed);
        let mut highest = processed;
        for end in ended {
            if end.number <= processed {
                continue;
            }
            highest = highest.max(end.number);
            self.handle_end(key, end, now);
        }
        if highest == processed {
            return;
        }
        if let Some(state) = self.runners.get_mut(key) {
            state.processed = highest;
            state.next_hold = now + STORE_TIMEOUT;
        }
        // An end that needs no record waits too, so that an acknowledgement never covers an earlier end that is not
        // stored.
        self.journal
            .on_stored(StoredEffect::Acknowledge(key, highest));
    }

    fn handle_end(&mut self, runner: RunnerKey, end: &EndedRun, now: LocalTime) {
        self.wake_listed(end.name.job);
        let Some(key) = self.jobs.find_item(&end.name) else {
            self.log_event(
                "end of an unknown job",
                end.name.to_string(),
                format!("{:?}", end.kind),
            );
            return;
        };
        let sent = self.run_mut(key, runner, end.run).map(|run| run.sent);
        if end.kind == EndKind::Done {
            self.learn_duration(key, runner, end.run, now);
        }
        let was_recorded = self.detach_run(key, runner, end.run, now);
        if !matches!(end.kind, EndKind::Done) {
            let detail = format!("run={} how={:?} booked={was_recorded}", end.run, end.kind);
            self.log_event("run ended", end.name.to_string(), detail);
        }
        if let Some(item) = self.jobs.item_mut(key) {
            item.last_run = item.last_run.max(end.run);
            if end.kind == EndKind::Done && item.checkpoint.is_empty() {
                item.run_time = sent.map(|sent| now.since(sent));
            }
            if !end.checkpoint.is_empty() {
                item.checkpoint.clone_from(&end.checkpoint);
            }
        }
        if !end.checkpoint.is_empty() {
            self.share_checkpoint(key, &end.checkpoint);
        }
        if end.kind != EndKind::Done {
            self.stop_gang(key, end.run);
        }
        match end.kind {
            EndKind::Done => self.item_done(key, runner, now),
            EndKind::Failed => self.item_failed(key, runner, end.run, now),
            EndKind::Alone | EndKind::Broken | EndKind::Lapsed | EndKind::Stopped => {}
        }
    }

    fn item_done(&mut self, key: ItemKey, runner: RunnerKey, now: LocalTime) {
        if let Some(state) = self.runners.get_mut(runner) {
            state.consecutive_failures = 0;
        }
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        job.started = true;
        let item = &mut job.items[key.item as usize];
        let (occurrence, step) = (item.occurrence, item.step);
        let is_long_running = job.spec.steps[step as usize].long_running;
        if is_long_running || item.done {
            return;
        }
        item.done = true;
        if job.spec.steps[step as usize].gang {
            // The success of one member is the success of all members of the gang.
            for index in job.step_range(occurrence, step) {
                job.items[index as usize].done = true;
            }
        }
        let completed = job.complete_if_done();
        if completed {
            job.ended = Some(now);
            let id = job.id;
            let detail = format!(
                "phase=Completed took_ms={} objective_ms={}",
                now.since(job.first_seen).0,
                job.latency_objective().0
            );
            self.log_event("job ended", id.to_string(), detail);
            self.journal
                .on_stored(StoredEffect::Show(key.job, JobPhase::Completed));
        }
        self.journal.mark_dirty(key.job);
        self.stop_item_runs(key);
    }

    fn item_failed(&mut self, key: ItemKey, runner: RunnerKey, run: u32, now: LocalTime) {
        if let Some(state) = self.runners.get_mut(runner) {
            state.consecutive_failures += 1;
            if state.consecutive_failures > 1 {
                let counted_failures = state.consecutive_failures.min(MAX_COUNTED_FAILURES);
                state.cooldown_until =
                    now + Millis(FAILURE_COOLDOWN.0 * u64::from(counted_failures));
                let id = state.report.id.clone();
                let detail = format!("failed_runs_in_a_row={counted_failures}");
                self.log_event("runner avoided", id, detail);
            }
        }
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        job.started = true;
        let attempts = job.queue.attempts;
        let item = &mut job.items[key.item as usize];
        item.failed_on = Some((runner, now));
        let is_long_running = job.spec.steps[item.step as usize].long_running;
        if is_long_running || item.done || item.failed_runs.contains(&run) {
            return;
        }
        item.failed_runs.push(run);
        let (occurrence, step) = (item.occurrence, item.step);
        let failed = if job.spec.steps[step as usize].gang {
            failed_gang_runs(job, occurrence, step)
        } else {
            job.items[key.item as usize].failed_runs.len()
        };
        let attempts_used_up = failed >= attempts as usize;
        self.journal.mark_dirty(key.job);
        if attempts_used_up {
            self.end_job(
                key.job,
                JobPhase::Failed,
                "a work item used up its attempts",
                now,
            );
        }
    }
}

/// Returns the number of runs of a gang in which any member has failed.
fn failed_gang_runs(job: &JobState, occurrence: u32, step: u32) -> usize {
    let members = job.step_items(occurrence, step);
    let mut runs: Vec<u32> = members
        .iter()
        .flat_map(|item| item.failed_runs.iter().copied())
        .collect();
    runs.sort_unstable();
    runs.dedup();
    runs.len()
}
