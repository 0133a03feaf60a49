use {
    super::{ItemName, JobId, JobPhase, JobSpec, StepSpec, WorkItem},
    crate::{
        records::{JobProgress, JobSubmission},
        routes::RouteRule,
    },
    goldcreststall_core::ids::{LocalTime, Millis},
    std::sync::Arc,
};

/// Multiple of its objective up to which a late job is still of use to its caller.
const LATE_FACTOR: u64 = 3;

/// A job that the owner knows.
#[derive(Debug)]
pub struct JobState {
    /// The caller's id.
    pub id: JobId,
    /// The queue as it was when the job was accepted.
    pub queue: Arc<RouteRule>,
    /// What the caller described.
    pub spec: JobSpec,
    /// The work items: by occurrence, then step, then index.
    pub items: Vec<WorkItem>,
    /// When this owner first saw it.
    pub first_seen: LocalTime,
    /// Where it stands in memory.
    pub phase: JobPhase,
    /// Where it stands in the store; final phases are shown only when they are stored.
    pub stored_phase: JobPhase,
    /// The submission is stored.
    pub accepted: bool,
    /// Work items may have been started by an earlier owner on runners that have not been looked at.
    pub unconfirmed: bool,
    /// A work item has been started by any owner, as far as known.
    pub begun: bool,
    /// When its final phase was reached.
    pub ended: Option<LocalTime>,
    width: u32,
}

impl JobState {
    /// Creates a job that has not run.
    pub fn new(id: JobId, submission: JobSubmission, first_seen: LocalTime) -> Self {
        let JobSubmission {
            queue, job: spec, ..
        } = submission;
        let mut items = Vec::new();
        for occurrence in 0..spec.occurrences() {
            for (step, shape) in spec.steps.iter().enumerate() {
                items.extend((0..shape.count).map(|index| WorkItem {
                    occurrence,
                    step: step as u32,
                    index,
                    ..WorkItem::default()
                }));
            }
        }
        let width = spec.steps.iter().map(|step| step.count).sum();
        Self {
            id,
            queue: Arc::new(queue),
            items,
            first_seen,
            phase: JobPhase::Queued,
            stored_phase: JobPhase::Queued,
            accepted: false,
            unconfirmed: false,
            begun: false,
            ended: None,
            width,
            spec,
        }
    }

    /// Applies what the store holds of the job's progress.
    pub fn restore(&mut self, progress: &JobProgress) {
        self.phase = progress.phase;
        self.stored_phase = progress.phase;
        self.begun |= progress.begun;
        for done in &progress.done {
            if let Some(item) = self.items.get_mut(*done as usize) {
                item.done = true;
            }
        }
        for (failed, runs) in &progress.fails {
            if let Some(item) = self.items.get_mut(*failed as usize) {
                item.failed_runs.clone_from(runs);
            }
        }
    }

    /// Returns what must be stored of the job's progress.
    pub fn progress(&self) -> JobProgress {
        let numbered = || self.items.iter().zip(0_u32..);
        JobProgress {
            phase: self.phase,
            begun: self.begun,
            done: numbered()
                .filter(|(item, _)| item.done)
                .map(|(_, number)| number)
                .collect(),
            fails: numbered()
                .filter(|(item, _)| !item.failed_runs.is_empty())
                .map(|(item, number)| (number, item.failed_runs.clone()))
                .collect(),
        }
    }

    /// Returns the step of a work item.
    pub fn step_of(&self, item: &WorkItem) -> &StepSpec {
        &self.spec.steps[item.step as usize]
    }

    /// Returns the wire name of the work item at `number`.
    pub fn item_name(&self, number: u32) -> ItemName {
        let item = &self.items[number as usize];
        ItemName {
            job: self.id,
            occurrence: item.occurrence,
            step: item.step,
            index: item.index,
        }
    }

    /// Returns the place of a work item by its wire name.
    pub fn find_item(&self, name: &ItemName) -> Option<u32> {
        let step = self.spec.steps.get(name.step as usize)?;
        if name.occurrence >= self.spec.occurrences() || name.index >= step.count {
            return None;
        }
        let places = self.step_places(name.occurrence, name.step);
        Some(places.start + name.index)
    }

    /// Returns the work items of one step in one occurrence.
    pub fn step_items(&self, occurrence: u32, step: u32) -> &[WorkItem] {
        let places = self.step_places(occurrence, step);
        &self.items[places.start as usize..places.end as usize]
    }

    /// Returns the places of the work items of one step in one occurrence.
    pub fn step_places(&self, occurrence: u32, step: u32) -> std::ops::Range<u32> {
        let before: u32 = self.spec.steps[..step as usize]
            .iter()
            .map(|step| step.count)
            .sum();
        let first = occurrence * self.width + before;
        first..first + self.spec.steps[step as usize].count
    }

    /// Returns whether all steps before `step` are done in the occurrence.
    pub fn step_is_open(&self, occurrence: u32, step: u32) -> bool {
        let done = |after: &u32| {
            let items = self.step_items(occurrence, *after);
            items.iter().all(|item| item.done)
        };
        self.spec.steps[step as usize].after.iter().all(done)
    }

    /// Returns when an occurrence may start, in Unix milliseconds; 0 for at once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        if self.spec.times == 0 {
            return 0;
        }
        self.spec.start_at_ms + u64::from(occurrence) * self.spec.interval_ms
    }

    /// Returns whether work items of the job run until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.spec.steps.iter().any(|step| step.long_running)
    }

    /// Returns the longest chain from the start of a step to the end of the job, in milliseconds. Where work
    /// items of the step have ended, their mean duration replaces the caller's estimate of the step: work items
    /// of a step are alike, and estimates are off by factors.
    pub fn chain_from(&self, occurrence: u32, step: u32) -> u64 {
        let estimate = u64::from(self.spec.steps[step as usize].estimate_ms);
        let ran = self
            .step_items(occurrence, step)
            .iter()
            .filter_map(|item| item.ran);
        let (count, sum) = ran.fold((0_u64, 0_u64), |(count, sum), ran| (count + 1, sum + ran.0));
        let own = sum.checked_div(count).unwrap_or(estimate);
        self.spec.chain_from(step as usize) - estimate + own
    }

    /// Returns the number of runners over which the job's lasting work must be spread.
    pub fn long_running_spread(&self) -> usize {
        let spread = |step: &StepSpec| match step.anti_affinity {
            0 => 0,
            most => step.count.div_ceil(most) as usize,
        };
        let lasting = self.spec.steps.iter().filter(|step| step.long_running);
        lasting.map(spread).max().unwrap_or(0)
    }

    /// Returns the objective of the job: the time from its submission in which it should be completed.
    pub fn objective(&self) -> Millis {
        let chain = self.spec.longest_chain() as f64;
        let stretched = self.queue.stretch * chain;
        Millis(stretched as u64 + self.queue.target_latency.0)
    }

    /// Returns the latest time at which a work item can start for its job to be in time.
    pub fn latest_start(&self, item: &WorkItem) -> LocalTime {
        let chain = self.chain_from(item.occurrence, item.step);
        self.first_seen + self.objective() - Millis(chain)
    }

    /// Returns until when a late job is still of use to its caller.
    pub fn useful_until(&self) -> LocalTime {
        self.first_seen + Millis(self.objective().0 * LATE_FACTOR)
    }

    /// Marks the job as completed when all work items are done, and returns whether it is new.
    pub fn complete_if_done(&mut self) -> bool {
        if self.phase.is_final() || !self.items.iter().all(|item| item.done) {
            return false;
        }
        self.phase = JobPhase::Completed;
        true
    }

    /// Frees what only a job that runs needs. Callers ask for two minutes where an ended job stands, and jobs of that time
    /// with their work items would not fit into the memory of a small entry host.
    pub fn shrink(&mut self) {
        self.items = Vec::new();
        self.spec = JobSpec::default();
    }

    /// Returns whether the job has ended for callers too, and nothing of it runs.
    pub fn has_ended(&self) -> bool {
        self.stored_phase.is_final() && self.items.iter().all(|item| item.runs.is_empty())
    }

    /// Returns the phase that callers are shown: a final one only when it is stored.
    pub fn visible_phase(&self) -> JobPhase {
        if self.stored_phase.is_final() {
            return self.stored_phase;
        }
        if self.begun {
            return JobPhase::Running;
        }
        JobPhase::Queued
    }
}
