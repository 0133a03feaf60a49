use {
    super::{AdviceCommand, OwnerCommand, OwnerState},
    crate::{
        jobs::{ItemKey, JobTable, StepKey, StepName},
        runners::RunnerKey,
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Maximum number of runners in one request. Each adds to the time of the response, for which the step waits.
const RUNNERS_PER_REQUEST: usize = 30;
/// The service answers the calls of one entry host one after the other, and refuses calls when too many wait.
const MAX_CONCURRENT_REQUESTS: usize = 4;
/// Time after which a request is repeated for a runner that was not approved or for which no response came.
const RETRY_INTERVAL: Millis = Millis(3_000);
/// Remaining validity that a ticket must have, so that it is still valid when the command reaches the runner.
const TICKET_MARGIN: Millis = Millis(500);

/// Result of a request to the advice service for one step and runner.
#[derive(Clone, Debug)]
struct RunnerAdvice {
    step: StepKey,
    runner: RunnerKey,
    /// Ticket of an approved runner; none when the runner was not approved or no response came.
    ticket: Option<String>,
    /// When the result expires.
    until: LocalTime,
}

/// Results of the advice service, and the steps for which a request is in flight.
#[derive(Debug, Default)]
pub(super) struct AdviceTable {
    /// Sorted by step and runner.
    rows: Vec<RunnerAdvice>,
    in_flight: Vec<StepKey>,
}

impl AdviceTable {
    fn find(&self, step: StepKey, runner: RunnerKey) -> Result<usize, usize> {
        let key = |advice: &RunnerAdvice| (advice.step, advice.runner);
        self.rows.binary_search_by_key(&(step, runner), key)
    }

    fn insert(&mut self, advice: RunnerAdvice) {
        match self.find(advice.step, advice.runner) {
            Ok(index) => self.rows[index] = advice,
            Err(index) => self.rows.insert(index, advice),
        }
    }

    fn ticket(&self, step: StepKey, runner: RunnerKey, now: LocalTime) -> Option<&str> {
        let index = self.find(step, runner).ok()?;
        let advice = &self.rows[index];
        let valid = now + TICKET_MARGIN < advice.until;
        advice.ticket.as_deref().filter(|_| valid)
    }

    fn can_request(&self, step: StepKey) -> bool {
        self.in_flight.len() < MAX_CONCURRENT_REQUESTS && !self.in_flight.contains(&step)
    }

    fn is_known(&self, step: StepKey, runner: RunnerKey, now: LocalTime) -> bool {
        let index = self.find(step, runner);
        index.is_ok_and(|index| now < self.rows[index].until)
    }

    /// Removes a ticket that the runner has refused.
    pub(super) fn remove_ticket(&mut self, step: StepKey, runner: RunnerKey) {
        if let Ok(index) = self.find(step, runner) {
            self.rows.remove(index);
        }
    }

    /// Removes the results that have expired, and those for steps of ended jobs: thousands of jobs can end within the time
    /// for which a ticket is valid.
    pub(super) fn forget_expired(&mut self, jobs: &JobTable, now: LocalTime) {
        self.rows
            .retain(|advice| now < advice.until && jobs.unfinished_step(advice.step).is_some());
    }
}

impl OwnerState {
    pub(super) fn step_key(&self, key: ItemKey) -> Option<StepKey> {
        let (_, item) = self.jobs.item(key)?;
        Some(StepKey {
            job: key.job,
            occurrence: item.occurrence,
            step: item.step,
        })
    }

    /// Returns the ticket with which a work item can start on a runner: an empty one when the queue needs no approval,
    /// none when the runner has no valid ticket yet.
    pub(super) fn ticket(&self, key: ItemKey, runner: RunnerKey, now: LocalTime) -> Option<&str> {
        let (job, _) = self.jobs.item(key)?;
        if job.queue.advice.is_none() {
            return Some("");
        }
        self.advice.ticket(self.step_key(key)?, runner, now)
    }

    /// Requests approvals of a pool's runners for the step of a work item that found no approved runner with free
    /// capacity.
    pub(super) fn request_advice(&mut self, key: ItemKey, pool: &[RunnerKey], now: LocalTime) {
        let (Some(step), Some((job, _))) = (self.step_key(key), self.jobs.item(key)) else {
            return;
        };
        if job.queue.advice.is_none() || !self.advice.can_request(step) {
            return;
        }
        let name = StepName {
            job: job.id,
            occurrence: step.occurrence,
            step: step.step,
        };
        let mut runners: Vec<RunnerKey> = pool
            .iter()
            .copied()
            .filter(|runner| !self.advice.is_known(step, *runner, now))
            .collect();
        let free = |runner: &RunnerKey| {
            self.runners
                .get(*runner)
                .map_or(0, |state| state.free().cpu)
        };
        runners.sort_by_key(|runner| std::cmp::Reverse(free(runner)));
        runners.truncate(RUNNERS_PER_REQUEST);
        if runners.is_empty() {
            return;
        }
        self.advice.in_flight.push(step);
        self.log_event(
            "advice asked",
            name.to_string(),
            format!("runners={}", runners.len()),
        );
        self.commands.push(OwnerCommand::Advise(AdviceCommand {
            step,
            name,
            runners,
        }));
    }

    /// Handles the response of the advice service: ids and tickets of the approved runners, or none without a response.
    pub fn advice_received(
        &mut self,
        command: &AdviceCommand,
        response: Option<Vec<(String, String)>>,
        now: LocalTime,
    ) {
        self.advice.in_flight.retain(|step| *step != command.step);
        // The job may have ended while the service decided.
        let Some((job, _)) = self.jobs.unfinished_step(command.step) else {
            return;
        };
        let valid = job
            .queue
            .advice
            .as_ref()
            .map_or(Millis(0), |rule| rule.valid);
        let approved = response.as_ref().map_or(0, Vec::len);
        let detail = format!(
            "asked={} approved={approved} answered={}",
            command.runners.len(),
            response.is_some()
        );
        self.log_event("advice taken", command.name.to_string(), detail);
        let response = response.unwrap_or_default();
        for runner in &command.runners {
            let id = self
                .runners
                .get(*runner)
                .map(|state| state.report.id.as_str());
            let found = response
                .iter()
                .find(|(runner_id, _)| Some(runner_id.as_str()) == id);
            let ticket = found.map(|(_, ticket)| ticket.clone());
            let until = now
                + if ticket.is_some() {
                    valid
                } else {
                    RETRY_INTERVAL
                };
            self.advice.insert(RunnerAdvice {
                step: command.step,
                runner: *runner,
                ticket,
                until,
            });
        }
        self.placement_due = true;
    }
}
