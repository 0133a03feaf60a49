//! Guards against cancelled jobs that run, and against waves of cancellations that take other jobs with
//! them.

mod job_fleet;

use {
    goldcreststall_core::{
        jobs::{JobRecord, JobState, MAX_BATCH, TaskView},
        traffic::Urgency,
    },
    job_fleet::{FleetSim, spec},
};

/// A wave hits queued, leased and ended jobs alike, twice, between plan and append.
#[test]
fn wave_and_repeat() {
    let mut fleet = FleetSim::new(4);
    let jobs: Vec<_> = (0..400)
        .map(|_| fleet.submit(spec("t1", Urgency::Normal)))
        .collect();
    fleet.rounds(14);
    let cancelled: Vec<_> = jobs.iter().copied().step_by(2).collect();
    let before = fleet.ledger.counts();
    assert!(
        before.done > 0 && before.leased > 0 && before.queued > 0,
        "{before:?}"
    );
    fleet.read(0);
    fleet.observe(0);
    fleet.plan(0);
    assert!(cancelled.len() <= MAX_BATCH);
    let cancel = JobRecord::Cancel {
        jobs: cancelled.clone(),
    };
    assert!(fleet.apply(&cancel).is_ok());
    assert!(
        fleet.apply(&cancel).is_err(),
        "the repetition changes nothing"
    );
    for job in &cancelled {
        let ended = matches!(fleet.state(*job), JobState::Cancelled | JobState::Done);
        assert!(ended, "{:?}", fleet.ledger.job(*job));
    }
    let runs = fleet.runs.clone();
    fleet.append(0, false);
    fleet.send(0);
    fleet.rounds(3);
    let mut tasks = fleet.workers.iter().flat_map(|worker| &worker.tasks);
    let stopped = |task: &TaskView| !task.is_active() || !cancelled.contains(&task.job);
    assert!(tasks.all(stopped), "a cancelled task still runs");
    fleet.rounds(200);
    for job in &jobs {
        let expected = match cancelled.contains(job) {
            true => matches!(fleet.state(*job), JobState::Cancelled | JobState::Done),
            false => *fleet.state(*job) == JobState::Done,
        };
        assert!(expected, "{:?}", fleet.ledger.job(*job));
        if *fleet.state(*job) == JobState::Cancelled {
            let started = fleet.runs.get(job).copied().unwrap_or_default();
            // One start command may be under way when the cancellation arrives.
            assert!(started <= runs.get(job).copied().unwrap_or_default() + 1);
        }
    }
    assert_eq!(fleet.unfinished(), 0);
}
