use {
    goldcreststall_adapter_standin::{CallOutcome, QueueShape, WorkPlan},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::jobs::{JobId, JobPhase, JobSpec},
    parking_lot::Mutex,
};

/// What a job is meant to become.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobKind {
    /// Its caller cancels it after a while.
    Cancelled,
    /// It can never be done.
    Hopeless,
    /// It runs until the end of the soak.
    Lasting,
    /// It ends by itself.
    Passing,
}

/// What callers know of one job.
#[derive(Clone, Debug)]
pub struct SubmittedJob {
    /// Its id.
    pub id: JobId,
    /// Its queue.
    pub queue: QueueShape,
    /// What was handed in.
    pub job: JobSpec,
    /// What it is meant to become.
    pub kind: JobKind,
    /// When it was first sent.
    pub sent: Millis,
    /// When it was accepted.
    pub accepted: Option<Millis>,
    /// An attempt to hand it in has an open outcome.
    pub open_outcome: bool,
    /// All attempts to hand it in are over.
    pub given_up: bool,
    /// When its cancelling was first sent.
    pub cancel_sent: Option<Millis>,
    /// When its cancelling was acknowledged.
    pub cancelled: Option<Millis>,
    /// The final phase that a caller was shown first, and when.
    pub shown: Option<(JobPhase, Millis)>,
    /// What callers were told that contradicts an earlier answer.
    pub contradictions: Vec<(Millis, String)>,
}

impl SubmittedJob {
    /// Creates the entry of a job that is about to be sent.
    pub fn new(id: JobId, queue: QueueShape, job: JobSpec, kind: JobKind, sent: Millis) -> Self {
        Self {
            id,
            queue,
            job,
            kind,
            sent,
            accepted: None,
            open_outcome: false,
            given_up: false,
            cancel_sent: None,
            cancelled: None,
            shown: None,
            contradictions: Vec::new(),
        }
    }

    /// Takes note of the answer to an attempt to hand the job in.
    pub fn submitted(&mut self, outcome: CallOutcome, now: Millis) {
        match outcome {
            CallOutcome::Accepted => self.accepted = self.accepted.or(Some(now)),
            CallOutcome::Refused | CallOutcome::NoQueue => {}
            _ => self.open_outcome = true,
        }
    }

    /// Takes note of the answer to a question about the job's state that was asked at `asked`.
    pub fn stated(&mut self, outcome: CallOutcome, asked: Millis, now: Millis) {
        let known = self.accepted.is_some_and(|accepted| accepted < asked);
        let phase = match outcome {
            CallOutcome::State(phase) => phase,
            CallOutcome::Gone if known => {
                self.contradictions
                    .push((now, "an accepted job is not known".to_owned()));
                return;
            }
            _ => return,
        };
        if let Some((shown, since)) = self.shown {
            if since < asked && shown != phase {
                self.contradictions
                    .push((now, format!("{phase:?} was shown after {shown:?}")));
            }
        } else if phase.is_final() {
            self.shown = Some((phase, now));
        }
    }

    /// Returns the work of the job.
    pub fn plan(&self) -> WorkPlan {
        serde_json::from_str(&self.job.spec).unwrap_or_default()
    }
}

/// All jobs of a run, sorted by id.
#[derive(Debug, Default)]
pub struct SubmittedJobs {
    entries: Mutex<Vec<SubmittedJob>>,
}

impl SubmittedJobs {
    /// Adds a job.
    pub fn add(&self, entry: SubmittedJob) {
        let mut entries = self.entries.lock();
        let place = entries.binary_search_by_key(&entry.id, |own| own.id);
        if let Err(place) = place {
            entries.insert(place, entry);
        }
    }

    /// Changes the entry of a job.
    pub fn change(&self, id: JobId, change: impl FnOnce(&mut SubmittedJob)) {
        let mut entries = self.entries.lock();
        if let Ok(place) = entries.binary_search_by_key(&id, |own| own.id) {
            change(&mut entries[place]);
        }
    }

    /// Returns the entry of a job.
    pub fn get(&self, id: JobId) -> Option<SubmittedJob> {
        let entries = self.entries.lock();
        let place = entries.binary_search_by_key(&id, |own| own.id).ok()?;
        Some(entries[place].clone())
    }

    /// Returns all entries.
    pub fn all(&self) -> Vec<SubmittedJob> {
        self.entries.lock().clone()
    }
}
