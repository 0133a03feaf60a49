//! Guards against checks that see nothing: each violated invariant must be found.

use {
    goldcreststall_adapter_standin::{QueueShape, RunChange, RunEvent, WorkPlan},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::{ItemName, JobId, JobSpec, StepSpec},
        runners::EndKind,
    },
    goldcreststall_soak::{
        checks::{Invariant, RunCheck},
        load::{JobKind, SubmittedJob, SubmittedJobs},
    },
    std::sync::Arc,
};

const ID: JobId = JobId(7);

struct Scene {
    submitted_jobs: Arc<SubmittedJobs>,
    check: RunCheck,
    spec: String,
    now: u64,
}

fn scene(kind: JobKind, steps: Vec<StepSpec>) -> Scene {
    let queue = QueueShape {
        name: "proofs".to_owned(),
        pool: "press".to_owned(),
        attempts: 2,
    };
    let spec = WorkPlan::default().encode();
    let job = JobSpec {
        spec: spec.clone(),
        steps,
        ..JobSpec::default()
    };
    let submitted_jobs = Arc::new(SubmittedJobs::default());
    submitted_jobs.add(SubmittedJob::new(ID, queue, job, kind, Millis(0)));
    Scene {
        check: RunCheck::new(Arc::clone(&submitted_jobs)),
        submitted_jobs,
        spec,
        now: 0,
    }
}

fn step(count: u32, cpu: u32) -> StepSpec {
    StepSpec {
        count,
        cpu,
        ..StepSpec::default()
    }
}

impl Scene {
    fn see(&mut self, host: &str, step: u32, index: u32, run: u32, change: RunChange) {
        self.now += 10;
        let event = RunEvent {
            at: Millis(self.now),
            host: host.to_owned(),
            pool: "press".to_owned(),
            name: ItemName {
                job: ID,
                occurrence: 0,
                step,
                index,
            },
            run,
            change,
        };
        self.check.take(vec![event]);
    }

    fn start(&mut self, host: &str, step: u32, index: u32, run: u32) {
        let change = RunChange::Started {
            spec: self.spec.clone(),
            token: 1,
        };
        self.see(host, step, index, run, change);
    }

    fn end(&mut self, host: &str, step: u32, index: u32, run: u32, kind: EndKind) {
        self.see(host, step, index, run, RunChange::Ended(kind));
        self.see(host, step, index, run, RunChange::Acknowledged(kind));
    }

    fn violations(&self) -> Vec<Invariant> {
        let violations = self.check.violations().iter();
        violations.map(|violation| violation.invariant).collect()
    }
}

#[test]
fn two_runs_at_once() {
    let mut scene = scene(JobKind::Passing, vec![step(1, 100)]);
    scene.start("h1", 0, 0, 1);
    scene.start("h2", 0, 0, 2);
    assert_eq!(scene.violations(), [Invariant::Once]);
}

#[test]
fn run_after_done() {
    let mut scene = scene(JobKind::Passing, vec![step(1, 100)]);
    scene.start("h1", 0, 0, 1);
    scene.end("h1", 0, 0, 1, EndKind::Done);
    scene.now += 2_000;
    scene.start("h2", 0, 0, 2);
    assert_eq!(scene.violations(), [Invariant::Once]);
}

#[test]
fn step_too_early() {
    let second = StepSpec {
        after: vec![0],
        ..step(1, 100)
    };
    let mut scene = scene(JobKind::Passing, vec![step(1, 100), second]);
    scene.start("h1", 1, 0, 1);
    assert_eq!(scene.violations(), [Invariant::Order]);
}

#[test]
fn too_many_attempts() {
    let mut scene = scene(JobKind::Passing, vec![step(1, 100)]);
    for run in 1..=3 {
        scene.start("h1", 0, 0, run);
        scene.end("h1", 0, 0, run, EndKind::Failed);
    }
    assert_eq!(scene.violations(), [Invariant::Attempts]);
}

#[test]
fn no_room() {
    let mut scene = scene(JobKind::Passing, vec![step(2, 9_000)]);
    scene.start("h1", 0, 0, 1);
    scene.start("h1", 0, 1, 1);
    assert_eq!(scene.violations(), [Invariant::Room]);
}

#[test]
fn runs_after_cancel() {
    let mut scene = scene(JobKind::Cancelled, vec![step(1, 100)]);
    scene
        .submitted_jobs
        .change(ID, |entry| entry.cancelled = Some(Millis(0)));
    scene.now = 20_000;
    scene.start("h1", 0, 0, 1);
    assert_eq!(scene.violations(), [Invariant::NotCancelled]);
}

#[test]
fn runs_though_refused() {
    let mut scene = scene(JobKind::Passing, vec![step(1, 100)]);
    scene
        .submitted_jobs
        .change(ID, |entry| entry.given_up = true);
    scene.start("h1", 0, 0, 1);
    assert_eq!(scene.violations(), [Invariant::NotRefused]);
}

#[test]
fn too_many_taken_away() {
    let serving = StepSpec {
        long_running: true,
        may_miss: 1,
        ..step(3, 100)
    };
    let mut scene = scene(JobKind::Lasting, vec![serving]);
    for index in 0..3 {
        scene.start("h1", 0, index, 1);
    }
    scene.see("h1", 0, 0, 1, RunChange::Ended(EndKind::Stopped));
    assert_eq!(scene.violations(), []);
    scene.see("h1", 0, 1, 1, RunChange::Lost { commanded: true });
    assert_eq!(scene.violations(), [Invariant::Available]);
}
