use {
    super::{OwnerCommand, OwnerState, RunCommand, hold_planner::STOP_RETRY_INTERVAL},
    crate::{
        jobs::{ItemKey, ItemName, ItemRun, MAX_PACE_PERCENT, RunPhase},
        runners::{HoldResponse, ListedRun, RunnerKey, RunnerReport},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Delay of the next hold call after one without a response.
const RETRY_DELAY: Millis = Millis(200);
/// Delay of the next hold call after one with a response, so that several ends are returned together.
const HOLD_DELAY: Millis = Millis(25);
/// The same for an instance that is not fenced yet, until the restart is stored and the owner's term renewed.
const UNFENCED_HOLD_DELAY: Millis = Millis(50);
/// Number of ends in one response from which on the runner may have more that it does not list.
const MAX_LISTED_ENDS: usize = 500;

impl OwnerState {
    /// Records that a hold call got no response.
    pub fn hold_missed(&mut self, runner: RunnerKey, now: LocalTime) {
        let Some(state) = self.runners.get_mut(runner) else {
            return;
        };
        state.hold_sent = None;
        state.missed_holds += 1;
        state.next_hold = now + RETRY_DELAY;
        if state.missed_holds == 1 {
            let id = state.report.id.clone();
            let age = now.since(state.last_response);
            let detail = format!(
                "last_answer_ms={} {}",
                age.0,
                self.lease_evidence(runner, now)
            );
            self.log_event("runner silent", id, detail);
        }
    }

    /// Handles the response to a hold call that was sent at `sent` and acknowledged ends up to `last_seen`.
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
        state.acknowledged = state.acknowledged.max(last_seen);
        let other_instance = response
            .started_ms
            .filter(|started_ms| *started_ms != state.report.started_ms);
        let key = match other_instance {
            Some(started_ms) => match self.replace_instance(key, started_ms, now) {
                Some(next) => next,
                None => return,
            },
            None => key,
        };
        let Some(state) = self.runners.get_mut(key) else {
            return;
        };
        state.missed_holds = 0;
        state.in_doubt = false;
        state.last_response = now;
        state.record_list(now);
        state.clock.record_reading(response.clock_ms, now);
        // An instance that only now became known has not been called with a token of its own.
        let is_fenced = state.has_own_token();
        let delay = if is_fenced {
            HOLD_DELAY
        } else {
            UNFENCED_HOLD_DELAY
        };
        state.next_hold = now + delay;
        let has_ended = state.has_ended;
        let lists_all_ends = response.ended.len() < MAX_LISTED_ENDS;
        self.handle_ends(key, &response.ended, now);
        if has_ended {
            // The call was sent before; its runs have ended with the instance.
            return;
        }
        if is_fenced {
            self.record_fence(key, now);
        }
        let is_known_instance = response.started_ms.is_some();
        self.handle_running(key, &response.running, is_known_instance, now);
        if lists_all_ends && is_fenced {
            self.detach_unlisted(key, sent, &response, now);
        }
        self.control_pace(key, &response.running, now);
        self.placement_due = true;
    }

    /// Records that an instance has responded to a call with its own token.
    fn record_fence(&mut self, key: RunnerKey, now: LocalTime) {
        let Some(state) = self.runners.get_mut(key).filter(|state| !state.fenced) else {
            return;
        };
        state.record_fence();
        let id = state.report.id.clone();
        self.record_fenced_restart(&id, now);
        self.record_first_answer(key, now);
    }

    /// Ends an instance because another one has responded under its id. Returns the key of that one; `None` if a later
    /// one is known already.
    fn replace_instance(
        &mut self,
        key: RunnerKey,
        started_ms: u64,
        now: LocalTime,
    ) -> Option<RunnerKey> {
        let state = self.runners.get(key)?;
        let is_newest = !state.has_ended && self.runners.find(&state.report.id) == Some(key);
        let report = RunnerReport {
            started_ms,
            ..state.report.clone()
        };
        if !is_newest {
            self.end_runner(key, "a new instance responded", now);
            return None;
        }
        let (next, _) = self.runners.insert(report, self.token, now);
        self.end_replaced(key, next, "a new instance responded", now);
        // It may be of another kind, so that it gets no work before the list contains it.
        self.runners.get_mut(next)?.listed = false;
        Some(next)
    }

    /// Handles the runs that a runner lists. `is_known_instance` tells that the list names its instance.
    fn handle_running(
        &mut self,
        runner: RunnerKey,
        running: &[ListedRun],
        is_known_instance: bool,
        now: LocalTime,
    ) {
        let mut unknown_runs = Vec::new();
        for listed in running {
            if !self.handle_listed(runner, listed, is_known_instance, now) {
                let stopped_at = self.stop_unknown_run(runner, listed, now);
                unknown_runs.push((listed.name, listed.run, stopped_at));
            }
        }
        if let Some(state) = self.runners.get_mut(runner) {
            state.unknown_runs = unknown_runs;
        }
    }

    /// Removes the runs that the response to a hold call sent at `sent` lists neither as running nor as ended. Only a
    /// complete list of ends proves that such a run has no end that is still to come.
    fn detach_unlisted(
        &mut self,
        runner: RunnerKey,
        sent: LocalTime,
        response: &HoldResponse,
        now: LocalTime,
    ) {
        for (key, recorded_run) in self.runs_on(runner) {
            let name = self.jobs.get(key.job).map(|job| job.item_name(key.item));
            let is_listed = response
                .running
                .iter()
                .any(|listed| Some(listed.name) == name && listed.run == recorded_run.run);
            if !is_listed && recorded_run.ended_if_unlisted(sent, response.clock_ms) {
                self.log_void_run(key, &recorded_run, response.clock_ms);
                self.detach_run(key, runner, recorded_run.run, now);
            }
        }
    }

    /// Logs a run that is not listed and whose start or stop had no response; it never began or has ended.
    fn log_void_run(&mut self, key: ItemKey, recorded_run: &ItemRun, clock_ms: u64) {
        let is_unconfirmed = matches!(recorded_run.phase, RunPhase::Starting | RunPhase::Stopping);
        let Some(job) = self.jobs.get(key.job).filter(|_| is_unconfirmed) else {
            return;
        };
        let name = job.item_name(key.item).to_string();
        let late_ms = clock_ms.saturating_sub(recorded_run.start_deadline_ms);
        let detail = format!(
            "run={} phase={:?} not listed, deadline passed {late_ms} ms ago",
            recorded_run.run, recorded_run.phase
        );
        self.log_event("run void", name, detail);
    }

    /// Handles one run that a runner lists. Returns false when the run and its use of capacity are unknown.
    fn handle_listed(
        &mut self,
        runner: RunnerKey,
        listed: &ListedRun,
        is_known_instance: bool,
        now: LocalTime,
    ) -> bool {
        self.wake_listed(listed.name.job);
        let Some(key) = self.jobs.find_item(&listed.name) else {
            return false;
        };
        if self.run_mut(key, runner, listed.run).is_none() {
            self.adopt_run(key, runner, listed.run, now);
        }
        if let Some(item) = self.jobs.item_mut(key)
            && !listed.checkpoint.is_empty()
            && item.checkpoint != listed.checkpoint
        {
            item.checkpoint.clone_from(&listed.checkpoint);
            self.share_checkpoint(key, &listed.checkpoint);
        }
        if let Some(recorded_run) = self.run_mut(key, runner, listed.run) {
            recorded_run.listed |= is_known_instance;
            if recorded_run.phase == RunPhase::Starting {
                recorded_run.phase = RunPhase::Running { since: now };
            }
            if recorded_run.percent != listed.percent || recorded_run.pace < MAX_PACE_PERCENT {
                recorded_run.percent = listed.percent;
                // While the run is to stop, the time is that of its last stop.
                if recorded_run.phase != RunPhase::Stopping {
                    recorded_run.progressed_at = now;
                }
            }
        }
        true
    }

    /// Issues a stop of a run whose job is not known, unless one was issued recently. Returns when the last one was.
    fn stop_unknown_run(
        &mut self,
        runner: RunnerKey,
        listed: &ListedRun,
        now: LocalTime,
    ) -> LocalTime {
        let is_same = |(name, run, _): &&(ItemName, u32, LocalTime)| {
            *name == listed.name && *run == listed.run
        };
        let state = self.runners.get(runner);
        let known = state.and_then(|state| state.unknown_runs.iter().find(is_same));
        if let Some((_, _, stopped_at)) = known
            && now.since(*stopped_at) <= STOP_RETRY_INTERVAL
        {
            return *stopped_at;
        }
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
        now
    }

    /// Records a run that an earlier owner started, and stops it if it is not wanted.
    fn adopt_run(&mut self, key: ItemKey, runner: RunnerKey, run: u32, now: LocalTime) {
        let Some((job, item)) = self.jobs.item(key) else {
            return;
        };
        let duplicate = !item.runs.is_empty() && !job.step_of(item).speculative;
        let unwanted = job.phase.is_final() || item.done || duplicate;
        let name = job.item_name(key.item).to_string();
        self.log_event(
            "run adopted",
            name,
            format!("run={run} wanted={}", !unwanted),
        );
        self.attach_run(key, ItemRun::adopted(run, runner, now));
        if unwanted {
            self.stop_run(key, runner, run);
        }
    }
}
