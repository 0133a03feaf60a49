use {
    super::{OwnerCommand, OwnerState, journal_queue::StoredEffect},
    crate::{
        jobs::{JobId, JobKey, JobPhase, JobState},
        organisations::ResourceUse,
        pools::work_left,
        records::JobSubmission,
    },
    goldcreststall_core::ids::{LocalTime, Millis},
    serde::{Deserialize, Serialize},
};

/// Id of a call that waits for its response.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// A call of the job interface, already routed to its queue. The encoding numbers the variants, and entry hosts of other
/// versions know these numbers: new variants go to the end.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum JobCall {
    /// Cancel a job.
    Cancel(JobId),
    /// Count the jobs of the named queue that have not started.
    Pending(String),
    /// Query the state of a job.
    State(JobId),
    /// Submit a job without an organisation.
    Submit(JobId, Box<JobSubmission>),
    /// Submit a job of the named organisation.
    SubmitFor(JobId, Box<JobSubmission>, String),
    /// Cancel a job on behalf of the named organisation, or of a caller without a key.
    CancelFor(JobId, Option<String>),
    /// Query the state of a job on behalf of the named organisation, or of a caller without a key.
    StateFor(JobId, Option<String>),
}

/// The response to a call. New variants go to the end, as in [`JobCall`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CallResponse {
    /// The submission or cancellation is stored.
    Accepted,
    /// Not executed: the job would be placed too late. Time after which to retry.
    Busy(Millis),
    /// The job does not exist.
    Gone,
    /// Number of jobs that have not started.
    Pending(u32),
    /// State of the job.
    State(JobPhase),
    /// Not executed: the owner cannot accept the call now.
    Unavailable,
    /// The outcome is unknown.
    Unknown,
    /// Not executed: the organisation of the job is above its rate and capacity is short. Time after which to retry.
    OverRate(Millis),
}

impl JobCall {
    /// Returns the id of the job that the call submits.
    pub fn submitted_id(&self) -> Option<JobId> {
        match self {
            Self::Submit(id, _) | Self::SubmitFor(id, ..) => Some(*id),
            Self::Cancel(_)
            | Self::CancelFor(..)
            | Self::Pending(_)
            | Self::State(_)
            | Self::StateFor(..) => None,
        }
    }

    /// Returns whether the call changes a job.
    pub fn is_change(&self) -> bool {
        self.submitted_id().is_some() || matches!(self, Self::Cancel(_) | Self::CancelFor(..))
    }
}

impl OwnerState {
    /// Handles a call. Its response is issued as a command, immediately or once the records that it depends on are
    /// stored.
    pub fn call(&mut self, call_id: CallId, call: JobCall, now: LocalTime) {
        match call {
            JobCall::Cancel(id) => self.cancel(call_id, id, now),
            JobCall::CancelFor(id, caller) if self.may_cancel(id, caller.as_deref()) => {
                self.cancel(call_id, id, now);
            }
            JobCall::StateFor(id, caller) if self.may_see(id, caller.as_deref()) => {
                self.reply(call_id, self.job_state(id));
            }
            JobCall::CancelFor(..) | JobCall::StateFor(..) => {
                self.reply(call_id, CallResponse::Gone);
            }
            JobCall::Pending(queue) => {
                self.reply(call_id, CallResponse::Pending(self.pending(&queue)))
            }
            JobCall::State(id) => self.reply(call_id, self.job_state(id)),
            JobCall::Submit(id, submission) => self.submit(call_id, id, *submission, now),
            JobCall::SubmitFor(id, mut submission, organisation) => {
                submission.organisation = Some(organisation);
                self.submit(call_id, id, *submission, now);
            }
        }
    }

    /// Returns whether a job with this id was submitted, even if it is not stored yet.
    pub fn knows_job(&self, id: JobId) -> bool {
        self.jobs.find(id).is_some()
    }

    /// Returns whether a caller may cancel a job: one of an organisation only with a key of it.
    fn may_cancel(&self, id: JobId, caller: Option<&str>) -> bool {
        let organisation = self.organisation_of(id);
        organisation.is_none() || organisation == caller
    }

    /// Returns whether a caller may see the state of a job: one of an organisation only with a key, of whichever
    /// organisation.
    fn may_see(&self, id: JobId, caller: Option<&str>) -> bool {
        caller.is_some() || self.organisation_of(id).is_none()
    }

    fn organisation_of(&self, id: JobId) -> Option<&str> {
        let job = self.jobs.find(id).and_then(|key| self.jobs.get(key))?;
        job.organisation.as_deref()
    }

    fn reply(&mut self, call_id: CallId, response: CallResponse) {
        self.commands
            .push(OwnerCommand::Reply { call_id, response });
    }

    fn submit(&mut self, call_id: CallId, id: JobId, submission: JobSubmission, now: LocalTime) {
        if let Some(key) = self.jobs.find(id) {
            self.resubmit(call_id, key);
            return;
        }
        // The calling entry host has checked it, but an unchecked one would stop the owner.
        if let Err(error) = submission.job.check() {
            self.log_event("job refused", id.to_string(), format!("why={error}"));
            self.reply(call_id, CallResponse::Unavailable);
            return;
        }
        let accepted_ms = submission.accepted_ms;
        let mut job = JobState::new(id, submission, now);
        job.queue = self.queues.share(&job.queue);
        job.organisation_key = self
            .organisations
            .intern(job.organisation.as_deref(), &self.rules);
        if let Err((reason, retry_after)) = self.check_submission(&job, now) {
            self.refusals[reason as usize] += 1;
            let mut detail = format!(
                "queue={} come_back_ms={} why={}",
                job.queue.name,
                retry_after.0,
                reason.name()
            );
            if let Some(organisation) = &job.organisation {
                detail += &format!(" organisation={organisation}");
            }
            self.log_event("job refused", id.to_string(), detail);
            self.reply(call_id, reason.response(retry_after));
            return;
        }
        let detail = format!(
            "queue={} service={} steps={} items={} objective_ms={}",
            job.queue.name,
            job.queue.service,
            job.spec.steps.len(),
            job.items.len(),
            job.latency_objective().0
        );
        self.log_event("job submitted", id.to_string(), detail);
        if job.spec.times == 0 {
            let work = work_left(&job, self.largest_capacity());
            let service = job.queue.service.clone();
            // What a quota does not allow to run is no demand.
            let work = match self.arriving_percent(&job) {
                100 => work,
                percent => work.saturating_mul(percent) / 100,
            };
            self.arrivals.record_arrival(&service, work, now);
        }
        let key = self.jobs.insert(job);
        self.journal.submit(key, accepted_ms);
        self.journal
            .on_stored(StoredEffect::Reply(key, call_id, CallResponse::Accepted));
    }

    /// Returns how much of an arriving job the quota of its organisation may allow to run, in percent.
    fn arriving_percent(&mut self, job: &JobState) -> u64 {
        if !self.organisations.is_limited(job.organisation_key) {
            return 100;
        }
        let steps = job.spec.steps.iter();
        let arriving = steps.fold(ResourceUse::default(), |sum, step| {
            sum.plus(&ResourceUse::of_step(step, step.count))
        });
        self.organisations
            .record_arrival(job.organisation_key, &arriving)
    }

    fn resubmit(&mut self, call_id: CallId, key: JobKey) {
        if self.jobs.get(key).is_some_and(|job| job.accepted) {
            self.reply(call_id, CallResponse::Accepted);
            return;
        }
        self.journal
            .on_stored(StoredEffect::Reply(key, call_id, CallResponse::Accepted));
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
            .on_stored(StoredEffect::Reply(key, call_id, CallResponse::Accepted));
    }

    fn job_state(&self, id: JobId) -> CallResponse {
        let job = self.jobs.find(id).and_then(|key| self.jobs.get(key));
        match job {
            Some(job) => CallResponse::State(job.visible_phase()),
            None => CallResponse::Gone,
        }
    }

    fn pending(&self, queue: &str) -> u32 {
        let is_pending = |job: &&JobState| job.accepted && !job.started && job.queue.name == queue;
        let jobs = self
            .jobs
            .unfinished()
            .iter()
            .filter_map(|key| self.jobs.get(*key));
        jobs.filter(is_pending).count() as u32
    }

    /// Ends a job: none of its work items start any more, and its runs are stopped.
    pub(super) fn end_job(&mut self, key: JobKey, phase: JobPhase, reason: &str, now: LocalTime) {
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
            format!("phase={phase:?} why={reason}"),
        );
        self.journal.mark_dirty(key);
        self.journal.on_stored(StoredEffect::Show(key, phase));
        self.stop_job_runs(key);
    }
}
