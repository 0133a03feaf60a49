//! Guards against work that is lost or run again because the log was down or its answers were lost.

mod job_fleet;

use {
    goldcreststall_core::{
        ids::Millis,
        jobs::{JobRecord, JobState},
        traffic::Urgency,
    },
    job_fleet::{FleetSim, spec},
};

/// Tasks that run through an outage longer than their lease are neither repeated nor given up.
#[test]
fn long_outage() {
    let mut fleet = FleetSim::new(4);
    fleet.run_time = Millis(900_000);
    let jobs: Vec<_> = (0..16)
        .map(|index| {
            let mut spec = spec("t1", Urgency::Normal);
            spec.idempotent = index % 2 == 0;
            fleet.submit(spec)
        })
        .collect();
    fleet.rounds(4);
    fleet.log_down = true;
    fleet.rounds(1_200);
    fleet.log_down = false;
    // Another entry host takes the duty over and has heard no worker yet.
    fleet.read(1);
    fleet.holders[1].observing_since = fleet.now;
    fleet.plan(1);
    fleet.append(1, false);
    fleet.rounds(900);
    for job in jobs {
        assert_eq!(*fleet.state(job), JobState::Done);
        assert_eq!(fleet.runs[&job], 1);
    }
}

/// A holder that believes all its appends lost repeats them for ever.
#[test]
fn answers_lost() {
    let mut fleet = FleetSim::new(4);
    let jobs: Vec<_> = (0..40)
        .map(|_| fleet.submit(spec("t1", Urgency::Normal)))
        .collect();
    for _ in 0..60 {
        fleet.read(0);
        fleet.observe(0);
        fleet.plan(0);
        fleet.append(0, true);
        fleet.send(0);
        fleet.wait(500);
    }
    for job in jobs {
        assert_eq!(*fleet.state(job), JobState::Done);
        assert_eq!(fleet.runs[&job], 1);
    }
}

/// A non-idempotent job whose worker is silent past the lease is reported as unknown and never run
/// again; a late result still settles it.
#[test]
fn late_result() {
    let mut fleet = FleetSim::new(2);
    let mut spec = spec("t1", Urgency::Normal);
    spec.idempotent = false;
    let job = fleet.submit(spec);
    fleet.rounds(2);
    for worker in &mut fleet.workers {
        worker.paused_until = fleet.now + Millis(60_000);
    }
    fleet.rounds(100);
    assert_eq!(*fleet.state(job), JobState::Unknown);
    fleet.rounds(60);
    assert_eq!(*fleet.state(job), JobState::Done);
    assert_eq!(fleet.runs[&job], 1);
}

/// A lease must not be ended by a holder whose estimate of log time runs ahead.
#[test]
fn early_lapse() {
    let mut fleet = FleetSim::new(1);
    let job = fleet.submit(spec("t1", Urgency::Normal));
    fleet.round();
    let lease = fleet.ledger.job(job).unwrap().lease().cloned().unwrap();
    let leases = vec![goldcreststall_core::jobs::LeaseRef {
        grant: lease.grant,
        job,
    }];
    let lapse = JobRecord::Lapse { leases };
    fleet.now = lease.expiry;
    assert!(fleet.apply(&lapse).is_err());
    fleet.now = lease.expiry + Millis(1);
    assert!(fleet.apply(&lapse).is_ok());
}
