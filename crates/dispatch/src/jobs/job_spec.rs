use {
    crate::runners::Capacity,
    postcard::ser_flavors::Size,
    serde::{Deserialize, Serialize},
};

/// Maximum number of work items of a job over all occurrences; bounds the memory that one call can use.
const MAX_ITEMS: u64 = 20_000;
/// Longest text for runners, in bytes: 4,000 characters of any kind. The commands of one frame between entry hosts, each
/// with a text, stay below the longest frame.
const MAX_TEXT_BYTES: usize = 16_000;
/// Most bytes of the steps of a job as they are stored. The store takes records of up to 256 KiB; one that it refuses
/// would be repeated for ever, and no other job would be stored.
const MAX_STORED_BYTES: usize = 200_000;

/// Reason why a job cannot be run.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SpecError {
    /// A step depends on itself, on a later step, or on a step that does not exist.
    #[error("step {0} must name only earlier steps in its dependencies")]
    Dependency(usize),
    /// There are no steps, a step has no work items, or there are too many work items.
    #[error("a job needs steps with work items, at most 20,000 in all")]
    Size,
    /// The text or the steps are too long to be stored.
    #[error("a job has at most 16,000 bytes of text and 200,000 bytes of steps as they are stored")]
    StoredSize,
    /// The job uses a feature that is not implemented yet.
    #[error("{0} is not supported yet")]
    Unsupported(&'static str),
}

/// A job as described by its caller.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Passed to the runner unchanged.
    pub spec: String,
    /// Steps; each may depend on earlier ones.
    pub steps: Vec<StepSpec>,
    /// When the first occurrence is due, in Unix milliseconds; only with `times`.
    pub start_at_ms: u64,
    /// Time between occurrences, in milliseconds; only with `times`.
    pub interval_ms: u64,
    /// Number of scheduled occurrences; 0 for a job that runs once and immediately.
    pub times: u32,
}

/// One step: a number of equal work items.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepSpec {
    /// Number of work items.
    pub count: u32,
    /// Processor time of each work item, in thousandths of a core.
    pub cpu: u32,
    /// Memory of each work item, in MB.
    pub mem_mb: u32,
    /// Accelerators of each work item.
    pub gpu: u32,
    /// The caller's estimate of the duration of a work item, in milliseconds.
    pub estimate_ms: u32,
    /// Numbers of the earlier steps that must be done first.
    pub after: Vec<u32>,
    /// Work items can resume from a checkpoint.
    pub checkpointing: bool,
    /// The work items form a gang: they run only all together.
    pub gang: bool,
    /// The work items are slower when they run on more than one rack.
    pub same_rack: bool,
    /// Label that the runner must have.
    pub required_label: Option<String>,
    /// Rack that holds the data; work items on other racks are slower.
    pub data_rack: Option<String>,
    /// Maximum number of work items of the step on one runner; 0 for no limit.
    pub anti_affinity: u32,
    /// Several runs of the same work item may run at the same time.
    pub speculative: bool,
    /// The work items run until the job is cancelled.
    pub long_running: bool,
    /// Objective for the response time of a serving work item, one that is long-running and answers requests, in
    /// milliseconds; 0 for none.
    pub target_ms: u32,
    /// The work items only use processor time that other work leaves unused; theirs does not count as used.
    pub fills: bool,
    /// Maximum number of work items that the owner may stop at the same time for maintenance; 0 for no limit.
    pub may_miss: u32,
}

impl StepSpec {
    /// Returns the processor time that counts against the capacity of a runner, in thousandths of a core.
    pub fn counted_cpu(&self) -> u32 {
        if self.fills { 0 } else { self.cpu }
    }

    /// Returns the capacity that a run of a work item uses.
    pub fn demand(&self) -> Capacity {
        Capacity {
            cpu: self.counted_cpu(),
            mem_mb: self.mem_mb,
            gpu: self.gpu,
        }
    }
}

impl JobSpec {
    /// Returns how often the steps run; at least 1.
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }

    /// Returns whether any work items of the job run until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns whether the job is long-running or recurs.
    pub fn is_lasting(&self) -> bool {
        self.times > 0 || self.is_long_running()
    }

    /// Checks that the job can be run.
    ///
    /// # Errors
    /// When sizes or dependencies are invalid, or the job uses a feature that is not implemented.
    pub fn check(&self) -> Result<(), SpecError> {
        let item_count: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let items = item_count.saturating_mul(u64::from(self.occurrences()));
        let empty = self.steps.iter().any(|step| step.count == 0);
        if self.steps.is_empty() || empty || items > MAX_ITEMS {
            return Err(SpecError::Size);
        }
        for (number, step) in self.steps.iter().enumerate() {
            let earlier = |after: &u32| (*after as usize) < number;
            if !step.after.iter().all(earlier) {
                return Err(SpecError::Dependency(number));
            }
            if step.gang && step.long_running {
                return Err(SpecError::Unsupported("a long-running gang"));
            }
        }
        Ok(())
    }

    /// Checks that the job is small enough to be stored.
    ///
    /// # Errors
    /// When the text or the steps are too long.
    pub fn check_stored_size(&self) -> Result<(), SpecError> {
        let stored = postcard::serialize_with_flavor(&self.steps, Size::default());
        let fits = stored.is_ok_and(|bytes| bytes <= MAX_STORED_BYTES);
        if self.spec.len() > MAX_TEXT_BYTES || !fits {
            return Err(SpecError::StoredSize);
        }
        Ok(())
    }

    /// Returns the memory that the description holds besides its own size, in bytes.
    pub fn held_bytes(&self) -> usize {
        let text = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let step_bytes = |step: &StepSpec| {
            size_of::<StepSpec>()
                + size_of_val(step.after.as_slice())
                + text(&step.required_label)
                + text(&step.data_rack)
        };
        let steps = self.steps.iter().map(step_bytes).sum::<usize>();
        steps + self.spec.len()
    }

    /// Returns the length of the critical path from the start of each step to the end of the job, by the estimated
    /// durations, in milliseconds.
    pub fn critical_paths(&self) -> Vec<u64> {
        let mut paths = vec![0; self.steps.len()];
        // A step depends on earlier ones only, so that all paths that begin after it are known when it is reached. A
        // recursion would visit a step once for each path to it, and these can double with every step.
        for (number, step) in self.steps.iter().enumerate().rev() {
            paths[number] += u64::from(step.estimate_ms);
            let path = paths[number];
            for earlier in &step.after {
                let earlier = &mut paths[*earlier as usize];
                *earlier = path.max(*earlier);
            }
        }
        paths
    }

    /// Returns the length of the critical path of the job by the estimated durations, in milliseconds.
    pub fn critical_path(&self) -> u64 {
        self.critical_paths().into_iter().max().unwrap_or(0)
    }
}
