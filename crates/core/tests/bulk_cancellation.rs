//! Guards against cancelled jobs that still run, and against bulk cancellations that affect other jobs.

mod job_fleet;

use {
    goldcreststall_core::{
        jobs::{JobRecord, JobState, MAX_BATCH, TaskView},
        traffic::Urgency,
    },
    job_fleet::{FleetSim, spec},
};

/// One record cancels queued, leased and ended jobs, is applied twice, and arrives between a plan and its append.
#[test]
fn bulk_cancel_and_repeat() {
    let mut fleet = FleetSim::new(4);
    let jobs: Vec<_> = (0..400)
        .map(|_| fleet.submit(spec("t1", Urgency::Normal)))
        .collect();
    fleet.run_rounds(14);
    let cancelled: Vec<_> = jobs.iter().copied().step_by(2).collect();
    let before = fleet.ledger.counts();
    assert!(
        before.done > 0 && before.leased > 0 && before.queued > 0,
        "{before:?}"
    );
    fleet.read_log(0);
    fleet.collect_reports(0);
    fleet.plan(0);
    assert!(cancelled.len() <= MAX_BATCH);
    let cancel = JobRecord::Cancel {
        jobs: cancelled.clone(),
    };
    assert!(fleet.apply(&cancel).is_ok());
    assert!(
        fleet.apply(&cancel).is_err(),
        "a repeated cancellation is accepted"
    );
    for job in &cancelled {
        let ended = matches!(fleet.state(*job), JobState::Cancelled | JobState::Done);
        assert!(ended, "{:?}", fleet.ledger.job(*job));
    }
    let runs = fleet.runs.clone();
    fleet.append(0, false);
    fleet.send_commands(0);
    fleet.run_rounds(3);
    let mut tasks = fleet.workers.iter().flat_map(|worker| &worker.tasks);
    let stopped = |task: &TaskView| !task.is_active() || !cancelled.contains(&task.job);
    assert!(tasks.all(stopped), "a cancelled task still runs");
    fleet.run_rounds(200);
    for job in &jobs {
        let expected = match cancelled.contains(job) {
            true => matches!(fleet.state(*job), JobState::Cancelled | JobState::Done),
            false => *fleet.state(*job) == JobState::Done,
        };
        assert!(expected, "{:?}", fleet.ledger.job(*job));
        if *fleet.state(*job) == JobState::Cancelled {
            let started = fleet.runs.get(job).copied().unwrap_or_default();
            // One start command may already be on its way when the cancellation is applied.
            assert!(started <= runs.get(job).copied().unwrap_or_default() + 1);
        }
    }
    assert_eq!(fleet.unfinished(), 0);
}
