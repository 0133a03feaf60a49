use {
    goldcreststall_adapter_standin::{CallOutcome, QueueShape, WorkPlan},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::jobs::{JobId, JobPhase, JobSpec},
    parking_lot::Mutex,
};

/// Intended course of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobKind {
    /// The caller cancels it shortly after its acceptance.
    Cancelled,
    /// Every attempt to run it fails.
    Hopeless,
    /// It is long-running and stays at work until the end of the run.
    Lasting,
    /// It completes by itself.
    Passing,
}

/// A job and what callers know about it.
#[derive(Clone, Debug)]
pub struct SubmittedJob {
    /// Id chosen by the caller.
    pub id: JobId,
    /// Queue that the job is submitted to.
    pub queue: QueueShape,
    /// Submitted job specification.
    pub spec: JobSpec,
    /// Intended course of the job.
    pub kind: JobKind,
    /// When the first attempt to submit it was about to be sent.
    pub sent: Millis,
    /// When it was acknowledged as accepted.
    pub accepted: Option<Millis>,
    /// At least one attempt to submit it ended without a known outcome.
    pub outcome_unknown: bool,
    /// All attempts to submit it have ended without acceptance.
    pub given_up: bool,
    /// When the first cancel request was sent.
    pub cancel_sent: Option<Millis>,
    /// When a cancel request was acknowledged.
    pub cancelled: Option<Millis>,
    /// First final phase that was reported to a caller, and when.
    pub final_phase: Option<(JobPhase, Millis)>,
    /// Responses to callers that contradict an earlier response, with the time of each.
    pub contradictions: Vec<(Millis, String)>,
}

impl SubmittedJob {
    /// Creates a job that is about to be submitted for the first time.
    pub fn new(id: JobId, queue: QueueShape, spec: JobSpec, kind: JobKind, sent: Millis) -> Self {
        Self {
            id,
            queue,
            spec,
            kind,
            sent,
            accepted: None,
            outcome_unknown: false,
            given_up: false,
            cancel_sent: None,
            cancelled: None,
            final_phase: None,
            contradictions: Vec::new(),
        }
    }

    /// Records the outcome of an attempt to submit the job.
    pub fn record_submission(&mut self, outcome: CallOutcome, now: Millis) {
        match outcome {
            CallOutcome::Accepted => self.accepted = self.accepted.or(Some(now)),
            CallOutcome::Refused | CallOutcome::NoQueue => {}
            CallOutcome::Unauthorized => self.record_refused_key(now),
            _ => self.outcome_unknown = true,
        }
    }

    /// Records the response to a state query that was sent at `sent`.
    ///
    /// It contradicts only what was known before `sent`, since calls run in parallel.
    pub fn record_state(&mut self, outcome: CallOutcome, sent: Millis, now: Millis) {
        let was_accepted = self.accepted.is_some_and(|accepted| accepted < sent);
        let phase = match outcome {
            CallOutcome::State(phase) => phase,
            CallOutcome::Unauthorized => {
                self.record_refused_key(now);
                return;
            }
            CallOutcome::Gone if was_accepted => {
                self.contradictions
                    .push((now, "an accepted job is unknown".to_owned()));
                return;
            }
            _ => return,
        };
        if let Some((reported, since)) = self.final_phase {
            if since < sent && reported != phase {
                self.contradictions
                    .push((now, format!("{phase:?} was reported after {reported:?}")));
            }
        } else if phase.is_final() {
            self.final_phase = Some((phase, now));
        }
    }

    /// Every configuration of a run has the same keys, so that none may be refused.
    fn record_refused_key(&mut self, now: Millis) {
        self.contradictions
            .push((now, "a valid key was refused".to_owned()));
    }

    /// Decodes the work plan from the job specification; empty if it cannot be parsed.
    pub fn plan(&self) -> WorkPlan {
        serde_json::from_str(&self.spec.spec).unwrap_or_default()
    }
}

/// All jobs of a run, sorted by id.
#[derive(Debug, Default)]
pub struct SubmittedJobs {
    jobs: Mutex<Vec<SubmittedJob>>,
}

impl SubmittedJobs {
    /// Adds a job; does nothing if its id is already present.
    pub fn add(&self, job: SubmittedJob) {
        let mut jobs = self.jobs.lock();
        let index = jobs.binary_search_by_key(&job.id, |other| other.id);
        if let Err(index) = index {
            jobs.insert(index, job);
        }
    }

    /// Applies `update` to a job; does nothing if the id is unknown.
    pub fn update(&self, id: JobId, update: impl FnOnce(&mut SubmittedJob)) {
        let mut jobs = self.jobs.lock();
        if let Ok(index) = jobs.binary_search_by_key(&id, |job| job.id) {
            update(&mut jobs[index]);
        }
    }

    /// Returns a copy of a job.
    pub fn get(&self, id: JobId) -> Option<SubmittedJob> {
        let jobs = self.jobs.lock();
        let index = jobs.binary_search_by_key(&id, |job| job.id).ok()?;
        Some(jobs[index].clone())
    }

    /// Returns copies of all jobs, sorted by id.
    pub fn all(&self) -> Vec<SubmittedJob> {
        self.jobs.lock().clone()
    }
}
