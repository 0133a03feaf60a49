//! Guards against the loss of an acknowledged job, and against a second start of a job that is not idempotent.

mod fleet;

use {
    fleet::{CONFIG, ORGANISATION, SERVICE, TestFleet, layout, start, wait_until},
    goldcreststall_core::{
        config::ConfigVersion,
        duties::Duty,
        ids::{HostName, Incarnation, Millis, PoolName, RecordId},
        jobs::{JobId, JobSize},
    },
    goldcreststall_operators::{JobState, OperatorBackend, OperatorChange},
    goldcreststall_standins::worker::{WorkerFaults, WorkerSettings, WorkerStandIn},
    http::{Method, StatusCode},
    std::time::Duration,
    uuid::Uuid,
};

const POOL: &str = "plates";

/// Starts a fleet with two workers in a separate pool.
async fn start_with_workers(entries: usize) -> (TestFleet, Vec<WorkerStandIn>) {
    let fleet = start(&layout(entries, 1)).await;
    let document = format!("{CONFIG}[[pools]]\nname = \"{POOL}\"\nmin_available = 0\n");
    let base = ConfigVersion(1);
    let publish = OperatorChange::PublishConfig { base, document };
    fleet.change(0, publish).await.unwrap();
    let mut workers = Vec::new();
    for number in 0..2 {
        let settings = WorkerSettings {
            address: "127.0.0.1:0".parse().unwrap(),
            capacity: JobSize {
                accelerators: 0,
                cores_milli: 32_000,
                memory_mib: 65_536,
            },
            incarnation: Incarnation(1),
            run_time: Millis(1_000),
        };
        let worker = WorkerStandIn::start(settings).await.unwrap();
        let mut row = fleet.targets[0].clone();
        row.name = HostName::try_from(format!("{POOL}-{number}")).unwrap();
        row.worker = Some(worker.address());
        fleet.list_host(&row).await.unwrap();
        let add = OperatorChange::AddHost {
            data_centre: row.data_centre,
            host: row.name,
            pool: PoolName::try_from(POOL).unwrap(),
            rack: row.rack,
        };
        fleet.change(0, add).await.unwrap();
        workers.push(worker);
    }
    (fleet, workers)
}

async fn submit(fleet: &TestFleet, entry: usize, job: JobId, idempotent: bool) -> StatusCode {
    let body = format!(
        "{{\"id\":\"{job}\",\"service\":\"{SERVICE}\",\"tenant\":\"{ORGANISATION}\",\"pool\":\"{POOL}\",\
         \"cores_milli\":4000,\"memory_mib\":1024,\"deadline_ms\":3600000,\"idempotent\":{idempotent}}}"
    );
    let address = fleet.callers(entry);
    let response = fleet.client.call(Method::POST, address, "/v1/jobs", body);
    response.await.unwrap().0
}

fn new_job() -> JobId {
    JobId(Uuid::now_v7().as_u128())
}

/// Submits idempotent and non-idempotent jobs and checks that all are acknowledged.
async fn submit_some(fleet: &TestFleet, entry: usize) -> Vec<(JobId, bool)> {
    let mut jobs = Vec::new();
    for number in 0..6 {
        let (job, idempotent) = (new_job(), number % 2 == 0);
        let status = submit(fleet, entry, job, idempotent).await;
        assert_eq!(status, StatusCode::OK);
        jobs.push((job, idempotent));
    }
    jobs
}

/// Waits until every job has ended, and checks its final state against the starts counted by the workers.
async fn check_final_states(
    fleet: &TestFleet,
    entry: usize,
    workers: &[WorkerStandIn],
    jobs: &[(JobId, bool)],
) {
    let operator = fleet.operator(entry).await.unwrap();
    for (job, idempotent) in jobs {
        let mut final_state = None;
        wait_until("the job ends", async || {
            let state = operator.job(RecordId(job.0)).await.unwrap().state;
            final_state = Some(state);
            state == JobState::Done || (!idempotent && state == JobState::Unknown)
        })
        .await;
        let starts: u32 = workers.iter().map(|worker| worker.starts(*job)).sum();
        assert!(*idempotent || starts <= 1, "{job} started {starts} times");
        assert!(
            final_state != Some(JobState::Done) || starts > 0,
            "{job} never ran"
        );
    }
}

/// Workers start tasks but their responses are lost: no job may be lost, and no non-idempotent one start again.
#[tokio::test(flavor = "multi_thread")]
async fn worker_answers_lost() {
    let (fleet, workers) = start_with_workers(2).await;
    for worker in &workers {
        worker.set_faults(WorkerFaults {
            lose_answers: 8,
            ..WorkerFaults::default()
        });
    }
    let jobs = submit_some(&fleet, 1).await;
    check_final_states(&fleet, 0, &workers, &jobs).await;
}

/// The holder of the placement duty is killed; the next holder must take over its leases.
#[tokio::test(flavor = "multi_thread")]
async fn holder_killed() {
    let (mut fleet, workers) = start_with_workers(2).await;
    let duty = Duty::Placement(PoolName::try_from(POOL).unwrap());
    let holder = fleet.holder(&duty).await;
    let other = 1 - holder;
    let jobs = submit_some(&fleet, other).await;
    wait_until("a job has started", async || {
        let started =
            |(job, _): &(JobId, bool)| workers.iter().any(|worker| worker.starts(*job) > 0);
        jobs.iter().any(started)
    })
    .await;
    fleet.kill_entry(holder);
    check_final_states(&fleet, other, &workers, &jobs).await;
}

/// Acknowledged jobs must survive an outage of the log; a job that was not acknowledged can be submitted again.
#[tokio::test(flavor = "multi_thread")]
async fn log_outage() {
    let (fleet, workers) = start_with_workers(2).await;
    let mut jobs = submit_some(&fleet, 0).await;
    fleet.set_log_faults("{\"down\":true}").await.unwrap();
    let retried = new_job();
    assert_ne!(submit(&fleet, 1, retried, false).await, StatusCode::OK);
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.set_log_faults("{}").await.unwrap();
    wait_until("the job is accepted", async || {
        submit(&fleet, 1, retried, false).await == StatusCode::OK
    })
    .await;
    jobs.push((retried, false));
    check_final_states(&fleet, 0, &workers, &jobs).await;
}

/// A caller that lost the response repeats the submission with the same id; it must be acknowledged, not refused.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_submission() {
    let (fleet, workers) = start_with_workers(2).await;
    let job = new_job();
    for entry in [0, 1, 0] {
        assert_eq!(submit(&fleet, entry, job, false).await, StatusCode::OK);
        // From here on, a deadline counted from the arrival of the submission differs from the first one.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    check_final_states(&fleet, 1, &workers, &[(job, false)]).await;
}
