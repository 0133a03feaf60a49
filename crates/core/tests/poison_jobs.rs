//! Guards against jobs that can never succeed: they must be quarantined after a bounded number of attempts and must
//! neither delay other jobs nor get healthy workers excluded permanently.

mod job_fleet;

use {
    goldcreststall_core::{
        jobs::{JobId, JobRecord, JobState, QuarantineReason},
        traffic::Urgency,
    },
    job_fleet::{FleetSim, size, spec},
};

/// Three discounted failures, then failures on three workers.
const MAX_ATTEMPTS: u32 = 6;

fn submit_poison(fleet: &mut FleetSim, count: usize) -> Vec<JobId> {
    let jobs = (0..count).map(|_| fleet.submit(spec("t1", Urgency::Normal)));
    let jobs: Vec<_> = jobs.collect();
    fleet.poison.extend(jobs.iter().copied());
    jobs
}

fn is_quarantined(fleet: &FleetSim, job: JobId) -> bool {
    *fleet.state(job) == JobState::Quarantined(QuarantineReason::FailedTooOften)
}

/// A single poison job is quarantined after failures on three different workers.
#[test]
fn single_job() {
    let mut fleet = FleetSim::new(8);
    let job = submit_poison(&mut fleet, 1)[0];
    fleet.run_rounds(20);
    assert!(is_quarantined(&fleet, job));
    let reported: Vec<_> = fleet.ledger.needing_attention().map(|(id, _)| id).collect();
    assert_eq!(reported, vec![job]);
    assert_eq!(fleet.runs[&job], 3);
    let failures = &fleet.ledger.job(job).unwrap().failures;
    let in_second_rack = failures.iter().map(|worker| worker.host.as_str() >= "w004");
    assert!(
        in_second_rack.clone().any(|second| second) && in_second_rack.clone().any(|second| !second),
        "all attempts went to one rack"
    );
}

/// Many poison jobs at once look like workers that fail every job. They must not get the workers of the pool excluded.
#[test]
fn many_poison_jobs() {
    let mut fleet = FleetSim::new(12);
    let bad = submit_poison(&mut fleet, 300);
    let good: Vec<_> = (0..100)
        .map(|_| fleet.submit(spec("t2", Urgency::Normal)))
        .collect();
    fleet.run_rounds(100);
    for job in bad {
        assert!(is_quarantined(&fleet, job), "{:?}", fleet.ledger.job(job));
        assert!(
            fleet.runs[&job] <= MAX_ATTEMPTS,
            "{} attempts",
            fleet.runs[&job]
        );
    }
    assert!(good.iter().all(|job| *fleet.state(*job) == JobState::Done));
    let excluded = fleet
        .workers
        .iter()
        .filter(|worker| fleet.ledger.worker_health().is_excluded(&worker.view.id));
    assert_eq!(
        excluded.count(),
        0,
        "exclusions caused by poison jobs remain"
    );
}

/// In a pool of one worker, a job can never fail on three different workers.
#[test]
fn one_worker() {
    let mut fleet = FleetSim::new(1);
    let job = submit_poison(&mut fleet, 1)[0];
    fleet.run_rounds(40);
    assert!(is_quarantined(&fleet, job), "{:?}", fleet.ledger.job(job));
    assert_eq!(fleet.runs[&job], 6);
}

/// A job that fits only one worker of the pool can never fail on three different workers.
#[test]
fn one_large_worker() {
    let mut fleet = FleetSim::new(8);
    fleet.workers[5].view.capacity.accelerators = 1;
    let mut spec = spec("t1", Urgency::Normal);
    spec.size.accelerators = 1;
    let job = fleet.submit(spec);
    fleet.poison.insert(job);
    fleet.run_rounds(40);
    assert!(is_quarantined(&fleet, job), "{:?}", fleet.ledger.job(job));
    assert_eq!(fleet.runs[&job], 6);
}

/// A job that crashes its workers causes no reported failure, only lapsed leases.
#[test]
fn crashing_job() {
    let mut fleet = FleetSim::new(4);
    let job = fleet.submit(spec("t1", Urgency::Normal));
    for _ in 0..1_500 {
        fleet.run_round();
        let lease = fleet.ledger.job(job).unwrap().lease().cloned();
        let running = |worker: &job_fleet::SimWorker| !worker.tasks.is_empty();
        if let Some(index) = fleet
            .workers
            .iter()
            .position(running)
            .filter(|_| lease.is_some())
        {
            fleet.restart(index);
        }
    }
    let reason = QuarantineReason::LapsedTooOften;
    assert_eq!(*fleet.state(job), JobState::Quarantined(reason));
}

/// A job larger than every worker is reported, is kept, and delays no job behind it.
#[test]
fn unplaceable_job() {
    let mut fleet = FleetSim::new(4);
    let mut large = spec("t1", Urgency::Urgent);
    large.size = size(64, 4);
    let large = fleet.submit(large);
    let small = fleet.submit(spec("t1", Urgency::Overnight));
    let plan = fleet.run_round();
    assert_eq!(plan.waiting.unplaceable, 1);
    let lines: Vec<_> = plan.decisions.iter().map(ToString::to_string).collect();
    assert!(
        lines.iter().any(|line| line.contains("unplaceable")),
        "{lines:?}"
    );
    fleet.run_rounds(20);
    assert!(fleet.ledger.job(large).unwrap().unplaceable);
    assert_eq!(*fleet.state(small), JobState::Done);
    for worker in &mut fleet.workers {
        worker.view.capacity = size(64, 64);
    }
    let records = fleet.run_round().records;
    let changes = records
        .iter()
        .filter(|record| matches!(record, JobRecord::SetUnplaceable { .. }));
    assert_eq!(
        changes.count(),
        0,
        "the plan clears a flag that its grant already clears"
    );
    fleet.run_rounds(20);
    assert_eq!(
        *fleet.state(large),
        JobState::Done,
        "the job was not placed on a larger worker"
    );
}

/// An overdue job is reported and still runs.
#[test]
fn overdue_job() {
    let mut fleet = FleetSim::new(1);
    fleet.workers[0].view.draining = true;
    let job = fleet.submit(spec("t1", Urgency::Overnight));
    fleet.advance(7_200_000);
    assert_eq!(fleet.run_round().overdue, vec![job]);
    fleet.workers[0].view.draining = false;
    fleet.run_rounds(20);
    assert_eq!(*fleet.state(job), JobState::Done);
}
