use {
    super::{ItemName, ItemRun, JobId, JobPhase, JobSpec, StepSpec, WorkItem},
    crate::{
        organisations::OrganisationKey,
        records::{JobProgress, JobSubmission},
        routes::RouteRule,
    },
    goldcreststall_core::ids::{LocalTime, Millis},
    std::sync::Arc,
};

/// Multiple of its latency objective up to which a late job is still useful to its caller.
const USEFUL_LATENCY_FACTOR: u64 = 3;

/// Memory that a work item holds, in bytes: itself, a run, and its places in the lists of one pass of placement.
const ITEM_BYTES: usize = size_of::<WorkItem>() + size_of::<ItemRun>() + 120;
/// Memory that a job holds besides its description and its work items, in bytes: itself, and its places in tables. Jobs
/// of a queue share its configuration.
const JOB_BYTES: usize = size_of::<JobState>() + 64;

/// A job known to the owner.
#[derive(Debug)]
pub struct JobState {
    /// Id chosen by the caller.
    pub id: JobId,
    /// The queue's configuration at the time when the job was accepted.
    pub queue: Arc<RouteRule>,
    /// Organisation that has submitted the job; `None` for a call without a key.
    pub organisation: Option<String>,
    /// Its key in the owner's table of organisations, which the owner sets when it learns of the job.
    pub organisation_key: OrganisationKey,
    /// Description by the caller; empty after [`Self::shrink`].
    pub spec: JobSpec,
    /// The work items, ordered by occurrence, step and index; empty for a dormant job and after [`Self::shrink`].
    pub items: Vec<WorkItem>,
    /// The work items do not exist yet, because there is no memory for them. Nothing of a dormant job is started.
    pub is_dormant: bool,
    /// When this owner first saw the job; for a recovered job the estimated time of its submission, where that is
    /// stored.
    pub first_seen: LocalTime,
    /// Current state, which may not be stored yet.
    pub phase: JobPhase,
    /// State in the store; callers see a final phase only when it is stored.
    pub stored_phase: JobPhase,
    /// The submission is stored.
    pub accepted: bool,
    /// The text for runners is known; a recovered job starts no work item before.
    pub has_text: bool,
    /// The text as its start commands share it; none before the first one.
    shared_text: Option<Arc<str>>,
    /// A start command of this owner has carried the text.
    pub text_sent: bool,
    /// Work items started by an earlier owner may be running on runners that have not answered this owner yet.
    pub unconfirmed: bool,
    /// A work item has been started by this owner, or by an earlier one as far as is known.
    pub started: bool,
    /// When the final phase was reached.
    pub ended: Option<LocalTime>,
    /// Parts of the job run until it is cancelled, or long after its submission.
    is_lasting: bool,
    /// Critical path of the job by the estimated durations, in milliseconds.
    critical_path: u64,
    items_per_occurrence: u32,
    /// For each step the index of its first work item in the first occurrence, and the critical path from its start.
    steps: Vec<StepRow>,
}

/// What is derived once from the description of a job, because decisions need it for each of its steps.
#[derive(Clone, Copy, Debug)]
struct StepRow {
    first_item: u32,
    critical_path: u64,
}

fn step_rows(spec: &JobSpec) -> Vec<StepRow> {
    let mut first_item = 0;
    let row = |(step, critical_path): (&StepSpec, u64)| {
        let row = StepRow {
            first_item,
            critical_path,
        };
        first_item += step.count;
        row
    };
    spec.steps
        .iter()
        .zip(spec.critical_paths())
        .map(row)
        .collect()
}

impl JobState {
    /// Creates a job that has not started; [`JobSpec::check`] must have accepted its description.
    pub fn new(id: JobId, submission: JobSubmission, first_seen: LocalTime) -> Self {
        let mut job = Self::dormant(id, submission, first_seen);
        job.create_items(0);
        job
    }

    /// Creates the work items of a dormant job; their runs get numbers above `last_run`.
    pub fn create_items(&mut self, last_run: u32) {
        self.is_dormant = false;
        self.items = Vec::with_capacity(self.item_count());
        for occurrence in 0..self.spec.occurrences() {
            for (step, shape) in (0_u32..).zip(&self.spec.steps) {
                self.items.extend((0..shape.count).map(|index| WorkItem {
                    occurrence,
                    step,
                    index,
                    last_run,
                    ..WorkItem::default()
                }));
            }
        }
    }

    /// Returns the number of work items, whether they exist or not.
    fn item_count(&self) -> usize {
        self.items_per_occurrence as usize * self.spec.occurrences() as usize
    }

    /// Creates a dormant job; [`JobSpec::check`] must have accepted its description.
    pub fn dormant(id: JobId, submission: JobSubmission, first_seen: LocalTime) -> Self {
        let JobSubmission {
            queue,
            job: spec,
            organisation,
            ..
        } = submission;
        let items_per_occurrence: u32 = spec.steps.iter().map(|step| step.count).sum();
        let steps = step_rows(&spec);
        Self {
            id,
            queue: Arc::new(queue),
            organisation,
            organisation_key: OrganisationKey::NONE,
            items: Vec::new(),
            is_dormant: true,
            first_seen,
            phase: JobPhase::Queued,
            stored_phase: JobPhase::Queued,
            accepted: false,
            has_text: true,
            shared_text: None,
            text_sent: false,
            unconfirmed: false,
            started: false,
            ended: None,
            is_lasting: spec.is_lasting(),
            critical_path: spec.critical_path(),
            items_per_occurrence,
            steps,
            spec,
        }
    }

    /// Creates a job of which only its id and its final phase are known.
    pub fn ended(id: JobId, phase: JobPhase, now: LocalTime) -> Self {
        Self {
            id,
            queue: Arc::default(),
            organisation: None,
            organisation_key: OrganisationKey::NONE,
            spec: JobSpec::default(),
            items: Vec::new(),
            is_dormant: false,
            first_seen: now,
            phase,
            stored_phase: phase,
            accepted: true,
            has_text: true,
            shared_text: None,
            text_sent: true,
            unconfirmed: false,
            started: true,
            ended: Some(now),
            is_lasting: false,
            critical_path: 0,
            items_per_occurrence: 0,
            steps: Vec::new(),
        }
    }

    /// Returns the submission of the job as it is stored. The job must not have been shrunk.
    pub fn submission(&self, accepted_ms: u64) -> JobSubmission {
        JobSubmission {
            queue: RouteRule::clone(&self.queue),
            job: self.spec.clone(),
            accepted_ms,
            organisation: self.organisation.clone(),
        }
    }

    /// Applies the stored progress of the job.
    pub fn restore(&mut self, progress: &JobProgress) {
        self.phase = progress.phase;
        self.stored_phase = progress.phase;
        self.started |= progress.started;
        for done in &progress.done {
            if let Some(item) = self.items.get_mut(*done as usize) {
                item.done = true;
            }
        }
        for (failed, runs) in &progress.failures {
            if let Some(item) = self.items.get_mut(*failed as usize) {
                item.failed_runs.clone_from(runs);
            }
        }
    }

    /// Returns the progress of the job as it is stored.
    pub fn progress(&self) -> JobProgress {
        let numbered = || self.items.iter().zip(0_u32..);
        JobProgress {
            phase: self.phase,
            started: self.started,
            done: numbered()
                .filter(|(item, _)| item.done)
                .map(|(_, number)| number)
                .collect(),
            failures: numbered()
                .filter(|(item, _)| !item.failed_runs.is_empty())
                .map(|(item, number)| (number, item.failed_runs.clone()))
                .collect(),
        }
    }

    /// Returns the step of a work item.
    pub fn step_of(&self, item: &WorkItem) -> &StepSpec {
        &self.spec.steps[item.step as usize]
    }

    /// Returns the text for runners. All start commands share it: thousands may wait to be sent.
    pub fn shared_text(&mut self) -> Arc<str> {
        let text = &self.spec.spec;
        let shared = self
            .shared_text
            .get_or_insert_with(|| Arc::from(text.as_str()));
        Arc::clone(shared)
    }

    /// Returns the wire name of the work item at index `number`.
    pub fn item_name(&self, number: u32) -> ItemName {
        let item = &self.items[number as usize];
        ItemName {
            job: self.id,
            occurrence: item.occurrence,
            step: item.step,
            index: item.index,
        }
    }

    /// Returns the index of the work item with this wire name; none for a dormant job.
    pub fn find_item(&self, name: &ItemName) -> Option<u32> {
        let step = self.spec.steps.get(name.step as usize)?;
        if name.occurrence >= self.spec.occurrences() || name.index >= step.count {
            return None;
        }
        let range = self.step_range(name.occurrence, name.step);
        let number = range.start + name.index;
        ((number as usize) < self.items.len()).then_some(number)
    }

    /// Returns the work items of one step in one occurrence.
    pub fn step_items(&self, occurrence: u32, step: u32) -> &[WorkItem] {
        let range = self.step_range(occurrence, step);
        &self.items[range.start as usize..range.end as usize]
    }

    /// Returns the range of indexes in `items` of one step in one occurrence. The job must not have been shrunk.
    pub fn step_range(&self, occurrence: u32, step: u32) -> std::ops::Range<u32> {
        let before = self.steps[step as usize].first_item;
        let first = occurrence * self.items_per_occurrence + before;
        first..first + self.spec.steps[step as usize].count
    }

    /// Returns whether all steps that `step` depends on are done in the occurrence.
    pub fn is_step_ready(&self, occurrence: u32, step: u32) -> bool {
        let done = |after: &u32| {
            let items = self.step_items(occurrence, *after);
            items.iter().all(|item| item.done)
        };
        self.spec.steps[step as usize].after.iter().all(done)
    }

    /// Returns when an occurrence may start, in Unix milliseconds; 0 for immediately. A time beyond the largest number is
    /// never reached.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.spec.times == 0 {
            return 0;
        }
        let delay_ms = u64::from(occurrence).saturating_mul(self.spec.interval_ms);
        self.spec.start_at_ms.saturating_add(delay_ms)
    }

    /// Returns whether any work items of the job run until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.spec.is_long_running()
    }

    /// Returns the length of the critical path from the start of a step to the end of the job, in milliseconds. Once
    /// work items of the step are done, their mean duration replaces the caller's estimate for the step: the work items
    /// of a step are equal, and estimates can be wrong by a multiple.
    pub fn critical_path_from(&self, occurrence: u32, step: u32) -> u64 {
        let estimate = u64::from(self.spec.steps[step as usize].estimate_ms);
        let times = self
            .step_items(occurrence, step)
            .iter()
            .filter_map(|item| item.run_time);
        let (count, sum) = times.fold((0_u64, 0_u64), |(count, sum), ms| (count + 1, sum + ms.0));
        let step_ms = sum.checked_div(count).unwrap_or(estimate);
        self.steps[step as usize].critical_path - estimate + step_ms
    }

    /// Returns the minimum number of runners that the job's long-running work items must be spread over.
    pub fn long_running_spread(&self) -> usize {
        let spread = |step: &StepSpec| match step.anti_affinity {
            0 => 0,
            max_per_runner => step.count.div_ceil(max_per_runner) as usize,
        };
        let long_running = self.spec.steps.iter().filter(|step| step.long_running);
        long_running.map(spread).max().unwrap_or(0)
    }

    /// Returns the latency objective of the job: the time from its submission within which it should be completed.
    pub fn latency_objective(&self) -> Millis {
        let stretched_ms = self.queue.stretch * self.critical_path as f64;
        Millis(stretched_ms as u64) + self.queue.target_latency
    }

    /// Returns the latest start of a work item with which its job can still meet its latency objective.
    pub fn latest_start(&self, item: &WorkItem) -> LocalTime {
        let critical_path = self.critical_path_from(item.occurrence, item.step);
        self.first_seen + self.latency_objective() - Millis(critical_path)
    }

    /// Returns until when a late job is still useful to its caller.
    pub fn useful_until(&self) -> LocalTime {
        let latency = self.latency_objective().0;
        self.first_seen + Millis(latency.saturating_mul(USEFUL_LATENCY_FACTOR))
    }

    /// Marks the job as completed when all work items are done; returns whether this changed its phase.
    pub fn complete_if_done(&mut self) -> bool {
        if self.phase.is_final() || self.is_dormant || !self.items.iter().all(|item| item.done) {
            return false;
        }
        self.phase = JobPhase::Completed;
        true
    }

    /// Frees the data that only an unfinished job needs. Callers may query an ended job for two minutes, and the jobs
    /// of two minutes with all their work items would not fit into the memory of a small entry host.
    pub fn shrink(&mut self) {
        self.items = Vec::new();
        self.is_dormant = false;
        self.spec = JobSpec::default();
        self.shared_text = None;
        self.steps = Vec::new();
        self.critical_path = 0;
        self.is_lasting = false;
    }

    /// Returns whether the data that only an unfinished job needs has been freed.
    pub fn is_shrunk(&self) -> bool {
        self.spec.steps.is_empty()
    }

    /// Returns the memory that the job holds, in bytes; less after [`Self::shrink`].
    pub fn held_bytes(&self) -> usize {
        self.expected_bytes(self.items.len())
    }

    /// Returns the memory that the job holds once its work items exist, in bytes.
    pub fn bytes_with_items(&self) -> usize {
        self.expected_bytes(self.item_count())
    }

    fn expected_bytes(&self, items: usize) -> usize {
        let steps = self.steps.len() * size_of::<StepRow>();
        let shared_text = self.spec.spec.len();
        let description = self.spec.held_bytes() + shared_text + steps;
        JOB_BYTES + description + items * ITEM_BYTES
    }

    /// Returns whether the job may hold its memory for long: it is long-running or recurs.
    pub fn is_lasting(&self) -> bool {
        self.is_lasting
    }

    /// Returns whether the final phase is stored and no run of the job is left.
    pub fn has_ended(&self) -> bool {
        self.stored_phase.is_final() && self.has_no_runs()
    }

    /// Returns whether no run of the job is left.
    pub fn has_no_runs(&self) -> bool {
        self.items.iter().all(|item| item.runs.is_empty())
    }

    /// Returns the phase that callers see: a final one only when it is stored.
    pub fn visible_phase(&self) -> JobPhase {
        if self.stored_phase.is_final() {
            return self.stored_phase;
        }
        if self.started {
            return JobPhase::Running;
        }
        JobPhase::Queued
    }
}
