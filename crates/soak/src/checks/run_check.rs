use {
    super::{
        Invariant, InvariantViolation,
        item_history::{ItemHistory, OpenRun},
    },
    crate::{
        load::{SubmittedJob, SubmittedJobs},
        system::CAPACITY,
    },
    goldcreststall_adapter_standin::{RunChange, RunEvent},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{jobs::ItemName, runners::EndKind},
    std::sync::Arc,
};

/// Time after the acknowledgement of a cancelling in which orders that were on their way may still be carried out:
/// the bound of the pages, and the longest time by which the faults delay an order.
const CANCEL_LIMIT: Millis = Millis(3_000 + 5_000);
/// Time after which a work item that lasts and is not at work counts as away, whatever the cause.
const NOTICE: Millis = Millis(4_500);
/// Time after an end was acknowledged from which on every owner knows of it.
const NOTED_MARGIN: Millis = Millis(1_000);

/// Checks every change of every run as it happens.
pub struct RunCheck {
    submitted_jobs: Arc<SubmittedJobs>,
    items: Vec<ItemHistory>,
    /// Places of events that were taken.
    taken: usize,
    violations: Vec<InvariantViolation>,
    starts: u64,
}

impl RunCheck {
    /// Creates a check of the jobs in `submitted_jobs`.
    pub fn new(submitted_jobs: Arc<SubmittedJobs>) -> Self {
        Self {
            submitted_jobs,
            items: Vec::new(),
            taken: 0,
            violations: Vec::new(),
            starts: 0,
        }
    }

    /// Returns how many events were taken.
    pub fn taken(&self) -> usize {
        self.taken
    }

    /// Returns how many runs have begun.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Returns the violations.
    pub fn violations(&self) -> &[InvariantViolation] {
        &self.violations
    }

    /// Returns whether every work item of a job has ended as done.
    pub fn is_done(&self, entry: &SubmittedJob) -> bool {
        let names = item_names(entry);
        names.into_iter().all(|name| {
            let item = self.find(name).ok().map(|place| &self.items[place]);
            item.is_some_and(|item| item.done)
        })
    }

    /// Returns whether every work item of a job is at work.
    pub fn is_at_work(&self, entry: &SubmittedJob) -> bool {
        let names = item_names(entry);
        names.into_iter().all(|name| {
            let item = self.find(name).ok().map(|place| &self.items[place]);
            item.is_some_and(|item| !item.open.is_empty())
        })
    }

    /// Returns whether a work item of a job has failed as often as its queue allows.
    pub fn may_have_failed(&self, entry: &SubmittedJob) -> bool {
        let names = item_names(entry);
        names.into_iter().any(|name| {
            let item = self.find(name).ok().map(|place| &self.items[place]);
            item.is_some_and(|item| item.failures >= entry.queue.attempts)
        })
    }

    /// Takes the next events.
    pub fn take(&mut self, events: Vec<RunEvent>) {
        self.taken += events.len();
        for event in events {
            match &event.change {
                RunChange::Started { spec, .. } => self.take_start(&event, spec),
                RunChange::Ended(kind) => self.take_end(&event, Some(*kind)),
                RunChange::Lost { .. } => self.take_end(&event, None),
                RunChange::Acknowledged(kind) => {
                    let place = self.place(event.name);
                    self.items[place].note_acknowledged(*kind, event.at);
                }
            }
        }
    }

    fn take_start(&mut self, event: &RunEvent, spec: &str) {
        self.starts += 1;
        match self.submitted_jobs.get(event.name.job) {
            Some(entry) if entry.job.spec == spec => {
                self.check_item(event, &entry);
                self.check_job(event, &entry);
                self.check_place(event, &entry);
            }
            _ => self.report_violation(Invariant::Submitted, event, "nobody handed this in"),
        }
        let place = self.place(event.name);
        let item = &mut self.items[place];
        item.away = None;
        item.open.push(OpenRun {
            host: event.host.clone(),
            run: event.run,
            since: event.at,
        });
    }

    fn check_item(&mut self, event: &RunEvent, entry: &SubmittedJob) {
        let place = self.place(event.name);
        let item = self.items[place].clone();
        if let Some(other) = item.open.first() {
            let detail = format!(
                "run {} is at work on {} since {} ms",
                other.run, other.host, other.since.0
            );
            self.report_violation(Invariant::Once, event, &detail);
        }
        let noted = |at: Millis| event.at.0 > at.0 + NOTED_MARGIN.0;
        if item.done_noted.is_some_and(noted) {
            self.report_violation(Invariant::Once, event, "an end as done was acknowledged");
        }
        if item.failures_noted >= entry.queue.attempts {
            self.report_violation(Invariant::Attempts, event, "its attempts are used up");
        }
        let after = &entry.job.steps[event.name.step as usize].after;
        let done = after
            .iter()
            .all(|step| self.step_is_done(event, entry, *step));
        if !done {
            self.report_violation(Invariant::Order, event, "an earlier step is not done");
        }
    }

    fn step_is_done(&self, event: &RunEvent, entry: &SubmittedJob, step: u32) -> bool {
        let count = entry.job.steps[step as usize].count;
        (0..count).all(|index| {
            let name = ItemName {
                step,
                index,
                ..event.name
            };
            self.find(name).is_ok_and(|place| self.items[place].done)
        })
    }

    fn check_job(&mut self, event: &RunEvent, entry: &SubmittedJob) {
        let refused = entry.given_up && entry.accepted.is_none() && !entry.open_outcome;
        if refused {
            self.report_violation(Invariant::NotRefused, event, "every attempt was refused");
        }
        let over = |at: Millis| event.at.0 > at.0 + CANCEL_LIMIT.0;
        if entry.cancelled.is_some_and(over) {
            self.report_violation(
                Invariant::NotCancelled,
                event,
                "the job was cancelled long ago",
            );
        }
    }

    fn check_place(&mut self, event: &RunEvent, entry: &SubmittedJob) {
        if event.pool != entry.queue.pool {
            let detail = format!("it runs in pool {}", event.pool);
            self.report_violation(Invariant::Room, event, &detail);
        }
        let step = &entry.job.steps[event.name.step as usize];
        let here = |item: &&ItemHistory| item.open.iter().any(|open| open.host == event.host);
        let mut used = step.cpu;
        let mut siblings = 1;
        for item in self.items.iter().filter(here) {
            let other = self.submitted_jobs.get(item.name.job);
            let steps = other.map(|other| other.job.steps).unwrap_or_default();
            used += steps
                .get(item.name.step as usize)
                .map_or(0, |step| step.cpu);
            let same = item.name.job == event.name.job && item.name.step == event.name.step;
            siblings += u32::from(same && item.name != event.name);
        }
        if used > CAPACITY.cpu {
            let detail = format!("{used} of {} thousandths of a core are used", CAPACITY.cpu);
            self.report_violation(Invariant::Room, event, &detail);
        }
        if step.anti_affinity > 0 && siblings > step.anti_affinity {
            let detail = format!("{siblings} work items of the step are there");
            self.report_violation(Invariant::Room, event, &detail);
        }
    }

    fn take_end(&mut self, event: &RunEvent, kind: Option<EndKind>) {
        let place = self.place(event.name);
        let ordered = match &event.change {
            RunChange::Lost { commanded } => *commanded,
            _ => kind == Some(EndKind::Stopped),
        };
        let item = &mut self.items[place];
        item.open
            .retain(|open| open.run != event.run || open.host != event.host);
        item.away = Some((event.at, ordered));
        if let Some(kind) = kind {
            item.note_end(kind);
        }
        if ordered {
            self.check_available(event);
        }
    }

    /// Checks that our order has not taken away more of a step that lasts than may be missing.
    fn check_available(&mut self, event: &RunEvent) {
        let Some(entry) = self.submitted_jobs.get(event.name.job) else {
            return;
        };
        let step = &entry.job.steps[event.name.step as usize];
        if !step.long_running || entry.cancel_sent.is_some() {
            return;
        }
        let others = (0..step.count).filter(|index| *index != event.name.index);
        let away = others.filter(|index| {
            let name = ItemName {
                index: *index,
                ..event.name
            };
            let item = self.find(name).ok().map(|place| &self.items[place]);
            let away = item.and_then(|item| item.away);
            away.is_some_and(|(at, ordered)| ordered || event.at.0 > at.0 + NOTICE.0)
        });
        let away = away.count() as u32;
        if away >= step.may_miss {
            let detail = format!("{away} other work items of the step are away");
            self.report_violation(Invariant::Available, event, &detail);
        }
    }

    fn report_violation(&mut self, invariant: Invariant, event: &RunEvent, detail: &str) {
        let detail = format!(
            "{} run {} on {}: {detail}",
            event.name, event.run, event.host
        );
        self.violations
            .push(InvariantViolation::new(invariant, event.at, detail));
    }

    fn find(&self, name: ItemName) -> Result<usize, usize> {
        self.items.binary_search_by_key(&name, |item| item.name)
    }

    fn place(&mut self, name: ItemName) -> usize {
        match self.find(name) {
            Ok(place) => place,
            Err(place) => {
                self.items.insert(place, ItemHistory::new(name));
                place
            }
        }
    }
}

fn item_names(entry: &SubmittedJob) -> Vec<ItemName> {
    let mut names = Vec::new();
    for (step, shape) in (0_u32..).zip(&entry.job.steps) {
        names.extend((0..shape.count).map(|index| ItemName {
            job: entry.id,
            occurrence: 0,
            step,
            index,
        }));
    }
    names
}
