use {
    super::{
        OwnerOrder, OwnerState, RunOrder, StartOrder, journal_queue::StoredEffect,
        run_book::FULL_PACE,
    },
    crate::{
        jobs::{ItemKey, JobPhase, JobState, RunPhase},
        runners::{EndKind, EndedRun, HoldAnswer, ListedRun, RunnerKey},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Pause before the next hold call after one without an answer.
const MISS_PAUSE: Millis = Millis(200);
/// Pause before the next hold call after one with an answer, so that ends come together.
const HOLD_PAUSE: Millis = Millis(25);
/// Longest wait of a hold call for the storage of the ends that the last one brought.
const STORE_PAUSE: Millis = Millis(250);
/// How long a runner takes no new work after it has refused an order for lack of health or room.
const REFUSAL_PAUSE: Millis = Millis(500);
/// How long a runner takes no new work for each failed run in a row beyond the first.
const STRIKE_PAUSE: Millis = Millis(1_500);
/// Most failed runs in a row that prolong the pause.
const MOST_STRIKES: u32 = 4;
/// Step by which run numbers skip those that an earlier owner may have used.
const RUN_SKIP: u32 = 16;

/// What became of an order to start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAnswer {
    /// The run has begun; the reading of the runner's clock.
    Begun(u64),
    /// The runner has seen a newer owner's token.
    Fenced,
    /// The deadline had passed; the reading of the runner's clock.
    Late(u64),
    /// The order was not sent.
    NotSent,
    /// A run with this number or a higher one has ended there.
    OldRun,
    /// There is no room.
    NoRoom,
    /// The approval of the advice service is missing or no longer valid.
    NoTicket,
    /// Another lifetime runs at the address.
    OtherLifetime,
    /// The runner refuses work because it is not healthy.
    Unhealthy,
    /// No answer: it may have begun, or may begin later.
    Unknown,
}

impl OwnerState {
    /// Takes the answer to an order to start. Returns false when a newer owner exists.
    pub fn start_answered(
        &mut self,
        order: &StartOrder,
        answer: StartAnswer,
        now: LocalTime,
    ) -> bool {
        let StartOrder {
            runner, item, run, ..
        } = *order;
        if answer != StartAnswer::Unknown
            && let Some(state) = self.runners.get_mut(runner)
        {
            state.answered = now;
        }
        match answer {
            StartAnswer::Begun(clock) => self.start_begun(order, clock, now),
            StartAnswer::Fenced => return false,
            StartAnswer::Unknown => self.start_unknown(order),
            StartAnswer::Late(_)
            | StartAnswer::NoRoom
            | StartAnswer::NoTicket
            | StartAnswer::NotSent
            | StartAnswer::OldRun
            | StartAnswer::OtherLifetime
            | StartAnswer::Unhealthy => {
                let detail = format!("run={run} answer={answer:?}");
                self.note("start refused", order.name.to_string(), detail);
                self.detach_run(item, runner, run, now);
                self.break_gang(item, run);
                if answer == StartAnswer::OldRun
                    && let Some(item) = self.jobs.item_mut(item)
                {
                    item.last_run += RUN_SKIP;
                }
                if answer == StartAnswer::NoTicket {
                    if let Some(step) = self.step_key(item) {
                        self.advice.drop_ticket(step, runner);
                    }
                } else if let Some(state) = self.runners.get_mut(runner) {
                    state.cooling = now + REFUSAL_PAUSE;
                    state.next_hold = state.next_hold.min(now);
                }
            }
        }
        true
    }

    fn start_begun(&mut self, order: &StartOrder, clock: u64, now: LocalTime) {
        if let Some(state) = self.runners.get_mut(order.runner) {
            state.clock.read(clock, now);
            state.misses = 0;
        }
        if let Some(booked) = self.run_mut(order.item, order.runner, order.run)
            && booked.phase == RunPhase::Starting
        {
            booked.phase = RunPhase::Running { since: now };
            booked.moved = now;
        }
    }

    fn start_unknown(&mut self, order: &StartOrder) {
        let detail = format!("run={} runner answer missing; stopping it", order.run);
        self.note("start unknown", order.name.to_string(), detail);
        if let Some(booked) = self.run_mut(order.item, order.runner, order.run)
            && booked.phase == RunPhase::Starting
        {
            booked.phase = RunPhase::Stopping;
            self.order_stop(order.item, order.runner, order.run);
            self.break_gang(order.item, order.run);
        }
    }

    /// Takes the answer to an order to stop: the reading of the runner's clock, or none without an answer.
    pub fn stop_answered(&mut self, order: &RunOrder, clock: Option<u64>, now: LocalTime) {
        let Some(clock) = clock else {
            return;
        };
        if let Some(state) = self.runners.get_mut(order.runner) {
            state.clock.read(clock, now);
            state.answered = now;
            state.next_hold = state.next_hold.min(now);
        }
        if let Some(key) = order.item {
            self.set_phase(key, order.runner, order.run, RunPhase::Stopped { at: now });
        }
    }

    /// Takes note that a hold call got no answer.
    pub fn hold_missed(&mut self, runner: RunnerKey, now: LocalTime) {
        let Some(state) = self.runners.get_mut(runner) else {
            return;
        };
        state.holding = None;
        state.misses += 1;
        state.next_hold = now + MISS_PAUSE;
        if state.misses == 1 {
            let id = state.report.id.clone();
            let age = now.since(state.answered);
            self.note("runner silent", id, format!("last_answer_ms={}", age.0));
        }
    }

    /// Takes the answer to a hold call that was sent at `sent` and acknowledged ends up to `last_seen`.
    pub fn hold_answered(
        &mut self,
        key: RunnerKey,
        sent: LocalTime,
        last_seen: u64,
        answer: HoldAnswer,
        now: LocalTime,
    ) {
        let Some(state) = self.runners.get_mut(key) else {
            return;
        };
        state.holding = None;
        if answer
            .born_ms
            .is_some_and(|born| born != state.report.born_ms)
        {
            // The list will show the new lifetime.
            self.end_runner(key, "a new lifetime answered", now);
            return;
        }
        state.misses = 0;
        state.answered = now;
        state.fenced = true;
        state.clock.read(answer.clock_ms, now);
        state.acknowledged = state.acknowledged.max(last_seen);
        state.next_hold = now + HOLD_PAUSE;
        self.take_ends(key, answer.ended, now);
        self.take_running(key, sent, &answer.running, now);
        self.control_pace(key, &answer.running);
        self.place_due = true;
    }

    fn take_ends(&mut self, key: RunnerKey, ended: Vec<EndedRun>, now: LocalTime) {
        let processed = self.runners.get(key).map_or(0, |state| state.processed);
        let mut highest = processed;
        for end in ended {
            if end.number <= processed {
                continue;
            }
            highest = highest.max(end.number);
            self.take_end(key, end, now);
        }
        if highest == processed {
            return;
        }
        if let Some(state) = self.runners.get_mut(key) {
            state.processed = highest;
            state.next_hold = now + STORE_PAUSE;
        }
        // Also an end that needs no record waits, so that acknowledgements never pass one that does.
        self.journal.then(StoredEffect::Acknowledge(key, highest));
    }

    fn take_end(&mut self, runner: RunnerKey, end: EndedRun, now: LocalTime) {
        let found = self.jobs.find(end.name.job).and_then(|job| {
            let item = self.jobs.get(job)?.find_item(&end.name)?;
            Some(ItemKey { job, item })
        });
        let Some(key) = found else {
            self.note(
                "end of an unknown job",
                end.name.to_string(),
                format!("{:?}", end.kind),
            );
            return;
        };
        let sent = self.run_mut(key, runner, end.run).map(|booked| booked.sent);
        let booked = self.detach_run(key, runner, end.run, now);
        if !matches!(end.kind, EndKind::Done) {
            let detail = format!("run={} how={:?} booked={booked}", end.run, end.kind);
            self.note("run ended", end.name.to_string(), detail);
        }
        if let Some(item) = self.jobs.item_mut(key) {
            item.last_run = item.last_run.max(end.run);
            if end.kind == EndKind::Done && item.checkpoint.is_empty() {
                item.ran = sent.map(|sent| now.since(sent));
            }
            if !end.checkpoint.is_empty() {
                item.checkpoint.clone_from(&end.checkpoint);
            }
        }
        if !end.checkpoint.is_empty() {
            self.share_checkpoint(key, &end.checkpoint);
        }
        if end.kind != EndKind::Done {
            self.break_gang(key, end.run);
        }
        match end.kind {
            EndKind::Done => self.item_done(key, runner, now),
            EndKind::Failed => self.item_failed(key, runner, end.run, now),
            EndKind::Alone | EndKind::Broken | EndKind::Lapsed | EndKind::Stopped => {}
        }
    }

    fn item_done(&mut self, key: ItemKey, runner: RunnerKey, now: LocalTime) {
        if let Some(state) = self.runners.get_mut(runner) {
            state.strikes = 0;
        }
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        job.begun = true;
        let item = &mut job.items[key.item as usize];
        let (occurrence, step) = (item.occurrence, item.step);
        let lasts = job.spec.steps[step as usize].long_running;
        if lasts || item.done {
            return;
        }
        item.done = true;
        if job.spec.steps[step as usize].gang {
            // One end of a gang stands for all members.
            for place in job.step_places(occurrence, step) {
                job.items[place as usize].done = true;
            }
        }
        let completed = job.complete_if_done();
        if completed {
            job.ended = Some(now);
            let id = job.id;
            let detail = format!(
                "phase=Completed took_ms={} objective_ms={}",
                now.since(job.seen).0,
                job.objective().0
            );
            self.note("job ended", id.to_string(), detail);
            self.journal
                .then(StoredEffect::Show(key.job, JobPhase::Completed));
        }
        self.journal.mark_dirty(key.job);
        self.stop_item_runs(key);
    }

    fn item_failed(&mut self, key: ItemKey, runner: RunnerKey, run: u32, now: LocalTime) {
        if let Some(state) = self.runners.get_mut(runner) {
            state.strikes += 1;
            if state.strikes > 1 {
                let strikes = state.strikes.min(MOST_STRIKES);
                state.cooling = now + Millis(STRIKE_PAUSE.0 * u64::from(strikes));
                let id = state.report.id.clone();
                let detail = format!("failed_runs_in_a_row={strikes}");
                self.note("runner avoided", id, detail);
            }
        }
        let Some(job) = self.jobs.get_mut(key.job) else {
            return;
        };
        job.begun = true;
        let attempts = job.queue.attempts;
        let item = &mut job.items[key.item as usize];
        item.failed_on = Some(runner);
        let lasts = job.spec.steps[item.step as usize].long_running;
        if lasts || item.done || item.failed_runs.contains(&run) {
            return;
        }
        item.failed_runs.push(run);
        let (occurrence, step) = (item.occurrence, item.step);
        let failed = if job.spec.steps[step as usize].gang {
            failed_gang_runs(job, occurrence, step)
        } else {
            job.items[key.item as usize].failed_runs.len()
        };
        let hopeless = failed >= attempts as usize;
        self.journal.mark_dirty(key.job);
        if hopeless {
            self.end_job(
                key.job,
                JobPhase::Failed,
                "a work item used up its attempts",
                now,
            );
        }
    }

    fn take_running(
        &mut self,
        runner: RunnerKey,
        sent: LocalTime,
        running: &[ListedRun],
        now: LocalTime,
    ) {
        let mut foreign = false;
        for listed in running {
            foreign |= !self.take_listed(runner, listed, now);
        }
        if let Some(state) = self.runners.get_mut(runner) {
            state.foreign = foreign;
        }
        for (key, booked) in self.runs_on(runner) {
            let known_before = match booked.phase {
                RunPhase::Running { since } => since < sent,
                RunPhase::Stopped { at } => at < sent,
                RunPhase::Starting | RunPhase::Stopping => false,
            };
            let name = self.jobs.get(key.job).map(|job| job.item_name(key.item));
            let is_listed = running
                .iter()
                .any(|listed| Some(listed.name) == name && listed.run == booked.run);
            if known_before && !is_listed {
                self.detach_run(key, runner, booked.run, now);
            }
        }
    }

    /// Takes one run that a runner lists; returns false when its room is not known.
    fn take_listed(&mut self, runner: RunnerKey, listed: &ListedRun, now: LocalTime) -> bool {
        let found = self.jobs.find(listed.name.job).and_then(|job| {
            let item = self.jobs.get(job)?.find_item(&listed.name)?;
            Some(ItemKey { job, item })
        });
        let Some(key) = found else {
            self.orders.push(OwnerOrder::Stop(RunOrder {
                runner,
                item: None,
                name: listed.name,
                run: listed.run,
            }));
            self.note(
                "stopping an unknown run",
                listed.name.to_string(),
                format!("run={}", listed.run),
            );
            return false;
        };
        if self.run_mut(key, runner, listed.run).is_none() {
            self.adopt(key, runner, listed.run, now);
        }
        if let Some(item) = self.jobs.item_mut(key)
            && !listed.checkpoint.is_empty()
            && item.checkpoint != listed.checkpoint
        {
            item.checkpoint.clone_from(&listed.checkpoint);
            self.share_checkpoint(key, &listed.checkpoint);
        }
        if let Some(booked) = self.run_mut(key, runner, listed.run) {
            if booked.phase == RunPhase::Starting {
                booked.phase = RunPhase::Running { since: now };
            }
            if booked.percent != listed.percent || booked.pace < FULL_PACE {
                booked.percent = listed.percent;
                booked.moved = now;
            }
        }
        true
    }

    /// Books a run that an earlier owner started, and stops it where it is not wanted.
    fn adopt(&mut self, key: ItemKey, runner: RunnerKey, run: u32, now: LocalTime) {
        let Some((job, item)) = self.jobs.item(key) else {
            return;
        };
        let twice = !item.runs.is_empty() && !job.step_of(item).speculative;
        let unwanted = job.phase.is_final() || item.done || twice;
        let name = job.item_name(key.item).to_string();
        self.note(
            "run adopted",
            name,
            format!("run={run} wanted={}", !unwanted),
        );
        let phase = RunPhase::Running { since: now };
        self.attach_run(key, runner, run, phase, now);
        if unwanted {
            self.stop_run(key, runner, run);
        }
    }
}

/// Counts the runs of a gang in which a member has failed.
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
