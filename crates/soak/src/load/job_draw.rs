use {
    super::{JobKind, SubmittedJob},
    goldcreststall_adapter_standin::{QueueShape, WorkPlan},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::jobs::{JobId, JobSpec, StepSpec},
    rand::{RngExt, SeedableRng, rngs::StdRng},
};

/// Keeps the draws of the load apart from those of the faults of the same seed.
const LOAD_STREAM: u64 = 0x6c6f_6164;
const WORK_MS: std::ops::Range<u32> = 60..600;
const CPU: std::ops::Range<u32> = 500..3_000;
const WIDTH: std::ops::Range<u32> = 1..6;
const LASTING_WIDTH: u32 = 4;
const LASTING_CPU: u32 = 1_000;
const MEM_MB: u32 = 200;

/// Draws jobs from a seed.
pub struct JobDraw {
    random: StdRng,
}

impl JobDraw {
    /// Creates the draw of a run.
    pub fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed ^ LOAD_STREAM),
        }
    }

    /// Draws a number below `count`.
    pub fn below(&mut self, count: usize) -> usize {
        self.random.random_range(0..count.max(1))
    }

    /// Draws a job that ends, fails or is cancelled.
    pub fn passing(&mut self, queues: &[QueueShape], now: Millis) -> SubmittedJob {
        let kind = match self.random.random_range(0..100) {
            0..8 => JobKind::Cancelled,
            8..12 => JobKind::Hopeless,
            _ => JobKind::Passing,
        };
        let count = self.random.random_range(1..=2);
        let mut steps = Vec::new();
        let mut plan = WorkPlan {
            work_ms: Vec::new(),
            hopeless: kind == JobKind::Hopeless,
        };
        for number in 0..count {
            let work_ms = self.random.random_range(WORK_MS);
            plan.work_ms.push(work_ms);
            steps.push(StepSpec {
                count: self.random.random_range(WIDTH),
                cpu: self.random.random_range(CPU),
                mem_mb: MEM_MB,
                estimate_ms: work_ms,
                after: (0..number).collect(),
                anti_affinity: self.random.random_range(0..3),
                ..StepSpec::default()
            });
        }
        self.entry(queues, steps, &plan, kind, now)
    }

    /// Draws a job that lasts.
    pub fn lasting(&mut self, queues: &[QueueShape], now: Millis) -> SubmittedJob {
        let step = StepSpec {
            count: LASTING_WIDTH,
            cpu: LASTING_CPU,
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
        self.entry(queues, vec![step], &plan, JobKind::Lasting, now)
    }

    fn entry(
        &mut self,
        queues: &[QueueShape],
        steps: Vec<StepSpec>,
        plan: &WorkPlan,
        kind: JobKind,
        now: Millis,
    ) -> SubmittedJob {
        let queue = queues[self.below(queues.len())].clone();
        let job = JobSpec {
            spec: plan.encode(),
            steps,
            ..JobSpec::default()
        };
        let id = JobId(self.random.random());
        SubmittedJob::new(id, queue, job, kind, now)
    }
}
