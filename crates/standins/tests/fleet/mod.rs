//! Shared fixture of the tests with separate processes.

// Each test file uses only a part of this module.
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
        process::{ChildProcess, FleetLayout, ProcessFleet},
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
/// Timeout for a condition; generous, because the machine may be busy.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A fleet whose log files are kept only when the test fails.
pub struct TestFleet {
    fleet: ProcessFleet,
    log_directory: TempDir,
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
            self.log_directory.disable_cleanup(true);
            eprintln!("log files are in {}", self.log_directory.path().display());
        }
    }
}

/// Returns a layout of one data centre with `entries` entry hosts and `targets` targets.
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

/// Starts a fleet with [`CONFIG`] and waits until each entry host serves requests.
pub async fn start(layout: &FleetLayout) -> TestFleet {
    start_with(layout, CONFIG).await
}

pub async fn start_with(layout: &FleetLayout, config: &str) -> TestFleet {
    let log_directory = tempfile::tempdir().unwrap();
    let fleet = ProcessFleet::start(layout, log_directory.path().to_owned()).await;
    let fleet = TestFleet {
        fleet: fleet.unwrap(),
        log_directory,
    };
    let pool_of = |_: &_| SERVICE.to_owned();
    fleet.set_up(config.to_owned(), &pool_of).await.unwrap();
    for index in 0..fleet.entries.len() {
        fleet.wait_until_serving(index).await;
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

    /// Sends a request in a new task, which returns the response.
    pub fn spawn(
        &self,
        entry: usize,
        request: &ClientRequest,
    ) -> tokio::task::JoinHandle<ClientResponse> {
        let (client, request) = (self.client.clone(), request.clone());
        let address = self.callers(entry);
        tokio::spawn(async move { client.send(address, &request).await })
    }

    /// Waits until an entry host forwards requests to a target and gets responses.
    pub async fn wait_until_serving(&self, entry: usize) {
        wait_until("the entry host serves requests", async || {
            let request = idempotent("warm-up");
            self.send(entry, &request).await.outcome() == "done"
        })
        .await;
    }

    pub async fn runs_of(&self, work_id: &str) -> u32 {
        let runs = self.runs().await.unwrap();
        let found = runs.iter().find(|(id, _)| id == work_id);
        found.map_or(0, |(_, count)| *count)
    }

    pub async fn wait_until_running(&self, work_id: &str) {
        wait_until("the request runs", async || self.runs_of(work_id).await > 0).await;
    }

    pub fn process(&self, entry: usize) -> &ChildProcess {
        let process = self.entries[entry].process.as_ref();
        process.expect("the entry host runs")
    }

    pub fn signal(&self, entry: usize, signal: Signal) {
        self.process(entry).signal(signal);
    }

    /// Suspends an entry host and returns when none of its threads runs any more.
    pub async fn suspend(&self, entry: usize) {
        self.signal(entry, Signal::STOP);
        wait_until("every thread of the entry host is stopped", async || {
            self.process(entry).is_stopped()
        })
        .await;
    }

    /// Lets a suspended entry host run again.
    pub fn resume(&self, entry: usize) {
        self.signal(entry, Signal::CONT);
    }

    /// Kills an entry host with SIGKILL.
    pub fn kill_entry(&mut self, entry: usize) {
        // Dropping the process kills it and waits for its end.
        self.entries[entry].process = None;
    }

    /// Returns which of two entry hosts holds a duty, as soon as they agree on it. Before the first contact between
    /// them, each may consider itself the holder.
    pub async fn holder(&self, duty: &Duty) -> usize {
        let mut holder = None;
        wait_until("the entry hosts agree on the holder", async || {
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

    /// Waits until a record has been appended more than once and all entry hosts have applied every copy.
    pub async fn wait_until_copies_applied(&self, id: RecordId) {
        wait_until("the record was appended again", async || {
            let records = self.ledger().await;
            records.iter().filter(|record| record.id == id).count() > 1
        })
        .await;
        let log = HttpLog::new(self.log);
        let end = log.bounds(LogStream::Ledger).await.unwrap().next;
        for entry in 0..self.entries.len() {
            let operator = self.operator(entry).await.unwrap();
            wait_until("the copies are applied", async || {
                operator.status().await.unwrap().next_offset >= end
            })
            .await;
        }
    }

    pub async fn issue_key(&self, entry: usize) -> String {
        let address = self.callers(entry);
        let response = self.client.call(Method::POST, address, "/v1/keys", "");
        let (_, body) = response.await.unwrap();
        String::from_utf8(body.to_vec()).unwrap().trim().to_owned()
    }

    /// Returns all records that the log retains.
    pub async fn ledger(&self) -> Vec<LedgerRecord> {
        let log = HttpLog::new(self.log);
        let mut from = self.ledger_first().await;
        let entries = loop {
            match log.read(LogStream::Ledger, from, Millis(0)).await {
                Ok(entries) => break entries,
                // Entries have expired since their first offset was read.
                Err(LogError::OffsetGone { first }) => from = first,
                Err(error) => panic!("failed to read the log: {error}"),
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

    /// Returns the record IDs of the claims of a key in the log, one per copy.
    pub async fn claims_of(&self, key: &str) -> Vec<RecordId> {
        let Ok(RequestKey::Caller(wanted)) = RequestKey::try_from(key) else {
            panic!("{key} is not a caller-generated key");
        };
        let is_claim = |record: &LedgerRecord| matches!(&record.body, RecordBody::Claim(ClaimRecord::Claim { key, .. }) if *key == wanted);
        let records = self.ledger().await.into_iter();
        let claims = records.filter(is_claim);
        claims.map(|record| record.id).collect()
    }

    pub async fn wait_until_claimed(&self, key: &str) {
        wait_until("the claim is in the log", async || {
            !self.claims_of(key).await.is_empty()
        })
        .await;
    }

    /// Checks that the number of runs of a request agrees with its response.
    pub async fn check_run_count(&self, request: &ClientRequest, response: &ClientResponse) {
        let runs = self.runs_of(&request.work_id).await;
        let work_id = &request.work_id;
        match response.outcome() {
            "not-run" => assert_eq!(runs, 0, "{work_id} ran after {response:?}"),
            "done" => assert!(runs > 0, "{work_id} did not run, but {response:?}"),
            _ => {}
        }
        assert!(
            request.idempotent || runs <= 1,
            "{work_id} ran {runs} times"
        );
    }
}

pub fn idempotent(work_id: &str) -> ClientRequest {
    ClientRequest::idempotent(SERVICE, ORGANISATION, work_id)
}

pub fn once(work_id: &str) -> ClientRequest {
    ClientRequest::once(SERVICE, ORGANISATION, work_id)
}

pub fn change_request(change: OperatorChange) -> ChangeRequest {
    ChangeRequest {
        change,
        operator: OperatorName::try_from("operator-1").unwrap(),
        request_id: RecordId(Uuid::now_v7().as_u128()),
    }
}

/// Waits until a condition is met; the timeout only ends a test that would otherwise never end.
pub async fn wait_until(condition: &str, mut is_met: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !is_met().await {
        assert!(
            Instant::now() < deadline,
            "not within {TEST_TIMEOUT:?}: {condition}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
