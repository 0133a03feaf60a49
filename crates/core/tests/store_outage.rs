//! Guards against work that is lost or repeated because the log was down or its responses were lost.

mod job_fleet;

use {
    goldcreststall_core::{
        ids::Millis,
        jobs::{
            FailItem, FinishItem, GrantItem, JobId, JobRecord, JobState, LeaseRef, ReleaseItem,
            TaskUsage,
        },
        ledger::Rejection,
        traffic::Urgency,
    },
    job_fleet::{FleetSim, spec},
};

/// Tasks that run through an outage longer than their lease are neither repeated nor abandoned.
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
    fleet.run_rounds(4);
    fleet.log_down = true;
    fleet.run_rounds(1_200);
    fleet.log_down = false;
    // Another entry host takes over the duty and has no reports of the workers yet.
    fleet.read_log(1);
    fleet.holders[1].observing_since = fleet.now;
    fleet.plan(1);
    fleet.append(1, false);
    fleet.run_rounds(2);
    for job in &jobs {
        let lease = fleet
            .ledger
            .job(*job)
            .unwrap()
            .lease()
            .expect("the lease of a running task has ended");
        assert!(lease.expiry > fleet.now, "the lease is not renewed");
    }
    fleet.run_rounds(900);
    for job in jobs {
        assert_eq!(*fleet.state(job), JobState::Done);
        assert_eq!(fleet.runs[&job], 1);
    }
}

/// Workers keep results that cannot be appended until the log is available again.
#[test]
fn ends_in_outage() {
    let mut fleet = FleetSim::new(4);
    fleet.run_time = Millis(60_000);
    let mut spec = spec("t1", Urgency::Normal);
    spec.idempotent = false;
    let jobs: Vec<_> = (0..16).map(|_| fleet.submit(spec.clone())).collect();
    fleet.run_rounds(4);
    fleet.log_down = true;
    fleet.run_rounds(1_200);
    fleet.log_down = false;
    // The entry host that knew the results is replaced.
    fleet.holders[0].records.clear();
    fleet.run_rounds(4);
    for job in jobs {
        assert_eq!(*fleet.state(job), JobState::Done);
        assert_eq!(fleet.runs[&job], 1);
    }
    let mut tasks = fleet.workers.iter().flat_map(|worker| &worker.tasks);
    assert!(
        tasks.next().is_none(),
        "a worker still keeps a result that is in the log"
    );
}

/// A duty holder that gets no response to its appends repeats them forever.
#[test]
fn answers_lost() {
    let mut fleet = FleetSim::new(4);
    let jobs: Vec<_> = (0..40)
        .map(|_| fleet.submit(spec("t1", Urgency::Normal)))
        .collect();
    for _ in 0..60 {
        fleet.read_log(0);
        fleet.collect_reports(0);
        fleet.plan(0);
        fleet.append(0, true);
        fleet.send_commands(0);
        fleet.advance(500);
    }
    for job in jobs {
        assert_eq!(*fleet.state(job), JobState::Done);
        assert_eq!(fleet.runs[&job], 1);
    }
}

/// A non-idempotent job whose worker sends no reports until the lease has expired becomes unknown and never runs again;
/// a late result still completes it.
#[test]
fn late_result() {
    let mut fleet = FleetSim::new(2);
    fleet.run_time = Millis(75_000);
    let mut spec = spec("t1", Urgency::Normal);
    spec.idempotent = false;
    let job = fleet.submit(spec);
    fleet.run_rounds(2);
    for worker in &mut fleet.workers {
        worker.paused_until = fleet.now + Millis(60_000);
    }
    fleet.run_rounds(100);
    assert_eq!(*fleet.state(job), JobState::Unknown);
    fleet.run_rounds(30);
    assert_eq!(
        *fleet.state(job),
        JobState::Unknown,
        "the job has left this state while its task runs"
    );
    fleet.run_rounds(60);
    assert_eq!(*fleet.state(job), JobState::Done);
    assert_eq!(fleet.runs[&job], 1);
}

/// A duty holder whose estimate of log time runs ahead must not end a lease early.
#[test]
fn early_lapse() {
    let mut fleet = FleetSim::new(1);
    let job = fleet.submit(spec("t1", Urgency::Normal));
    fleet.run_round();
    let lease = fleet.ledger.job(job).unwrap().lease().cloned().unwrap();
    let leases = vec![LeaseRef {
        grant: lease.grant,
        job,
    }];
    let lapse = JobRecord::Lapse { leases };
    fleet.now = lease.expiry;
    assert!(fleet.apply(&lapse).is_err());
    fleet.now = lease.expiry + Millis(1);
    assert!(fleet.apply(&lapse).is_ok());
}

fn grant(fleet: &mut FleetSim, job: JobId, worker: usize) -> LeaseRef {
    let item = GrantItem {
        job,
        version: fleet.ledger.job(job).unwrap().version,
        worker: fleet.workers[worker].view.id.clone(),
    };
    let record = JobRecord::Grant { grants: vec![item] };
    fleet.apply(&record).unwrap();
    let grant = fleet.ledger.job(job).unwrap().lease().unwrap().grant;
    LeaseRef { grant, job }
}

/// Records about an earlier attempt are repeated while a later attempt runs. A release that was applied to the later
/// attempt would let a non-idempotent job run twice.
#[test]
fn earlier_attempt() {
    let mut fleet = FleetSim::new(2);
    let mut spec = spec("t1", Urgency::Normal);
    spec.idempotent = false;
    let job = fleet.submit(spec);
    let lease = grant(&mut fleet, job, 0);
    let release = JobRecord::Release {
        leases: vec![ReleaseItem {
            checkpoint: None,
            lease,
        }],
    };
    fleet.apply(&release).unwrap();
    let later = grant(&mut fleet, job, 1);
    let usage = TaskUsage::default();
    let fail = FailItem {
        lease,
        started: false,
        usage,
    };
    let records = [
        JobRecord::Fail {
            results: vec![fail],
        },
        JobRecord::Finish {
            results: vec![FinishItem { lease, usage }],
        },
        JobRecord::Lapse {
            leases: vec![lease],
        },
        JobRecord::Renew {
            leases: vec![lease],
        },
        release,
    ];
    fleet.now = fleet.now + Millis(3_600_000);
    for record in records {
        assert_eq!(
            fleet.apply(&record),
            Err(Rejection::NotHolder),
            "{record:?}"
        );
    }
    assert!(fleet.ledger.leased(later).is_some());
}

/// A grant that was decided before the job failed must be rejected afterwards.
#[test]
fn earlier_version() {
    let mut fleet = FleetSim::new(2);
    let job = fleet.submit(spec("t1", Urgency::Normal));
    let item = GrantItem {
        job,
        version: fleet.ledger.job(job).unwrap().version,
        worker: fleet.workers[0].view.id.clone(),
    };
    let lease = grant(&mut fleet, job, 0);
    let usage = TaskUsage::default();
    let fail = FailItem {
        lease,
        started: true,
        usage,
    };
    fleet
        .apply(&JobRecord::Fail {
            results: vec![fail],
        })
        .unwrap();
    let late = JobRecord::Grant { grants: vec![item] };
    assert_eq!(fleet.apply(&late), Err(Rejection::StaleVersion));
}
