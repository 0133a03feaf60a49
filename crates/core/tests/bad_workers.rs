//! Guards against workers that fail every job: they must be detected, and their failures must not count against the
//! jobs.

mod job_fleet;

use {
    goldcreststall_core::{
        ids::{HostName, Incarnation, Millis},
        jobs::{
            FailItem, GrantItem, JobId, JobRecord, JobState, LeaseRef, QuarantineReason,
            TaskAction, TaskUsage, WorkerId,
        },
        ledger::Rejection,
        traffic::Urgency,
    },
    job_fleet::{FleetSim, spec},
    std::collections::BTreeSet,
};

/// Number of workers that the table of failures holds.
const MAX_RETAINED_WORKERS: usize = 4_096;

fn submit_many(fleet: &mut FleetSim, count: usize) -> Vec<JobId> {
    (0..count)
        .map(|_| fleet.submit(spec("t1", Urgency::Normal)))
        .collect()
}

fn all_done(fleet: &FleetSim) -> bool {
    let mut jobs = fleet.submitted.iter();
    jobs.all(|job| *fleet.state(*job) == JobState::Done)
}

/// A broken worker is always the least loaded one, so without exclusion it would get and fail every job.
#[test]
fn broken_worker() {
    let mut fleet = FleetSim::new(8);
    fleet.workers[3].broken = true;
    submit_many(&mut fleet, 200);
    fleet.run_rounds(100);
    assert!(
        fleet
            .ledger
            .worker_health()
            .is_excluded(&fleet.workers[3].view.id)
    );
    assert_eq!(
        fleet.run_round().excluded,
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
        "failures on an excluded worker count against jobs"
    );
}

/// A rack whose workers all fail must neither get the jobs quarantined nor keep the other racks idle.
#[test]
fn broken_rack() {
    let mut fleet = FleetSim::new(16);
    for worker in &mut fleet.workers[4..8] {
        worker.broken = true;
    }
    submit_many(&mut fleet, 400);
    fleet.run_rounds(200);
    assert!(all_done(&fleet), "{:?}", fleet.ledger.counts());
}

/// The workers of a lost rack or data centre send no reports. Their idempotent jobs run elsewhere once the leases have
/// lapsed.
#[test]
fn lost_data_centre() {
    let mut fleet = FleetSim::new(24);
    let jobs = submit_many(&mut fleet, 120);
    fleet.run_rounds(2);
    let lost = fleet.workers[0].view.data_centre.clone();
    let end = fleet.now + Millis(3_600_000);
    for worker in fleet
        .workers
        .iter_mut()
        .filter(|worker| worker.view.data_centre == lost)
    {
        worker.paused_until = end;
    }
    fleet.run_rounds(120);
    assert!(all_done(&fleet), "{:?}", fleet.ledger.counts());
    assert!(
        jobs.iter().any(|job| fleet.runs[job] == 2),
        "no job was running in the lost data centre"
    );
}

fn exclude_first_worker(fleet: &mut FleetSim) {
    fleet.workers[0].broken = true;
    submit_many(fleet, 60);
    fleet.run_rounds(40);
    assert!(
        fleet
            .ledger
            .worker_health()
            .is_excluded(&fleet.workers[0].view.id)
    );
}

/// An excluded worker must not stay excluded once an operator has repaired and readmitted it.
#[test]
fn operator_readmits() {
    let mut fleet = FleetSim::new(4);
    exclude_first_worker(&mut fleet);
    fleet.workers[0].broken = false;
    let worker = fleet.workers[0].view.id.clone();
    let readmit = JobRecord::Readmit { worker };
    assert_eq!(fleet.apply(&readmit), Ok(()));
    assert_eq!(
        fleet.apply(&readmit),
        Err(Rejection::StaleVersion),
        "a repeated readmission is accepted"
    );
    submit_many(&mut fleet, 60);
    let line = format!("granted to {}", fleet.workers[0].view.id);
    let decisions = fleet.run_round().decisions;
    let mut lines = decisions.iter().map(ToString::to_string);
    assert!(
        lines.any(|text| text.contains(&line)),
        "the readmitted worker gets no job"
    );
    fleet.run_rounds(40);
    assert!(all_done(&fleet), "{:?}", fleet.ledger.counts());
}

/// A new incarnation of a worker under the same host name must not inherit the exclusion.
#[test]
fn newer_incarnation() {
    let mut fleet = FleetSim::new(4);
    exclude_first_worker(&mut fleet);
    let old = fleet.workers[0].view.id.clone();
    fleet.workers[0].broken = false;
    fleet.restart(0);
    let new = fleet.workers[0].view.id.clone();
    assert_eq!(new.incarnation, Incarnation(2));
    assert!(!fleet.ledger.worker_health().is_excluded(&new));
    assert!(fleet.ledger.worker_health().is_excluded(&old));
    submit_many(&mut fleet, 60);
    let granted = fleet
        .run_round()
        .decisions
        .iter()
        .any(|decision| decision.to_string().contains(&format!("granted to {new}")));
    assert!(granted, "the new incarnation of the worker gets no job");
}

/// Grants a new job to an incarnation of a worker.
fn grant(fleet: &mut FleetSim, host: usize, incarnation: u64) -> LeaseRef {
    let job = fleet.submit(spec("t1", Urgency::Normal));
    let worker = WorkerId {
        host: HostName::try_from(format!("h{host}")).unwrap(),
        incarnation: Incarnation(incarnation),
    };
    let version = fleet.ledger.job(job).unwrap().version;
    let grants = vec![GrantItem {
        job,
        version,
        worker,
    }];
    fleet.apply(&JobRecord::Grant { grants }).unwrap();
    let grant = fleet.ledger.latest_grant();
    LeaseRef { grant, job }
}

/// Lets an attempt fail and cancels the job.
fn fail(fleet: &mut FleetSim, lease: LeaseRef) {
    let result = FailItem {
        lease,
        started: true,
        usage: TaskUsage::default(),
    };
    let results = vec![result];
    fleet.apply(&JobRecord::Fail { results }).unwrap();
    let jobs = vec![lease.job];
    fleet.apply(&JobRecord::Cancel { jobs }).unwrap();
}

/// In a full table, a failure of a new incarnation must replace the row of the old one, and not that of another worker.
#[test]
fn full_table() {
    let mut fleet = FleetSim::new(1);
    for host in 0..MAX_RETAINED_WORKERS {
        let lease = grant(&mut fleet, host, 1);
        fail(&mut fleet, lease);
    }
    // Later, so that the row of this worker is not the oldest one.
    fleet.advance(1);
    // The failure of the old incarnation is reported after the new one got a job.
    let (old, new) = (grant(&mut fleet, 0, 1), grant(&mut fleet, 0, 2));
    fail(&mut fleet, old);
    fail(&mut fleet, new);
    let rows = fleet.ledger.worker_health().iter();
    assert_eq!(rows.count(), MAX_RETAINED_WORKERS);
}

/// A non-idempotent job that failed after its start must not run again, even if the worker caused the failure.
#[test]
fn failed_after_start() {
    let mut fleet = FleetSim::new(1);
    fleet.workers[0].broken = true;
    let mut spec = spec("t1", Urgency::Normal);
    spec.idempotent = false;
    let job = fleet.submit(spec);
    fleet.run_rounds(20);
    let reason = QuarantineReason::FailedAfterStart;
    assert_eq!(*fleet.state(job), JobState::Quarantined(reason));
    assert_eq!(fleet.runs[&job], 1);
}

/// A worker that sends reports but receives no start command must not get the same job repeatedly.
#[test]
fn undelivered_starts() {
    let mut fleet = FleetSim::new(4);
    let mut spec = spec("t1", Urgency::Normal);
    spec.idempotent = false;
    let job = fleet.submit(spec);
    let mut tried = BTreeSet::new();
    for _ in 0..120 {
        fleet.read_log(0);
        fleet.collect_reports(0);
        fleet.plan(0);
        fleet.append(0, false);
        let commands = &mut fleet.holders[0].commands;
        commands.retain(|command| command.action != TaskAction::Start);
        fleet.send_commands(0);
        fleet.advance(500);
        let lease = fleet.ledger.job(job).unwrap().lease();
        tried.extend(lease.map(|lease| lease.worker.clone()));
    }
    assert!(tried.len() > 1, "{tried:?}");
    fleet.run_rounds(60);
    assert_eq!(*fleet.state(job), JobState::Done);
    assert_eq!(fleet.runs[&job], 1);
}

/// A task that the worker refused has not run, so even a non-idempotent job is retried on another worker.
#[test]
fn refused_start() {
    let mut fleet = FleetSim::new(2);
    let mut spec = spec("t1", Urgency::Normal);
    spec.idempotent = false;
    let job = fleet.submit(spec);
    fleet.run_round();
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
    fleet.run_round();
    assert_ne!(
        fleet.ledger.job(job).unwrap().lease().unwrap().worker,
        refused
    );
}
