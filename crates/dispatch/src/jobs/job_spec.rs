use serde::{Deserialize, Serialize};

/// Most work items of one job over all occurrences; bounds the memory of one call.
const MAX_ITEMS: u64 = 20_000;

/// What a job asks for that cannot be run.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum SpecError {
    /// A step names a later step, itself, or none as its predecessor.
    #[error("step {0} must name only earlier steps in its dependencies")]
    Dependency(usize),
    /// There are no steps, a step has no work items, or there are too many.
    #[error("a job needs steps with work items, at most 20,000 in all")]
    Size,
    /// The product does not run such work yet.
    #[error("{0} is not supported yet")]
    Unsupported(&'static str),
}

/// A job as its caller described it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSpec {
    /// Passed to the runner unchanged.
    pub spec: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the first occurrence is due, in Unix milliseconds; only with `times`.
    pub start_at_ms: u64,
    /// Time between occurrences, in milliseconds; only with `times`.
    pub interval_ms: u64,
    /// Number of scheduled occurrences; 0 for a job that runs once and at once.
    pub times: u32,
}

/// One step: work items that are alike.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepSpec {
    /// Number of work items.
    pub count: u32,
    /// Processor time of each, in thousandths of a core.
    pub cpu: u32,
    /// Memory of each, in MB.
    pub mem_mb: u32,
    /// Accelerators of each.
    pub gpu: u32,
    /// The caller's estimate of the duration, in milliseconds.
    pub estimate_ms: u32,
    /// Earlier steps that must be done first.
    pub after: Vec<u32>,
    /// Work items can resume from a checkpoint.
    pub checkpointing: bool,
    /// Work items run only together.
    pub gang: bool,
    /// Work items are slower on more than one rack.
    pub same_rack: bool,
    /// Label that the runner must have.
    pub required_label: Option<String>,
    /// Rack where the data is; other racks are slower.
    pub data_rack: Option<String>,
    /// Most work items of the step on one runner; 0 for no limit.
    pub anti_affinity: u32,
    /// Copies of a work item may run at the same time.
    pub speculative: bool,
    /// Work items run until the job is cancelled.
    pub long_running: bool,
    /// Most response time of a serving work item, in milliseconds; 0 for none.
    pub target_ms: u32,
    /// Work items use only capacity that others leave.
    pub fills: bool,
    /// Work items that may be away at the same time by our action.
    pub may_miss: u32,
}

impl StepSpec {
    /// Returns the processor time that counts against a runner, in thousandths of a core.
    pub fn counted_cpu(&self) -> u32 {
        if self.fills { 0 } else { self.cpu }
    }
}

impl JobSpec {
    /// Returns how often the steps run.
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }

    /// Checks that the job can be run.
    ///
    /// # Errors
    /// When sizes or dependencies are wrong, or the job asks for what is not built.
    pub fn check(&self) -> Result<(), SpecError> {
        let width: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let items = width * u64::from(self.occurrences());
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
                return Err(SpecError::Unsupported("a gang that lasts"));
            }
        }
        Ok(())
    }

    /// Returns the longest chain of estimated durations from the start of `step` to the end of the job, in
    /// milliseconds.
    pub fn chain_from(&self, step: usize) -> u64 {
        let own = u64::from(self.steps[step].estimate_ms);
        let follows = |later: &usize| self.steps[*later].after.contains(&(step as u32));
        let longest = (step + 1..self.steps.len())
            .filter(follows)
            .map(|later| self.chain_from(later))
            .max();
        own + longest.unwrap_or(0)
    }

    /// Returns the longest chain of estimated durations, in milliseconds.
    pub fn longest_chain(&self) -> u64 {
        (0..self.steps.len())
            .map(|step| self.chain_from(step))
            .max()
            .unwrap_or(0)
    }
}
