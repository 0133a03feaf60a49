use {
    super::{AdviceCommand, OwnerCommand, OwnerState},
    crate::{
        jobs::{ItemKey, StepKey, StepName},
        runners::RunnerKey,
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Runners that one call asks about. Each takes time, and a step waits for the response.
const ASK_WIDTH: usize = 30;
/// Calls at a time: the service answers those of one entry host in turn, and refuses when too many wait.
const MOST_ASKS: usize = 4;
/// Time after which a runner that was not approved, or of which no response came, is asked about again.
const ASK_AGAIN: Millis = Millis(3_000);
/// Kept of an approval for the way of the command to the runner.
const TICKET_RESERVE: Millis = Millis(500);

/// What the advice service has said of a runner for a step.
#[derive(Clone, Debug)]
struct RunnerAdvice {
    step: StepKey,
    runner: RunnerKey,
    /// The approval; none while the call is under way, and where the runner may not run the step.
    ticket: Option<String>,
    /// Until when this counts.
    until: LocalTime,
}

/// What the advice service has said, and what it is being asked.
#[derive(Debug, Default)]
pub(super) struct AdviceTable {
    /// Sorted by step and runner.
    advices: Vec<RunnerAdvice>,
    asking: Vec<StepKey>,
}

impl AdviceTable {
    fn find(&self, step: StepKey, runner: RunnerKey) -> Result<usize, usize> {
        let key = |advice: &RunnerAdvice| (advice.step, advice.runner);
        self.advices.binary_search_by_key(&(step, runner), key)
    }

    fn put(&mut self, advice: RunnerAdvice) {
        match self.find(advice.step, advice.runner) {
            Ok(place) => self.advices[place] = advice,
            Err(place) => self.advices.insert(place, advice),
        }
    }

    fn ticket(&self, step: StepKey, runner: RunnerKey, now: LocalTime) -> Option<&str> {
        let place = self.find(step, runner).ok()?;
        let advice = &self.advices[place];
        let valid = now + TICKET_RESERVE < advice.until;
        advice.ticket.as_deref().filter(|_| valid)
    }

    fn may_ask(&self, step: StepKey) -> bool {
        self.asking.len() < MOST_ASKS && !self.asking.contains(&step)
    }

    fn is_known(&self, step: StepKey, runner: RunnerKey, now: LocalTime) -> bool {
        let place = self.find(step, runner);
        place.is_ok_and(|place| now < self.advices[place].until)
    }

    /// Forgets a ticket that the runner has refused.
    pub(super) fn drop_ticket(&mut self, step: StepKey, runner: RunnerKey) {
        if let Ok(place) = self.find(step, runner) {
            self.advices.remove(place);
        }
    }

    /// Forgets what no longer counts.
    pub(super) fn forget_old(&mut self, now: LocalTime) {
        self.advices.retain(|advice| now < advice.until);
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

    /// Returns the approval with which a work item can start on a runner: an empty one where none is needed, none where
    /// it lacks.
    pub(super) fn ticket(&self, key: ItemKey, runner: RunnerKey, now: LocalTime) -> Option<&str> {
        let (job, _) = self.jobs.item(key)?;
        if job.queue.advice.is_none() {
            return Some("");
        }
        self.advice.ticket(self.step_key(key)?, runner, now)
    }

    /// Asks which of a pool's runners may run the step of a work item that has found no approved one with room.
    pub(super) fn ask_advice(&mut self, key: ItemKey, pool: &[RunnerKey], now: LocalTime) {
        let (Some(step), Some((job, _))) = (self.step_key(key), self.jobs.item(key)) else {
            return;
        };
        if job.queue.advice.is_none() || !self.advice.may_ask(step) {
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
        runners.truncate(ASK_WIDTH);
        if runners.is_empty() {
            return;
        }
        self.advice.asking.push(step);
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

    /// Takes the response of the advice service: ids of approved runners with their tickets, none without a response.
    pub fn advised(
        &mut self,
        command: &AdviceCommand,
        response: Option<Vec<(String, String)>>,
        now: LocalTime,
    ) {
        self.advice.asking.retain(|step| *step != command.step);
        let Some(job) = self.jobs.get(command.step.job) else {
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
            let found = response.iter().find(|(own, _)| Some(own.as_str()) == id);
            let ticket = found.map(|(_, ticket)| ticket.clone());
            let until = now + if ticket.is_some() { valid } else { ASK_AGAIN };
            self.advice.put(RunnerAdvice {
                step: command.step,
                runner: *runner,
                ticket,
                until,
            });
        }
        self.place_due = true;
    }
}
