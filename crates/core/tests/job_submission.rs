//! Guards against submissions that are lost, duplicated, crowd out other organisations or exhaust memory.

mod job_fleet;

use {
    goldcreststall_core::{
        config::ConfigRecord,
        ids::{Millis, OrganisationName, PoolName, RecordId},
        jobs::{
            DONE_RETENTION, FinishItem, GrantItem, JobId, JobRecord, JobState, LeaseRef, MAX_BATCH,
            MAX_JOBS, MAX_PAYLOAD_BYTES, MAX_UNFINISHED, TaskUsage, WorkerId,
        },
        ledger::{
            Author, FleetState, LedgerRecord, LogEntry, LogOffset, RecordBody, Rejection,
            decode_state, encode_state,
        },
        traffic::Urgency,
    },
    job_fleet::{FleetSim, START, spec},
};

fn submit(fleet: &mut FleetSim, job: JobId, organisation: &str) -> Result<(), Rejection> {
    let spec = spec(organisation, Urgency::Normal);
    fleet.apply(&JobRecord::Submit { job, spec })
}

/// Grants and finishes all queued jobs by records alone, without a running worker.
fn finish_all(fleet: &mut FleetSim) {
    let worker: WorkerId = fleet.workers[0].view.id.clone();
    let queued = fleet
        .ledger
        .jobs()
        .iter()
        .filter(|(_, job)| job.state == JobState::Queued);
    let grants = queued.map(|(id, job)| GrantItem {
        job: *id,
        version: job.version,
        worker: worker.clone(),
    });
    let grants: Vec<_> = grants.collect();
    for batch in grants.chunks(MAX_BATCH) {
        fleet
            .apply(&JobRecord::Grant {
                grants: batch.to_vec(),
            })
            .unwrap();
    }
    let leased = fleet.ledger.jobs().iter().filter_map(|(id, job)| {
        let grant = job.lease()?.grant;
        Some(FinishItem {
            lease: LeaseRef { grant, job: *id },
            usage: TaskUsage::default(),
        })
    });
    let results: Vec<_> = leased.collect();
    for batch in results.chunks(MAX_BATCH) {
        fleet
            .apply(&JobRecord::Finish {
                results: batch.to_vec(),
            })
            .unwrap();
    }
}

/// A submission whose response was lost is repeated: while the job waits, after it ended and after it was removed.
#[test]
fn repeated_submission() {
    let mut fleet = FleetSim::new(1);
    let job = JobId::at(START, 7);
    assert_eq!(submit(&mut fleet, job, "t1"), Ok(()));
    assert_eq!(submit(&mut fleet, job, "t1"), Ok(()));
    assert_eq!(submit(&mut fleet, job, "t2"), Err(Rejection::JobConflict));
    finish_all(&mut fleet);
    assert_eq!(submit(&mut fleet, job, "t1"), Ok(()));
    assert_eq!(*fleet.state(job), JobState::Done);
    fleet.now = START + DONE_RETENTION + Millis(60_001);
    assert_eq!(submit(&mut fleet, job, "t1"), Err(Rejection::KeyTooOld));
    assert!(
        fleet.ledger.jobs().is_empty(),
        "a finished job is not removed after its retention"
    );
}

/// A malformed job must not enter the ledger.
#[test]
fn malformed_job() {
    let mut fleet = FleetSim::new(1);
    let mut apply = |change: &dyn Fn(&mut goldcreststall_core::jobs::JobSpec)| {
        let mut spec = spec("t1", Urgency::Normal);
        change(&mut spec);
        fleet.apply(&JobRecord::Submit {
            job: JobId::at(START, 1),
            spec,
        })
    };
    let long = "x".repeat(MAX_PAYLOAD_BYTES + 1);
    assert_eq!(
        apply(&|spec| spec.payload = long.clone()),
        Err(Rejection::InvalidJob)
    );
    assert_eq!(
        apply(&|spec| spec.size.cores_milli = 0),
        Err(Rejection::InvalidJob)
    );
    let organisation = OrganisationName::try_from("nobody").unwrap();
    assert_eq!(
        apply(&|spec| spec.organisation = organisation.clone()),
        Err(Rejection::UnknownOrganisation)
    );
    let pool = PoolName::try_from("nowhere").unwrap();
    assert_eq!(
        apply(&|spec| spec.pool = pool.clone()),
        Err(Rejection::UnknownPool)
    );
}

/// An organisation that submits as much as it can must leave the guaranteed share of the others free.
#[test]
fn organisation_quota() {
    let mut fleet = FleetSim::new(1);
    let mut number = 0;
    let mut fill = |fleet: &mut FleetSim, organisation: &str| {
        let mut accepted = 0;
        loop {
            number += 1;
            match submit(fleet, JobId::at(START, number), organisation) {
                Ok(()) => accepted += 1,
                Err(rejection) => return (accepted, rejection),
            }
        }
    };
    // Half is guaranteed, by weights 1, 1 and 2; the other half is shared.
    let half = MAX_UNFINISHED / 2;
    assert_eq!(
        fill(&mut fleet, "t1"),
        (half + half / 4, Rejection::QuotaExceeded)
    );
    assert_eq!(fill(&mut fleet, "t3"), (half / 2, Rejection::QuotaExceeded));
    assert_eq!(fill(&mut fleet, "t2"), (half / 4, Rejection::QuotaExceeded));
    finish_all(&mut fleet);
    assert_eq!(
        fill(&mut fleet, "t2").0,
        half + half / 4,
        "ended jobs still count against the quota"
    );
}

/// Memory stays bounded under constant load, and unfinished jobs are never removed to achieve it.
#[test]
fn bounded_memory() {
    let mut fleet = FleetSim::new(1);
    let waiting_job = JobId::at(START, 0);
    let mut waiting_spec = spec("t2", Urgency::Overnight);
    waiting_spec.run_time = Millis(1);
    let submission = JobRecord::Submit {
        job: waiting_job,
        spec: waiting_spec,
    };
    assert_eq!(fleet.apply(&submission), Ok(()));
    for minute in 1..=40_u64 {
        fleet.now = START + Millis(minute * 60_000);
        for number in 0..1_000 {
            let job = JobId::at(fleet.now, u128::from(minute * 1_000 + number));
            let _ = submit(&mut fleet, job, "t1");
        }
        let all_jobs = fleet.ledger.jobs().iter();
        let others = all_jobs.filter(|(id, job)| **id != waiting_job && job.state.is_unfinished());
        let jobs: Vec<_> = others.map(|(id, _)| *id).collect();
        for batch in jobs.chunks(MAX_BATCH) {
            let _ = fleet.apply(&JobRecord::Cancel {
                jobs: batch.to_vec(),
            });
        }
        assert!(fleet.ledger.jobs().len() <= MAX_JOBS);
    }
    assert!(
        fleet.ledger.jobs().len() > MAX_JOBS / 2,
        "the load is too low to evict jobs early"
    );
    assert_eq!(*fleet.state(waiting_job), JobState::Queued);
    let recent = fleet
        .ledger
        .jobs()
        .iter()
        .filter(|(id, _)| id.time() == fleet.now);
    assert_eq!(
        recent.count(),
        1_000,
        "a job was removed while its id could still be submitted"
    );
}

/// The ids of jobs that end immediately can still be submitted again. Removing these jobs to save memory would run them
/// twice, so new jobs are rejected instead.
#[test]
fn recent_ids() {
    let mut fleet = FleetSim::new(1);
    let mut ids = Vec::new();
    let mut rejections = 0;
    for number in 0..11 * 2_000 {
        fleet.now = START + Millis(number / 2_000 * 60_000);
        let job = JobId::at(fleet.now, u128::from(number));
        match submit(&mut fleet, job, "t1") {
            Ok(()) => ids.push(job),
            Err(rejection) => {
                assert_eq!(rejection, Rejection::TooManyJobs);
                rejections += 1;
            }
        }
        let _ = fleet.apply(&JobRecord::Cancel { jobs: vec![job] });
    }
    assert_eq!((ids.len(), rejections), (MAX_JOBS, 2_000));
    assert!(ids.iter().all(|job| fleet.ledger.job(*job).is_some()));
}

fn log_entry(offset: u64, body: RecordBody) -> LogEntry {
    let record = LedgerRecord {
        author: Author("e1".to_owned()),
        body,
        id: RecordId::at(START, u128::from(offset)),
    };
    LogEntry {
        offset: LogOffset(offset),
        records: vec![record],
        time: START,
    }
}

/// The snapshot that a starting entry host loads must contain the jobs.
#[test]
fn snapshot_restores() {
    let document =
        "pools = [{ name = \"batch\", min_available = 0 }]\ntenants = [{ name = \"t1\" }]";
    let publish = ConfigRecord::Publish {
        base: Default::default(),
        document: document.to_owned(),
    };
    let job = JobId::at(START, 1);
    let spec = spec("t1", Urgency::Urgent);
    let submission = RecordBody::Job(JobRecord::Submit { job, spec });
    let mut state = FleetState::default();
    assert_eq!(
        state.apply(&log_entry(0, RecordBody::Config(publish))),
        vec![Ok(())]
    );
    assert_eq!(state.apply(&log_entry(1, submission)), vec![Ok(())]);
    let restored = decode_state(&encode_state(&state)).unwrap();
    assert_eq!(restored, state);
    assert_eq!(restored.jobs.job(job).unwrap().state, JobState::Queued);
}
