//! A backend that keeps a small fleet in memory, and a server for it on a loopback port. Each test file uses a part of
//! this module.

#![allow(dead_code, reason = "every test file compiles its own copy")]

use {
    async_trait::async_trait,
    goldcreststall_core::{
        collections::SortedMap,
        config::ConfigVersion,
        ids::{Incarnation, LogTime, Millis, RecordId},
        ledger::{LogIdentity, LogOffset},
    },
    goldcreststall_operators::{
        AuditPage, AuditQuery, AuditReport, AuditSubject, ChangeOutcome, ChangeRequest,
        ConfigReport, DutyReport, HostCondition, HostQuery, HostReport, JobPage, JobQuery,
        JobReport, JobSpec, JobState, OperatorBackend, OperatorChange, OperatorError,
        OperatorErrorKind, OperatorName, OperatorServer, PeerReport, PoolReport, RejectionReport,
        SeenHostVersion, StatusReport, Survive, Urgency, WaveQuery, WaveReport, WaveState,
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
    tokio::{net::TcpListener, task::JoinHandle},
    tonic::transport::{Server, server::TcpIncoming},
};

/// Fixed time of the fake fleet.
pub const NOW: LogTime = LogTime(1_800_000_000_000);

/// A fault to inject into a call.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The change is made and then reported as not confirmed.
    Unconfirmed,
    /// The change is made and its response is lost.
    AnswerLost,
    /// The call fails with this error and changes nothing.
    Fails(OperatorError),
    /// The call never returns.
    Hangs,
}

/// State of the fake fleet, and the requests that it received.
#[derive(Debug, Default)]
pub struct FakeFleet {
    /// Change requests that arrived, including repeated ones.
    pub arrived: Vec<ChangeRequest>,
    /// Change requests that had an effect.
    pub effects: Vec<ChangeRequest>,
    /// Faults of the next calls; each call removes the last one, so the last one injected comes first.
    pub faults: Vec<Fault>,
    /// Deadline of the job, instead of the one of [`job`].
    pub job_deadline: Option<LogTime>,
    /// Job queries that arrived.
    pub job_queries: Vec<JobQuery>,
    config: ConfigVersion,
    document: String,
    outcomes: SortedMap<RecordId, ChangeOutcome>,
}

/// A backend whose state the test can inspect.
#[derive(Clone, Debug, Default)]
pub struct FakeBackend {
    /// State of the fleet, shared between clones.
    pub fleet: Arc<Mutex<FakeFleet>>,
}

/// Returns a checked name of any type.
pub fn name<N: for<'a> TryFrom<&'a str, Error: std::fmt::Debug>>(text: &str) -> N {
    N::try_from(text).unwrap()
}

/// Returns an id that differs for each number.
pub fn id(number: u128) -> RecordId {
    RecordId::at(NOW, number)
}

/// Returns a change request whose id differs for each number.
pub fn change_request(number: u128, change: OperatorChange) -> ChangeRequest {
    ChangeRequest {
        change,
        operator: OperatorName::try_from("kim@example").unwrap(),
        request_id: id(number),
    }
}

/// Returns a valid job.
pub fn job_spec() -> JobSpec {
    JobSpec {
        accelerators: 1,
        cores: 4,
        deadline: NOW + Millis(60_000),
        idempotent: true,
        memory_mib: 2_048,
        pool: name("press"),
        service: name("proofs"),
        organisation: name("shop"),
        urgency: Urgency::Overnight,
    }
}

pub fn pools() -> Vec<PoolReport> {
    vec![PoolReport {
        available: 7,
        down: 1,
        members: 10,
        min_available: 8,
        moving: 1,
        name: name("press"),
        spare: true,
        spare_units: -1,
        stopping: 1,
        survive: Survive::Rack,
    }]
}

pub fn hosts() -> Vec<HostReport> {
    let host = |text: &str, condition| HostReport {
        condition,
        data_centre: name("dc1"),
        excluded: condition == HostCondition::Down,
        maintained: Some(NOW),
        moving_to: None,
        name: name(text),
        pool: name("press"),
        rack: name("r1"),
        version: SeenHostVersion {
            incarnation: Incarnation(3),
            number: 17,
        },
    };
    let mut hosts = vec![
        host("h1", HostCondition::Active),
        host("h2", HostCondition::Moving),
        host("h3", HostCondition::Down),
    ];
    hosts[1].moving_to = Some(name("spare"));
    hosts[2].maintained = None;
    hosts
}

pub fn waves() -> Vec<WaveReport> {
    vec![WaveReport {
        done: 3,
        hosts: 10,
        id: id(7),
        pool: name("press"),
        started: NOW,
        started_by: OperatorName::try_from("kim@example").unwrap(),
        state: WaveState::Running,
        stopping: 1,
        version: 5,
        waits_for: "the budget of press".to_owned(),
    }]
}

pub fn job() -> JobReport {
    JobReport {
        attempts: 2,
        id: id(9),
        lease_until: Some(NOW + Millis(30_000)),
        spec: job_spec(),
        state: JobState::Leased,
        submitted: NOW,
        unplaceable: false,
        worker: Some(name("w4")),
    }
}

pub fn audit() -> AuditPage {
    let report = |offset, rejection: Option<&str>| AuditReport {
        author: "kim@example".to_owned(),
        change: "drain h1".to_owned(),
        offset: LogOffset(offset),
        record: id(u128::from(offset)),
        rejection: rejection.map(str::to_owned),
        time: NOW,
    };
    AuditPage {
        more: true,
        rows: vec![report(4, None), report(6, Some("the budget is used up"))],
    }
}

pub fn status() -> StatusReport {
    StatusReport {
        config: ConfigVersion(3),
        data_centre: name("dc1"),
        draining: false,
        duties: vec![DutyReport {
            holder: name("e2"),
            name: "placement/press".to_owned(),
        }],
        entry: name("e1"),
        host_list_age: Some(Millis(800)),
        incarnation: Incarnation(4),
        lag_entries: 2,
        log: LogIdentity(99),
        log_silent: Millis(40),
        next_offset: LogOffset(1_234),
        peers: vec![PeerReport {
            data_centre: name("dc2"),
            draining: true,
            incarnation: Incarnation(1),
            name: name("e2"),
            next_offset: LogOffset(1_233),
            silent: Millis(120),
        }],
        ready: true,
        rejections: vec![RejectionReport {
            count: 5,
            reason: "the record names a version that has passed".to_owned(),
        }],
    }
}

impl FakeFleet {
    fn job(&self) -> JobReport {
        let mut job = job();
        job.spec.deadline = self.job_deadline.unwrap_or(job.spec.deadline);
        job
    }

    /// Applies a change request unless one with its id was applied before.
    fn apply(&mut self, change_request: ChangeRequest) -> ChangeOutcome {
        if let Some(outcome) = self.outcomes.get(&change_request.request_id) {
            return outcome.clone();
        }
        let outcome = self.outcome(&change_request.change);
        self.outcomes
            .insert(change_request.request_id, outcome.clone());
        if matches!(outcome, ChangeOutcome::Accepted { .. }) {
            self.effects.push(change_request);
        }
        outcome
    }

    fn outcome(&mut self, change: &OperatorChange) -> ChangeOutcome {
        if let OperatorChange::PublishConfig { base, document } = change {
            if *base != self.config {
                return ChangeOutcome::Rejected {
                    mistakes: Vec::new(),
                    reason: "the record names a version that has passed".to_owned(),
                };
            }
            self.config.0 += 1;
            self.document.clone_from(document);
        }
        ChangeOutcome::Accepted {
            offset: LogOffset(self.outcomes.len() as u64),
        }
    }
}

impl FakeBackend {
    /// Injects a fault into the next call.
    pub fn inject_fault(&self, fault: Fault) {
        self.fleet.lock().unwrap().faults.push(fault);
    }

    /// Returns the number of change requests that had an effect.
    pub fn effects(&self) -> usize {
        self.fleet.lock().unwrap().effects.len()
    }

    /// Returns the number of change requests that arrived.
    pub fn arrived(&self) -> usize {
        self.fleet.lock().unwrap().arrived.len()
    }

    fn take_fault(&self) -> Option<Fault> {
        self.fleet.lock().unwrap().faults.pop()
    }

    /// Returns the injected error, or never returns when the fault is [`Fault::Hangs`].
    async fn apply_read_fault(&self) -> Result<(), OperatorError> {
        match self.take_fault() {
            Some(Fault::Fails(error)) => Err(error),
            Some(Fault::Hangs) => std::future::pending().await,
            _ => Ok(()),
        }
    }
}

#[async_trait]
impl OperatorBackend for FakeBackend {
    async fn change(&self, change_request: ChangeRequest) -> Result<ChangeOutcome, OperatorError> {
        self.fleet
            .lock()
            .unwrap()
            .arrived
            .push(change_request.clone());
        let fault = self.take_fault();
        match &fault {
            Some(Fault::Fails(error)) => return Err(error.clone()),
            Some(Fault::Hangs) => std::future::pending().await,
            _ => {}
        }
        let outcome = self.fleet.lock().unwrap().apply(change_request);
        match fault {
            Some(Fault::Unconfirmed) => Ok(ChangeOutcome::NotConfirmed {
                reason: "the log did not answer".to_owned(),
            }),
            Some(Fault::AnswerLost) => Err(OperatorError::new(
                OperatorErrorKind::AnswerLost,
                "the connection was closed",
            )),
            _ => Ok(outcome),
        }
    }

    async fn config(&self) -> Result<ConfigReport, OperatorError> {
        self.apply_read_fault().await?;
        let fleet = self.fleet.lock().unwrap();
        Ok(ConfigReport {
            document: fleet.document.clone(),
            version: fleet.config,
        })
    }

    async fn pools(&self) -> Result<Vec<PoolReport>, OperatorError> {
        self.apply_read_fault().await?;
        Ok(pools())
    }

    async fn hosts(&self, query: HostQuery) -> Result<Vec<HostReport>, OperatorError> {
        self.apply_read_fault().await?;
        let wanted = |host: &HostReport| query.pool.as_ref().is_none_or(|pool| *pool == host.pool);
        Ok(hosts().into_iter().filter(wanted).collect())
    }

    async fn waves(&self, query: WaveQuery) -> Result<Vec<WaveReport>, OperatorError> {
        self.apply_read_fault().await?;
        let wanted = |wave: &WaveReport| query.pool.as_ref().is_none_or(|pool| *pool == wave.pool);
        Ok(waves().into_iter().filter(wanted).collect())
    }

    async fn jobs(&self, query: JobQuery) -> Result<JobPage, OperatorError> {
        self.apply_read_fault().await?;
        let mut fleet = self.fleet.lock().unwrap();
        fleet.job_queries.push(query);
        Ok(JobPage {
            jobs: vec![fleet.job()],
            more: true,
        })
    }

    async fn job(&self, id: RecordId) -> Result<JobReport, OperatorError> {
        self.apply_read_fault().await?;
        let job = self.fleet.lock().unwrap().job();
        if id == job.id {
            return Ok(job);
        }
        let message = format!("no job has the id {id}");
        Err(OperatorError::new(OperatorErrorKind::NotFound, message))
    }

    async fn audit(&self, query: AuditQuery) -> Result<AuditPage, OperatorError> {
        self.apply_read_fault().await?;
        match query.subject {
            AuditSubject::Host(host) if host.as_str() == "unknown" => Err(OperatorError::new(
                OperatorErrorKind::NotFound,
                "no host has the name unknown",
            )),
            _ => Ok(audit()),
        }
    }

    async fn status(&self) -> Result<StatusReport, OperatorError> {
        self.apply_read_fault().await?;
        Ok(status())
    }
}

/// Serves a backend on a loopback port until the task is aborted.
pub async fn serve(backend: &FakeBackend) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let service = OperatorServer::service(Arc::new(backend.clone()));
    let task = tokio::spawn(async move {
        let incoming = TcpIncoming::from(listener);
        let server = Server::builder().add_service(service);
        server.serve_with_incoming(incoming).await.unwrap();
    });
    (address, task)
}

/// Returns a loopback address on which nothing listens.
pub async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}
