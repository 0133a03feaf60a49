//! Guards against a configured quota of unfinished jobs that is accepted without taking effect.

use goldcreststall_core::{
    config::{ConfigRecord, ConfigVersion},
    ids::{LogTime, Millis, OrganisationName, PoolName, RecordId, ServiceName},
    jobs::{JobId, JobRecord, JobSize, JobSpec},
    ledger::{
        Author, FleetState, LedgerRecord, LogEntry, LogIdentity, LogOffset, RecordBody, Rejection,
    },
    traffic::Urgency,
};

const START: LogTime = LogTime(1_800_000_000_000);
const DOCUMENT: &str = "[[pools]]\nname = \"p\"\nmin_available = 0\n\
    [[services]]\nname = \"s\"\npool = \"p\"\n\
    [[tenants]]\nname = \"small\"\nmax_jobs = 2\n[[tenants]]\nname = \"free\"\n";

fn apply(state: &mut FleetState, number: u64, body: RecordBody) -> Result<(), Rejection> {
    let record = LedgerRecord {
        author: Author("operator:test".to_owned()),
        body,
        id: RecordId::at(START, u128::from(number)),
    };
    let entry = LogEntry {
        offset: LogOffset(number),
        records: vec![record],
        time: START,
    };
    state.apply(&entry)[0]
}

fn submit(number: u64, organisation: &str) -> RecordBody {
    let spec = JobSpec {
        checkpoints: false,
        deadline: START + Millis(60_000),
        idempotent: true,
        payload: String::new(),
        pool: PoolName::try_from("p").unwrap(),
        run_time: Millis(1_000),
        service: ServiceName::try_from("s").unwrap(),
        size: JobSize {
            accelerators: 0,
            cores_milli: 1_000,
            memory_mib: 1,
        },
        organisation: OrganisationName::try_from(organisation).unwrap(),
        urgency: Urgency::Normal,
    };
    let job = JobId::at(START, u128::from(number));
    RecordBody::Job(JobRecord::Submit { job, spec })
}

/// Jobs of an organisation at its quota are rejected, those of others are not, and an ended job no longer counts.
#[test]
fn quota_holds() {
    let mut state = FleetState::new(LogIdentity(1));
    let publish = ConfigRecord::Publish {
        base: ConfigVersion(0),
        document: DOCUMENT.to_owned(),
    };
    assert_eq!(apply(&mut state, 0, RecordBody::Config(publish)), Ok(()));
    assert_eq!(apply(&mut state, 1, submit(1, "small")), Ok(()));
    assert_eq!(apply(&mut state, 2, submit(2, "small")), Ok(()));
    let rejected = apply(&mut state, 3, submit(3, "small"));
    assert_eq!(rejected, Err(Rejection::QuotaExceeded));
    assert_eq!(apply(&mut state, 4, submit(4, "free")), Ok(()));
    let cancel = JobRecord::Cancel {
        jobs: vec![JobId::at(START, 1)],
    };
    assert_eq!(apply(&mut state, 5, RecordBody::Job(cancel)), Ok(()));
    assert_eq!(apply(&mut state, 6, submit(6, "small")), Ok(()));
}
