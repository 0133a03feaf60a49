use {
    super::{OwnerCommand, OwnerState, journal_queue::StoredEffect},
    crate::{
        jobs::{JobId, JobKey, JobPhase, JobState},
        pools::work_left,
        records::JobSubmission,
    },
    goldcreststall_core::ids::{LocalTime, Millis},
    serde::{Deserialize, Serialize},
};

/// Names a call that waits for its response.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// A call about jobs, already routed to its queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum JobCall {
    /// Cancel a job.
    Cancel(JobId),
    /// Count the jobs of the named queue that have not begun.
    Pending(String),
    /// Tell where a job stands.
    State(JobId),
    /// Accept a job.
    Submit(JobId, Box<JobSubmission>),
}

/// The response to a call.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallResponse {
    /// The submission or cancellation is stored.
    Accepted,
    /// Not run: the job's turn would come too late. When to come back.
    Busy(Millis),
    /// No such job.
    Gone,
    /// Jobs that have not begun.
    Pending(u32),
    /// Where the job stands.
    State(JobPhase),
    /// Not run: the owner cannot take it now.
    Unavailable,
    /// The outcome is not known.
    Unknown,
}

impl OwnerState {
    /// Handles a call; its response is a command, at once or when something is stored.
    pub fn call(&mut self, call_id: CallId, call: JobCall, now: LocalTime) {
        match call {
            JobCall::Cancel(id) => self.cancel(call_id, id, now),
            JobCall::Pending(queue) => {
                self.reply(call_id, CallResponse::Pending(self.pending(&queue)))
            }
            JobCall::State(id) => self.reply(call_id, self.job_state(id)),
            JobCall::Submit(id, submission) => self.submit(call_id, id, *submission, now),
        }
    }

    fn reply(&mut self, call_id: CallId, response: CallResponse) {
        self.commands
            .push(OwnerCommand::Reply { call_id, response });
    }

    fn submit(&mut self, call_id: CallId, id: JobId, submission: JobSubmission, now: LocalTime) {
        if let Some(key) = self.jobs.find(id) {
            self.submit_again(call_id, key);
            return;
        }
        let job = JobState::new(id, submission.clone(), now);
        if let Some(after) = self.refusal(&job) {
            let detail = format!("queue={} come_back_ms={}", job.queue.name, after.0);
            self.log_event("job refused", id.to_string(), detail);
            self.reply(call_id, CallResponse::Busy(after));
            return;
        }
        let detail = format!(
            "queue={} service={} steps={} items={} objective_ms={}",
            job.queue.name,
            job.queue.service,
            job.spec.steps.len(),
            job.items.len(),
            job.objective().0
        );
        self.log_event("job submitted", id.to_string(), detail);
        if job.spec.times == 0 {
            let (service, work) = (job.queue.service.clone(), work_left(&job));
            self.arrivals.arrived(&service, work, now);
        }
        let key = self.jobs.insert(job);
        self.journal.submit(key, id, submission);
        self.journal
            .then(StoredEffect::Reply(key, call_id, CallResponse::Accepted));
    }

    fn submit_again(&mut self, call_id: CallId, key: JobKey) {
        if self.jobs.get(key).is_some_and(|job| job.accepted) {
            self.reply(call_id, CallResponse::Accepted);
            return;
        }
        self.journal
            .then(StoredEffect::Reply(key, call_id, CallResponse::Accepted));
    }

    fn cancel(&mut self, call_id: CallId, id: JobId, now: LocalTime) {
        let Some(key) = self.jobs.find(id) else {
            self.reply(call_id, CallResponse::Gone);
            return;
        };
        let stored = self.jobs.get(key).map(|job| job.stored_phase);
        if stored.is_some_and(JobPhase::is_final) {
            self.reply(call_id, CallResponse::Accepted);
            return;
        }
        self.end_job(key, JobPhase::Cancelled, "cancelled by its caller", now);
        self.journal
            .then(StoredEffect::Reply(key, call_id, CallResponse::Accepted));
    }

    fn job_state(&self, id: JobId) -> CallResponse {
        let job = self.jobs.find(id).and_then(|key| self.jobs.get(key));
        match job {
            Some(job) => CallResponse::State(job.visible_phase()),
            None => CallResponse::Gone,
        }
    }

    fn pending(&self, queue: &str) -> u32 {
        let waits = |job: &&JobState| job.accepted && !job.begun && job.queue.name == queue;
        let jobs = self
            .jobs
            .open()
            .iter()
            .filter_map(|key| self.jobs.get(*key));
        jobs.filter(waits).count() as u32
    }

    /// Ends a job: nothing of it starts any more, and what runs is stopped.
    pub(super) fn end_job(&mut self, key: JobKey, phase: JobPhase, why: &str, now: LocalTime) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.phase.is_final() {
            return;
        }
        job.phase = phase;
        job.ended = Some(now);
        let id = job.id;
        self.log_event(
            "job ended",
            id.to_string(),
            format!("phase={phase:?} why={why}"),
        );
        self.journal.mark_dirty(key);
        self.journal.then(StoredEffect::Show(key, phase));
        self.stop_job_runs(key);
    }
}
