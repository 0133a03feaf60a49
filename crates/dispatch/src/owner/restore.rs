use {
    super::OwnerState,
    crate::{
        jobs::{JobId, JobPhase, JobState},
        records::{JobProgress, JobSubmission, StoreRecord},
        runners::{RunnerKey, RunnerReport},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
    std::collections::BTreeMap,
};

/// Maximum age that is assumed for a recovered job. The clocks of entry hosts may differ widely, and an older job is
/// late in any case.
const MAX_RECOVERED_AGE: Millis = Millis(60_000);
/// Run numbers start at this multiple of the token, which skips those that earlier owners may have used: the token
/// rises faster than they do.
const RUNS_PER_TOKEN: u64 = 16;
/// Highest run number with which a term begins, so that its starts have numbers left.
const MAX_FIRST_RUN: u32 = u32::MAX / 2;

impl OwnerState {
    /// Recovers the jobs and waves from the records of the store. Submissions and progress may come in any order.
    /// `wall_ms` is the time of day in Unix milliseconds; it gives the approximate age of the jobs, so that late jobs
    /// are not treated as new.
    pub fn restore(&mut self, records: Vec<StoreRecord>, now: LocalTime, wall_ms: u64) {
        // The time until the store was read is no stall.
        self.last_tick = now;
        let mut progress: BTreeMap<_, JobProgress> = BTreeMap::new();
        let mut submissions: Vec<(JobId, JobSubmission)> = Vec::new();
        let mut fenced_restarts = Vec::new();
        for record in records {
            match record {
                StoreRecord::Submission(id, submission) => submissions.push((id, submission)),
                StoreRecord::Progress(id, stored) => {
                    progress.insert(id, stored);
                }
                StoreRecord::Wave(number, stored) => self.waves.restore(number, stored),
                StoreRecord::Restarted(id, restart) => self.restore_restart(id, restart),
                StoreRecord::RestartFenced(id) => fenced_restarts.push(id),
                StoreRecord::TermStarted(token) => self.restore_term(token),
                StoreRecord::Ended(..)
                | StoreRecord::Forgotten(_)
                | StoreRecord::RestartSettled(_)
                | StoreRecord::TermSettled(_)
                | StoreRecord::Text(..) => {}
            }
        }
        for id in fenced_restarts {
            self.restore_fenced_restart(id);
        }
        submissions.retain(|(id, submission)| {
            let checked = submission.job.check();
            if let Err(error) = &checked {
                self.log_event("stored job skipped", id.to_string(), error.to_string());
            }
            checked.is_ok()
        });
        let restored = submissions.len();
        for (id, submission) in submissions {
            let age = match submission.accepted_ms {
                0 => Millis(0),
                accepted_ms => Millis(wall_ms.saturating_sub(accepted_ms)).min(MAX_RECOVERED_AGE),
            };
            let mut job = JobState::dormant(id, submission, now - age);
            job.queue = self.queues.share(&job.queue);
            job.organisation_key = self
                .organisations
                .intern(job.organisation.as_deref(), &self.rules);
            job.accepted = true;
            let stored = progress.get(&id);
            if stored.is_some_and(JobProgress::needs_items) {
                job.create_items(self.last_earlier_run());
            }
            if let Some(stored) = stored {
                job.restore(stored);
            }
            if job.phase.is_final() {
                job.ended = Some(now);
            } else if job.complete_if_done() {
                job.ended = Some(now);
                job.stored_phase = JobPhase::Completed;
            }
            job.unconfirmed = true;
            job.has_text = !job.spec.spec.is_empty();
            let is_dormant = job.is_dormant;
            let key = self.jobs.insert(job);
            if is_dormant {
                self.dormant_jobs.push(key);
            }
            progress.remove(&id);
        }
        for (id, stored) in progress {
            if stored.phase.is_final() {
                self.jobs.insert(JobState::ended(id, stored.phase, now));
            }
        }
        self.wake_recovered();
        if restored == 0 {
            // No job was accepted before this term, so that there can be no unknown run.
            self.recovered = true;
        }
        let detail = format!(
            "unfinished_jobs={restored} dormant={} job_bytes={}",
            self.dormant_jobs.len(),
            self.jobs.held().total
        );
        self.log_event("store read", format!("token {}", self.token), detail);
    }

    /// Returns the highest run number that earlier owners may have used.
    pub(super) fn last_earlier_run(&self) -> u32 {
        let run = self.token.saturating_mul(RUNS_PER_TOKEN);
        u32::try_from(run).map_or(MAX_FIRST_RUN, |run| run.min(MAX_FIRST_RUN))
    }

    /// Adds texts of recovered jobs, which can then start. `complete` tells that no more texts are stored: jobs without
    /// one have an empty text.
    pub fn texts_restored(&mut self, texts: Vec<(JobId, String)>, complete: bool) {
        for (id, text) in texts {
            let key = self.jobs.find(id);
            if let Some(key) = key
                && self.jobs.get(key).is_some_and(|job| !job.has_text)
            {
                self.jobs.set_text(key, text);
            }
        }
        if complete {
            for key in self.jobs.unfinished().to_vec() {
                if let Some(job) = self.jobs.get_mut(key) {
                    job.has_text = true;
                }
            }
            self.log_event("texts read", format!("token {}", self.token), String::new());
        }
        self.placement_due = true;
    }

    /// Handles the complete list of runners.
    pub fn runners_listed(&mut self, reports: Vec<RunnerReport>, now: LocalTime) {
        let listed: Vec<String> = reports.iter().map(|report| report.id.clone()).collect();
        let deferred_before = std::mem::take(&mut self.deferred_reports);
        for report in reports {
            self.handle_report(report, now);
        }
        for report in &self.deferred_reports {
            let key = self.runners.find(&report.id);
            if !deferred_before.contains(report)
                && let Some(state) = key.and_then(|key| self.runners.get_mut(key))
            {
                state.in_doubt = true;
            }
        }
        for key in self.runners.keys() {
            let Some(state) = self.runners.get_mut(key) else {
                continue;
            };
            if state.listed && !listed.contains(&state.report.id) {
                state.listed = false;
                let id = state.report.id.clone();
                let age = now.since(state.last_response).0;
                self.log_event(
                    "runner gone from the list",
                    id,
                    format!("last_answer_ms={age}"),
                );
            }
        }
        self.has_runner_list = true;
        self.placement_due = true;
    }

    fn handle_report(&mut self, report: RunnerReport, now: LocalTime) {
        let found = self.runners.find(&report.id);
        let state = found.and_then(|key| self.runners.get_mut(key));
        if let Some(state) = state
            && state.report.started_ms == report.started_ms
        {
            let changed = state.report.status != report.status || !state.listed;
            let is_news = changed && !state.has_ended;
            state.listed = true;
            state.report = report;
            if is_news {
                let id = state.report.id.clone();
                let detail = format!("status={:?}", state.report.status);
                self.log_event("runner changed", id, detail);
            }
            return;
        }
        if found.is_some_and(|key| self.is_overtaken(key, &report)) {
            self.deferred_reports.push(report);
            return;
        }
        let detail = format!("service={} born={}", report.service, report.started_ms);
        self.log_event("runner seen", report.id.clone(), detail);
        let (next, replaced) = self.runners.insert(report, self.token, now);
        if let Some(old) = replaced {
            self.end_replaced(old, next, "a new instance is listed", now);
        }
    }

    /// Returns whether a report is of an instance that started before the known one, which may still run: a heartbeat of
    /// an ended instance can be stored late. Only the known one tells, by its response or its silence, because the time
    /// of day of its host may also have been set back between the two.
    fn is_overtaken(&self, known: RunnerKey, report: &RunnerReport) -> bool {
        let Some(state) = self.runners.get(known) else {
            return false;
        };
        let is_gone = state.has_ended || (state.missed_holds > 0 && state.items.is_empty());
        report.started_ms < state.report.started_ms && !is_gone
    }

    /// Handles the reports again that were deferred.
    pub(super) fn retry_deferred(&mut self, now: LocalTime) {
        for report in std::mem::take(&mut self.deferred_reports) {
            self.handle_report(report, now);
        }
    }
}
