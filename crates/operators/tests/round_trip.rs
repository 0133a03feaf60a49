//! Guards against a field that is lost or changed on the way between the client and the backend.

mod fake;

use {
    fake::{FakeBackend, change_request, id, job_spec, name, serve},
    goldcreststall_core::{
        config::ConfigVersion,
        ids::{Incarnation, RecordId},
        ledger::LogOffset,
    },
    goldcreststall_operators::{
        AuditQuery, AuditRange, AuditSubject, HostQuery, JobQuery, JobState, OperatorBackend,
        OperatorChange, OperatorClient, PageLimit, SeenHostVersion, WaveQuery,
    },
    std::time::Duration,
};

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

fn changes() -> Vec<OperatorChange> {
    let seen = Some(SeenHostVersion {
        incarnation: Incarnation(2),
        number: 8,
    });
    let wave: RecordId = id(70);
    vec![
        OperatorChange::PublishConfig {
            base: ConfigVersion(0),
            document: "# empty".to_owned(),
        },
        OperatorChange::AddHost {
            data_centre: name("dc1"),
            host: name("h1"),
            pool: name("press"),
            rack: name("r2"),
        },
        OperatorChange::RemoveHost {
            host: name("h1"),
            seen,
        },
        OperatorChange::DrainHost {
            host: name("h1"),
            seen,
        },
        OperatorChange::UndrainHost {
            host: name("h1"),
            seen: None,
        },
        OperatorChange::MoveHost {
            host: name("h1"),
            pool: name("spare"),
            seen,
        },
        OperatorChange::StartWave {
            max_stopping: Some(3),
            pool: name("press"),
        },
        OperatorChange::StartWave {
            max_stopping: None,
            pool: name("press"),
        },
        OperatorChange::PauseWave {
            seen: Some(4),
            wave,
        },
        OperatorChange::ResumeWave { seen: None, wave },
        OperatorChange::CancelWave {
            seen: Some(0),
            wave,
        },
        OperatorChange::SubmitJob { spec: job_spec() },
        OperatorChange::CancelJob { job: id(71) },
        OperatorChange::ReadmitWorker { worker: name("w1") },
    ]
}

#[tokio::test]
async fn every_change() {
    let backend = FakeBackend::default();
    let (address, _server) = serve(&backend).await;
    let client = OperatorClient::connect(address, CALL_TIMEOUT)
        .await
        .unwrap();
    for (number, change) in changes().into_iter().enumerate() {
        let change_request = change_request(number as u128, change);
        client.change(change_request.clone()).await.unwrap();
        assert_eq!(
            backend.fleet.lock().unwrap().arrived.last(),
            Some(&change_request)
        );
    }
}

#[tokio::test]
async fn every_report() {
    let backend = FakeBackend::default();
    let (address, _server) = serve(&backend).await;
    let client = OperatorClient::connect(address, CALL_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(
        client.config().await.unwrap(),
        backend.config().await.unwrap()
    );
    assert_eq!(client.pools().await.unwrap(), fake::pools());
    assert_eq!(
        client.hosts(HostQuery::default()).await.unwrap(),
        fake::hosts()
    );
    let pool = Some(name("other"));
    assert_eq!(
        client
            .hosts(HostQuery { pool: pool.clone() })
            .await
            .unwrap(),
        []
    );
    assert_eq!(
        client.waves(WaveQuery::default()).await.unwrap(),
        fake::waves()
    );
    assert_eq!(client.waves(WaveQuery { pool }).await.unwrap(), []);
    assert_eq!(client.job(fake::job().id).await.unwrap(), fake::job());
    assert_eq!(client.status().await.unwrap(), fake::status());
    let subjects = [
        AuditSubject::Host(name("h1")),
        AuditSubject::Wave(id(7)),
        AuditSubject::Config(Some(ConfigVersion(2))),
    ];
    for subject in subjects {
        let range = AuditRange {
            after: Some(LogOffset(3)),
            limit: PageLimit::default(),
        };
        let page = client.audit(AuditQuery { range, subject }).await.unwrap();
        assert_eq!(page, fake::audit());
    }
}

#[tokio::test]
async fn job_query() {
    let backend = FakeBackend::default();
    let (address, _server) = serve(&backend).await;
    let client = OperatorClient::connect(address, CALL_TIMEOUT)
        .await
        .unwrap();
    let full_query = JobQuery {
        after: Some(id(1)),
        limit: PageLimit::new(7).unwrap(),
        pool: Some(name("press")),
        state: Some(JobState::Quarantined),
        organisation: Some(name("shop")),
    };
    for query in [JobQuery::default(), full_query] {
        let page = client.jobs(query.clone()).await.unwrap();
        assert_eq!((page.jobs, page.more), (vec![fake::job()], true));
        let arrived = backend.fleet.lock().unwrap().job_queries.pop();
        assert_eq!(arrived, Some(query));
    }
}
