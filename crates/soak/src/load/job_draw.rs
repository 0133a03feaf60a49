use {
    super::{JobKind, SubmittedJob},
    goldcreststall_adapter_standin::{QueueShape, WorkPlan},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::jobs::{JobId, JobSpec, StepSpec},
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

/// Combined with the seed, so that the load draws other random numbers than the faults of the same seed.
const LOAD_SEED_MASK: u64 = 0x6c6f_6164;
const WORK_DURATION_MS: std::ops::Range<u32> = 60..600;
/// Work that is running when a runner restarts, is cut off, and returns.
const LONG_WORK_DURATION_MS: std::ops::Range<u32> = 3_000..14_000;
/// Share of the jobs with such work.
const LONG_WORK_PERCENT: u32 = 15;
const CPU_MILLI: std::ops::Range<u32> = 500..3_000;
const STEP_WIDTH: std::ops::Range<u32> = 1..6;
const LONG_RUNNING_WIDTH: u32 = 4;
const LONG_RUNNING_CPU_MILLI: u32 = 1_000;
const MEM_MB: u32 = 200;

/// Draws random jobs; the same seed and calls give the same jobs.
pub struct JobDraw {
    random: StdRng,
    long_work: bool,
}

impl JobDraw {
    /// Creates the generator for the run with the seed `seed`. With `long_work`, some jobs work for seconds.
    pub fn new(seed: u64, long_work: bool) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed ^ LOAD_SEED_MASK),
            long_work,
        }
    }

    /// Draws a number below `count`; 0 if `count` is 0.
    pub fn draw_below(&mut self, count: usize) -> usize {
        self.random.random_range(0..count.max(1))
    }

    /// Draws a job that completes, fails or is cancelled, for one of `queues`.
    pub fn short_running(&mut self, queues: &[QueueShape], now: Millis) -> SubmittedJob {
        let kind = match self.random.random_range(0..100) {
            0..8 => JobKind::Cancelled,
            8..12 => JobKind::Hopeless,
            _ => JobKind::Passing,
        };
        let is_long = self.long_work && self.random.random_range(0..100) < LONG_WORK_PERCENT;
        let duration_ms = if is_long {
            LONG_WORK_DURATION_MS
        } else {
            WORK_DURATION_MS
        };
        let step_count = self.random.random_range(1..=2);
        let mut steps = Vec::new();
        let mut plan = WorkPlan {
            work_ms: Vec::new(),
            hopeless: kind == JobKind::Hopeless,
        };
        for step in 0..step_count {
            let work_ms = self.random.random_range(duration_ms.clone());
            plan.work_ms.push(work_ms);
            steps.push(StepSpec {
                count: self.random.random_range(STEP_WIDTH),
                cpu: self.random.random_range(CPU_MILLI),
                mem_mb: MEM_MB,
                estimate_ms: work_ms,
                after: (0..step).collect(),
                anti_affinity: self.random.random_range(0..3),
                ..StepSpec::default()
            });
        }
        self.submitted_job(queues, steps, &plan, kind, now)
    }

    /// Draws a long-running job for one of `queues`.
    pub fn long_running(&mut self, queues: &[QueueShape], now: Millis) -> SubmittedJob {
        let step = StepSpec {
            count: LONG_RUNNING_WIDTH,
            cpu: LONG_RUNNING_CPU_MILLI,
            mem_mb: MEM_MB,
            anti_affinity: 1,
            long_running: true,
            may_miss: 1,
            ..StepSpec::default()
        };
        let plan = WorkPlan {
            work_ms: vec![0],
            hopeless: false,
        };
        self.submitted_job(queues, vec![step], &plan, JobKind::Lasting, now)
    }

    fn submitted_job(
        &mut self,
        queues: &[QueueShape],
        steps: Vec<StepSpec>,
        plan: &WorkPlan,
        kind: JobKind,
        now: Millis,
    ) -> SubmittedJob {
        let queue = queues[self.draw_below(queues.len())].clone();
        let spec = JobSpec {
            spec: plan.encode(),
            steps,
            ..JobSpec::default()
        };
        let id = JobId(self.random.random());
        SubmittedJob::new(id, queue, spec, kind, now)
    }
}
