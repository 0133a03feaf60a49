//! What the tests with separate processes share.

// Each test file uses a part of this module.
#![allow(dead_code)]

use {
    goldcreststall_core::{
        claims::ClaimRecord,
        duties::Duty,
        ids::{EntryName, Millis, RecordId, RequestKey},
        ledger::{LedgerRecord, LogOffset, RecordBody, decode_records},
    },
    goldcreststall_operators::{ChangeRequest, OperatorBackend, OperatorChange, OperatorName},
    goldcreststall_platform::log::{HttpLog, LogError, LogService, LogStream},
    goldcreststall_standins::{
        client::{ClientRequest, ClientResponse},
        process::{FleetLayout, ProcessFleet},
    },
    http::Method,
    rustix::process::Signal,
    std::{
        net::SocketAddr,
        ops::{Deref, DerefMut},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    uuid::Uuid,
};

pub const SERVICE: &str = "orders";
pub const ORGANISATION: &str = "tenant-1";
pub const CONFIG: &str = "[[pools]]\nname = \"orders\"\nmin_available = 0\n\
    [[services]]\nname = \"orders\"\npool = \"orders\"\n\
    [[tenants]]\nname = \"tenant-1\"\n";
/// Longest wait for a condition; generous, as the machine may be busy.
pub const LIMIT: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(50);

/// A fleet whose log files are removed when the test passes.
pub struct TestFleet {
    fleet: ProcessFleet,
    folder: TempDir,
}

impl Deref for TestFleet {
    type Target = ProcessFleet;

    fn deref(&self) -> &ProcessFleet {
        &self.fleet
    }
}

impl DerefMut for TestFleet {
    fn deref_mut(&mut self) -> &mut ProcessFleet {
        &mut self.fleet
    }
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.folder.disable_cleanup(true);
            eprintln!("log files are in {}", self.folder.path().display());
        }
    }
}

/// One data centre with `entries` entry hosts and `targets` targets.
pub fn layout(entries: usize, targets: usize) -> FleetLayout {
    FleetLayout {
        data_centres: 1,
        entries,
        lag_ms: 0,
        relays: false,
        retention_ms: 3_600_000,
        services: vec![SERVICE.to_owned()],
        slots: 8,
        targets,
    }
}

/// Starts a fleet and waits until each entry host serves.
pub async fn start(layout: &FleetLayout) -> TestFleet {
    start_with(layout, CONFIG).await
}

pub async fn start_with(layout: &FleetLayout, config: &str) -> TestFleet {
    let folder = tempfile::tempdir().unwrap();
    let fleet = ProcessFleet::start(layout, folder.path().to_owned()).await;
    let fleet = TestFleet {
        fleet: fleet.unwrap(),
        folder,
    };
    let pool_of = |_: &_| SERVICE.to_owned();
    fleet.set_up(config.to_owned(), &pool_of).await.unwrap();
    for index in 0..fleet.entries.len() {
        fleet.wait_serves(index).await;
    }
    fleet
}

impl TestFleet {
    pub fn callers(&self, entry: usize) -> SocketAddr {
        self.entries[entry].callers
    }

    pub async fn send(&self, entry: usize, request: &ClientRequest) -> ClientResponse {
        self.client.send(self.callers(entry), request).await
    }

    /// Sends without waiting for the response.
    pub fn spawn(
        &self,
        entry: usize,
        request: &ClientRequest,
    ) -> tokio::task::JoinHandle<ClientResponse> {
        let (client, request) = (self.client.clone(), request.clone());
        let address = self.callers(entry);
        tokio::spawn(async move { client.send(address, &request).await })
    }

    /// Waits until an entry host gets answers from a target.
    pub async fn wait_serves(&self, entry: usize) {
        until("the entry host serves", async || {
            let request = idempotent("warm-up");
            self.send(entry, &request).await.outcome() == "done"
        })
        .await;
    }

    pub async fn runs_of(&self, work: &str) -> u32 {
        let runs = self.runs().await.unwrap();
        let found = runs.iter().find(|(id, _)| id == work);
        found.map_or(0, |(_, count)| *count)
    }

    pub async fn wait_runs(&self, work: &str) {
        until("the request runs", async || self.runs_of(work).await > 0).await;
    }

    pub fn signal(&self, entry: usize, signal: Signal) {
        let process = self.entries[entry].process.as_ref();
        process.expect("the entry host runs").signal(signal);
    }

    /// Ends an entry host at once.
    pub fn kill_entry(&mut self, entry: usize) {
        // Dropping kills the process and waits for its end.
        self.entries[entry].process = None;
    }

    /// Returns which of two entry hosts holds a duty, once they agree on it. Before they have heard each
    /// other, each may take itself for the holder.
    pub async fn holder(&self, duty: &Duty) -> usize {
        let mut holder = None;
        until("the entry hosts agree on the holder", async || {
            holder = self.holder_seen_by(0, duty).await;
            holder.is_some() && holder == self.holder_seen_by(1, duty).await
        })
        .await;
        usize::from(holder.unwrap().as_str() != "e1")
    }

    async fn holder_seen_by(&self, entry: usize, duty: &Duty) -> Option<EntryName> {
        let operator = self.operator(entry).await.unwrap();
        let status = operator.status().await.unwrap();
        let name = duty.to_string();
        let report = status.duties.into_iter().find(|report| report.name == name);
        report.map(|report| report.holder)
    }

    /// Waits until a record is in the log more than once and all entry hosts have applied the copies.
    pub async fn wait_copies(&self, id: RecordId) {
        until("the record was appended again", async || {
            let records = self.ledger().await;
            records.iter().filter(|record| record.id == id).count() > 1
        })
        .await;
        let log = HttpLog::new(self.log);
        let end = log.bounds(LogStream::Ledger).await.unwrap().next;
        for entry in 0..self.entries.len() {
            let operator = self.operator(entry).await.unwrap();
            until("the copies are applied", async || {
                operator.status().await.unwrap().next_offset >= end
            })
            .await;
        }
    }

    pub async fn issue_key(&self, entry: usize) -> String {
        let address = self.callers(entry);
        let reply = self.client.call(Method::POST, address, "/v1/keys", "");
        let (_, body) = reply.await.unwrap();
        String::from_utf8(body.to_vec()).unwrap().trim().to_owned()
    }

    /// Returns all records of the log.
    pub async fn ledger(&self) -> Vec<LedgerRecord> {
        let log = HttpLog::new(self.log);
        let mut from = self.ledger_first().await;
        let entries = loop {
            match log.read(LogStream::Ledger, from, Millis(0)).await {
                Ok(entries) => break entries,
                // Entries expired between the two calls.
                Err(LogError::OffsetGone { first }) => from = first,
                Err(error) => panic!("the log was not read: {error}"),
            }
        };
        entries
            .into_iter()
            .flat_map(|entry| decode_records(&entry.payload).unwrap())
            .collect()
    }

    pub async fn ledger_first(&self) -> LogOffset {
        let log = HttpLog::new(self.log);
        log.bounds(LogStream::Ledger).await.unwrap().first
    }

    /// Returns the ids of the claims of a key that are in the log, one for each copy.
    pub async fn claims_of(&self, key: &str) -> Vec<RecordId> {
        let Ok(RequestKey::Caller(wanted)) = RequestKey::try_from(key) else {
            panic!("{key} is not a key of a caller");
        };
        let is_claim = |record: &LedgerRecord| matches!(&record.body, RecordBody::Claim(ClaimRecord::Claim { key, .. }) if *key == wanted);
        let records = self.ledger().await.into_iter();
        let claims = records.filter(is_claim);
        claims.map(|record| record.id).collect()
    }

    pub async fn wait_claim(&self, key: &str) {
        until("the claim is in the log", async || {
            !self.claims_of(key).await.is_empty()
        })
        .await;
    }

    /// Checks that the response to a request agrees with its number of runs.
    pub async fn check_agrees(&self, request: &ClientRequest, response: &ClientResponse) {
        let runs = self.runs_of(&request.work).await;
        let work = &request.work;
        match response.outcome() {
            "not-run" => assert_eq!(runs, 0, "{work} ran after {response:?}"),
            "done" => assert!(runs > 0, "{work} did not run, but {response:?}"),
            _ => {}
        }
        assert!(request.idempotent || runs <= 1, "{work} ran {runs} times");
    }
}

pub fn idempotent(work: &str) -> ClientRequest {
    ClientRequest::idempotent(SERVICE, ORGANISATION, work)
}

pub fn once(work: &str) -> ClientRequest {
    ClientRequest::once(SERVICE, ORGANISATION, work)
}

pub fn change_request(change: OperatorChange) -> ChangeRequest {
    ChangeRequest {
        change,
        operator: OperatorName::try_from("operator-1").unwrap(),
        request_id: RecordId(Uuid::now_v7().as_u128()),
    }
}

/// Waits for a condition; the limit only ends a test that would never end.
pub async fn until(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + LIMIT;
    while !check().await {
        assert!(Instant::now() < deadline, "not within {LIMIT:?}: {what}");
        tokio::time::sleep(STEP).await;
    }
}
