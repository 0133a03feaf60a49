//! Guards against a worker stand-in or a worker client that breaks the contract of the worker service.

use {
    goldcreststall_core::{
        ids::{HostName, Incarnation, LocalTime, LogTime, Millis, OrganisationName, ServiceName},
        jobs::{GrantNumber, JobId, JobSize, TaskState},
    },
    goldcreststall_platform::worker_service::{
        HttpWorkerService, RenewRequest, StartRequest, TaskOrder, TaskPhase, TaskRequest,
        ThrottleRequest, WorkerEndpoint, WorkerError, WorkerRefusal, WorkerService,
    },
    goldcreststall_standins::worker::{
        MAX_REFUSED, TaskTable, WorkerFaults, WorkerSettings, WorkerStandIn,
    },
    std::net::{Ipv4Addr, SocketAddr},
};

const CAPACITY: JobSize = JobSize {
    accelerators: 0,
    cores_milli: 32_000,
    memory_mib: 65_536,
};
const NOW: LocalTime = LocalTime(1_000_000);
const INCARNATION: Incarnation = Incarnation(3);

fn new_table() -> TaskTable {
    TaskTable::new(INCARNATION, CAPACITY, Millis(1_000))
}

fn request(grant: u64) -> TaskRequest {
    TaskRequest {
        grant: GrantNumber(grant),
        incarnation: INCARNATION,
        job: JobId::at(LogTime(1_800_000_000_000), 5),
    }
}

fn start_request(grant: u64) -> StartRequest {
    StartRequest {
        lease: Millis(30_000),
        order: TaskOrder {
            checkpoint: None,
            payload: "{\"cores_milli\":2000}".to_owned(),
            service: ServiceName::try_from("proof").unwrap(),
            size: JobSize {
                accelerators: 0,
                cores_milli: 4_000,
                memory_mib: 4_096,
            },
            organisation: OrganisationName::try_from("t1").unwrap(),
        },
        task: request(grant),
    }
}

fn phase(table: &mut TaskTable, now: LocalTime) -> TaskPhase {
    table.status(now).tasks[0].phase.clone()
}

/// A repeated start request must not start the task again, neither while its attempt is known nor after it was
/// forgotten.
#[test]
fn repeated_start() {
    let mut table = new_table();
    table.start(NOW, &start_request(1)).unwrap();
    let later = NOW + Millis(1_000);
    assert_eq!(
        table.start(later, &start_request(1)).unwrap().phase,
        TaskPhase::Done
    );
    table.forget(later, &request(1)).unwrap();
    assert_eq!(
        table.start(later, &start_request(1)).unwrap().phase,
        TaskPhase::NotStarted
    );
    assert_eq!(table.starts(request(1).job), 1);
}

/// A start request that arrives after a fence or a stop must not start the task.
#[test]
fn fenced_start() {
    let mut table = new_table();
    assert_eq!(
        table.fence(NOW, &request(1)).unwrap().phase,
        TaskPhase::NotStarted
    );
    assert_eq!(
        table.stop(NOW, &request(2)).unwrap().phase,
        TaskPhase::NotStarted
    );
    for grant in [1, 2] {
        assert_eq!(
            table.start(NOW, &start_request(grant)).unwrap().phase,
            TaskPhase::NotStarted
        );
    }
    assert_eq!(table.starts(request(1).job), 0);
    table.start(NOW, &start_request(3)).unwrap();
    assert_eq!(
        table.fence(NOW, &request(3)).unwrap().phase,
        TaskPhase::Running
    );
}

/// The set of refused attempts is bounded, and attempts evicted from it must stay refused.
#[test]
fn refusal_floor() {
    let mut table = new_table();
    for grant in 1..=2 * MAX_REFUSED as u64 {
        table.forget(NOW, &request(grant)).unwrap();
    }
    for grant in [1, 2 * MAX_REFUSED as u64] {
        assert_eq!(
            table.start(NOW, &start_request(grant)).unwrap().phase,
            TaskPhase::NotStarted
        );
    }
    table
        .start(NOW, &start_request(2 * MAX_REFUSED as u64 + 1))
        .unwrap();
    assert_eq!(table.starts(request(1).job), 1);
}

/// A task whose start is delayed past the end of its lease must not start; one with a renewed lease may.
#[test]
fn lapsed_lease() {
    let mut table = new_table();
    table.faults.start_delay = Millis(10_000);
    for grant in [1, 2] {
        table.start(NOW, &start_request(grant)).unwrap();
    }
    let renewal = RenewRequest {
        lease: Millis(60_000),
        task: request(2),
    };
    table.renew(NOW, &renewal).unwrap();
    let status = table.status(NOW + Millis(30_000));
    let phases: Vec<_> = status.tasks.iter().map(|task| task.phase.clone()).collect();
    assert_eq!(phases, vec![TaskPhase::NotStarted, TaskPhase::Running]);
}

/// A running task continues past its lease, so that an outage of the log ends no task.
#[test]
fn runs_past_lease() {
    let mut table = TaskTable::new(INCARNATION, CAPACITY, Millis(90_000));
    table.start(NOW, &start_request(1)).unwrap();
    assert_eq!(phase(&mut table, NOW + Millis(60_000)), TaskPhase::Running);
    assert_eq!(phase(&mut table, NOW + Millis(90_000)), TaskPhase::Done);
}

/// A throttled task takes longer and uses less; a checkpointed one resumes where it stopped.
#[test]
fn throttle_and_checkpoint() {
    let mut table = new_table();
    table.start(NOW, &start_request(1)).unwrap();
    let throttle = ThrottleRequest {
        percent: 25,
        task: request(1),
    };
    table.throttle(NOW, &throttle).unwrap();
    let later = NOW + Millis(2_000);
    assert_eq!(table.status(later).usage.cores_milli, 500);
    let checkpoint = table.checkpoint(later, &request(1)).unwrap();
    assert_eq!(checkpoint.phase, TaskPhase::Checkpointed("500".to_owned()));
    assert_eq!(
        table.checkpoint(later, &request(1)).unwrap(),
        checkpoint,
        "the repeated call returns another checkpoint"
    );
    let mut resumed = start_request(2);
    resumed.order.checkpoint = Some("500".to_owned());
    table.start(later, &resumed).unwrap();
    let report = table.start(later + Millis(500), &resumed).unwrap();
    assert_eq!(report.phase, TaskPhase::Done);
}

/// The stand-in must simulate the faults that tests set.
#[test]
fn requested_faults() {
    let mut table = new_table();
    table.faults.fail_all = true;
    assert_eq!(
        table.start(NOW, &start_request(1)).unwrap().phase,
        TaskPhase::Failed
    );
    table.faults.refuse_all = true;
    assert_eq!(
        table.start(NOW, &start_request(2)).unwrap().view().state,
        TaskState::Refused
    );
    table.faults = WorkerFaults {
        report_lag: Millis(5_000),
        ..WorkerFaults::default()
    };
    let first = table.status(NOW);
    table.start(NOW, &start_request(3)).unwrap();
    let second = table.status(NOW + Millis(4_000));
    assert_eq!((second.age, second.tasks), (Millis(4_000), first.tasks));
    assert_eq!(table.status(NOW + Millis(5_000)).tasks.len(), 3);
}

async fn start_worker() -> (WorkerStandIn, WorkerEndpoint) {
    let settings = WorkerSettings {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        capacity: CAPACITY,
        incarnation: INCARNATION,
        run_time: Millis(3_600_000),
    };
    let worker = WorkerStandIn::start(settings).await.unwrap();
    let endpoint = WorkerEndpoint {
        address: worker.address(),
        host: HostName::try_from("w1").unwrap(),
        incarnation: INCARNATION,
    };
    (worker, endpoint)
}

/// Every request and response must be decoded as it was sent.
#[tokio::test]
async fn whole_exchange() {
    let (_worker, endpoint) = start_worker().await;
    let service: &dyn WorkerService = &HttpWorkerService::new();
    let started = service.start(&endpoint, &start_request(1)).await.unwrap();
    assert_eq!(
        (started.phase, started.job),
        (TaskPhase::Running, request(1).job)
    );
    let renewal = RenewRequest {
        lease: Millis(30_000),
        task: request(1),
    };
    service.renew(&endpoint, &renewal).await.unwrap();
    let throttle = ThrottleRequest {
        percent: 50,
        task: request(1),
    };
    assert_eq!(
        service
            .throttle(&endpoint, &throttle)
            .await
            .unwrap()
            .throttle_percent,
        50
    );
    let status = service.status(&endpoint).await.unwrap();
    assert_eq!(
        (status.capacity, status.usage.cores_milli),
        (CAPACITY, 1_000)
    );
    let checkpoint = service.checkpoint(&endpoint, &request(1)).await.unwrap();
    assert!(matches!(checkpoint.phase, TaskPhase::Checkpointed(_)));
    assert_eq!(
        service.stop(&endpoint, &request(1)).await.unwrap().phase,
        checkpoint.phase
    );
    service.forget(&endpoint, &request(1)).await.unwrap();
    let fenced = service.fence(&endpoint, &request(1)).await.unwrap();
    assert_eq!(fenced.phase, TaskPhase::NotStarted);
    assert!(service.status(&endpoint).await.unwrap().tasks.len() <= 1);
}

/// A lost response is reported as an unknown outcome, and repeating the request must not start the task again.
#[tokio::test]
async fn lost_answer() {
    let (worker, endpoint) = start_worker().await;
    let service = HttpWorkerService::new();
    // Opens a connection, so that the next request is sent over a pooled one.
    service.status(&endpoint).await.unwrap();
    worker.set_faults(WorkerFaults {
        lose_answers: 1,
        ..WorkerFaults::default()
    });
    let lost = service.start(&endpoint, &start_request(1)).await;
    assert!(matches!(lost, Err(WorkerError::Unknown(_))), "{lost:?}");
    assert_eq!(worker.starts(request(1).job), 1);
    assert_eq!(
        service
            .start(&endpoint, &start_request(1))
            .await
            .unwrap()
            .phase,
        TaskPhase::Running
    );
    assert_eq!(worker.starts(request(1).job), 1);
}

/// Refusals and unreachable workers must be reported as such, not as unknown outcomes.
#[tokio::test]
async fn refused_and_unreachable() {
    let (worker, endpoint) = start_worker().await;
    let service = HttpWorkerService::new();
    let mut other = start_request(1);
    other.task.incarnation = Incarnation(2);
    let refused = service.start(&endpoint, &other).await;
    assert_eq!(
        refused,
        Err(WorkerError::Refused(WorkerRefusal::OtherIncarnation))
    );
    let throttle = ThrottleRequest {
        percent: 0,
        task: request(1),
    };
    let refused = service.throttle(&endpoint, &throttle).await;
    assert_eq!(refused, Err(WorkerError::Refused(WorkerRefusal::Invalid)));
    drop(worker);
    // Nothing listens on port 1.
    let closed = WorkerEndpoint {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        ..endpoint
    };
    let unreachable = service.status(&closed).await;
    assert!(
        matches!(unreachable, Err(WorkerError::NotSent(_))),
        "{unreachable:?}"
    );
}
