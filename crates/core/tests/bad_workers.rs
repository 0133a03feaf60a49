//! Guards against workers that fail everything they start: they must be found out, and the jobs they
//! failed must not pay for it.

mod job_fleet;

use {
    goldcreststall_core::{
        ids::{Incarnation, Millis},
        jobs::{
            FailItem, JobId, JobRecord, JobState, LeaseRef, QuarantineReason, TaskAction, TaskUsage,
        },
        ledger::Rejection,
        traffic::Urgency,
    },
    job_fleet::{FleetSim, spec},
    std::collections::BTreeSet,
};

fn submit_many(fleet: &mut FleetSim, count: usize) -> Vec<JobId> {
    (0..count)
        .map(|_| fleet.submit(spec("t1", Urgency::Normal)))
        .collect()
}

fn all_done(fleet: &FleetSim) -> bool {
    let mut jobs = fleet.submitted.iter();
    jobs.all(|job| *fleet.state(*job) == JobState::Done)
}

/// A broken worker is always the emptiest one, so without exclusion it attracts and fails every job.
#[test]
fn broken_worker() {
    let mut fleet = FleetSim::new(8);
    fleet.workers[3].broken = true;
    submit_many(&mut fleet, 200);
    fleet.rounds(100);
    assert!(
        fleet
            .ledger
            .healths()
            .is_excluded(&fleet.workers[3].view.id)
    );
    assert_eq!(
        fleet.round().excluded,
        vec![fleet.workers[3].view.id.clone()]
    );
    assert!(all_done(&fleet), "{:?}", fleet.ledger.counts());
    let failures = fleet
        .submitted
        .iter()
        .map(|job| fleet.ledger.job(*job).unwrap().failures.len());
    assert_eq!(
        failures.sum::<usize>(),
        0,
        "failures of an excluded worker count against jobs"
    );
}

/// A rack that fails together must neither quarantine the jobs nor keep the other racks idle.
#[test]
fn broken_rack() {
    let mut fleet = FleetSim::new(16);
    for worker in &mut fleet.workers[4..8] {
        worker.broken = true;
    }
    submit_many(&mut fleet, 400);
    fleet.rounds(200);
    assert!(all_done(&fleet), "{:?}", fleet.ledger.counts());
}

/// A lost rack or data centre is silent. Its idempotent jobs run elsewhere once their leases lapsed.
#[test]
fn lost_data_centre() {
    let mut fleet = FleetSim::new(24);
    let jobs = submit_many(&mut fleet, 120);
    fleet.rounds(2);
    let lost = fleet.workers[0].view.data_centre.clone();
    let end = fleet.now + Millis(3_600_000);
    for worker in fleet
        .workers
        .iter_mut()
        .filter(|worker| worker.view.data_centre == lost)
    {
        worker.paused_until = end;
    }
    fleet.rounds(120);
    assert!(all_done(&fleet), "{:?}", fleet.ledger.counts());
    assert!(
        jobs.iter().any(|job| fleet.runs[job] == 2),
        "the loss hit no job"
    );
}

fn exclude(fleet: &mut FleetSim) {
    fleet.workers[0].broken = true;
    submit_many(fleet, 60);
    fleet.rounds(40);
    assert!(
        fleet
            .ledger
            .healths()
            .is_excluded(&fleet.workers[0].view.id)
    );
}

/// An excluded worker must not stay out for ever once an operator has repaired it.
#[test]
fn operator_readmits() {
    let mut fleet = FleetSim::new(4);
    exclude(&mut fleet);
    fleet.workers[0].broken = false;
    let worker = fleet.workers[0].view.id.clone();
    let readmit = JobRecord::Readmit { worker };
    assert_eq!(fleet.apply(&readmit), Ok(()));
    assert_eq!(
        fleet.apply(&readmit),
        Err(Rejection::StaleVersion),
        "repeated record"
    );
    submit_many(&mut fleet, 60);
    let line = format!("granted to {}", fleet.workers[0].view.id);
    let decisions = fleet.round().decisions;
    let mut lines = decisions.iter().map(ToString::to_string);
    assert!(
        lines.any(|text| text.contains(&line)),
        "the worker gets no job"
    );
    fleet.rounds(40);
    assert!(all_done(&fleet), "{:?}", fleet.ledger.counts());
}

/// A worker that was replaced under the same name is another worker.
#[test]
fn newer_incarnation() {
    let mut fleet = FleetSim::new(4);
    exclude(&mut fleet);
    let old = fleet.workers[0].view.id.clone();
    fleet.workers[0].broken = false;
    fleet.restart(0);
    let new = fleet.workers[0].view.id.clone();
    assert_eq!(new.incarnation, Incarnation(2));
    assert!(!fleet.ledger.healths().is_excluded(&new));
    assert!(fleet.ledger.healths().is_excluded(&old));
    submit_many(&mut fleet, 60);
    let granted = fleet
        .round()
        .decisions
        .iter()
        .any(|decision| decision.to_string().contains(&format!("granted to {new}")));
    assert!(granted, "the new run of the worker gets no job");
}

/// A non-idempotent job that failed after its start must not run again, whoever is to blame.
#[test]
fn failed_after_start() {
    let mut fleet = FleetSim::new(1);
    fleet.workers[0].broken = true;
    let mut spec = spec("t1", Urgency::Normal);
    spec.idempotent = false;
    let job = fleet.submit(spec);
    fleet.rounds(20);
    let reason = QuarantineReason::FailedAfterStart;
    assert_eq!(*fleet.state(job), JobState::Quarantined(reason));
    assert_eq!(fleet.runs[&job], 1);
}

/// A worker that reports, but that no start reaches, must not get the same job again and again.
#[test]
fn deaf_worker() {
    let mut fleet = FleetSim::new(4);
    let mut spec = spec("t1", Urgency::Normal);
    spec.idempotent = false;
    let job = fleet.submit(spec);
    let mut tried = BTreeSet::new();
    for _ in 0..120 {
        fleet.read(0);
        fleet.observe(0);
        fleet.plan(0);
        fleet.append(0, false);
        let commands = &mut fleet.holders[0].commands;
        commands.retain(|command| command.action != TaskAction::Start);
        fleet.send(0);
        fleet.wait(500);
        let lease = fleet.ledger.job(job).unwrap().lease();
        tried.extend(lease.map(|lease| lease.worker.clone()));
    }
    assert!(tried.len() > 1, "{tried:?}");
    fleet.rounds(60);
    assert_eq!(*fleet.state(job), JobState::Done);
    assert_eq!(fleet.runs[&job], 1);
}

/// A task that the worker refused has not run, so even a non-idempotent job goes elsewhere.
#[test]
fn refused_start() {
    let mut fleet = FleetSim::new(2);
    let mut spec = spec("t1", Urgency::Normal);
    spec.idempotent = false;
    let job = fleet.submit(spec);
    fleet.round();
    let lease = fleet.ledger.job(job).unwrap().lease().unwrap();
    let result = FailItem {
        lease: LeaseRef {
            grant: lease.grant,
            job,
        },
        started: false,
        usage: TaskUsage::default(),
    };
    let refused = lease.worker.clone();
    fleet
        .apply(&JobRecord::Fail {
            results: vec![result],
        })
        .unwrap();
    assert_eq!(*fleet.state(job), JobState::Queued);
    fleet.round();
    assert_ne!(
        fleet.ledger.job(job).unwrap().lease().unwrap().worker,
        refused
    );
}
