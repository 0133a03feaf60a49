//! A mesh of entry hosts over in-memory streams whose links can lose frames or be cut.

#![allow(dead_code, reason = "each test file uses only some of these helpers")]

use {
    async_trait::async_trait,
    bytes::Bytes,
    futures_util::{SinkExt, StreamExt},
    goldcreststall_core::{
        collections::SortedMap,
        ids::{EntryId, EntryName, HostName, Incarnation, LocalTime, LogTime, ServiceName},
        ledger::{LogIdentity, LogOffset},
    },
    goldcreststall_peers::{
        decisions::{LeavingNotices, LogEntryBuffer, PeerTable},
        mesh::{MeshSettings, PeerAddress, PeerDialer, PeerHandler, PeerMesh, PeerStream},
        wire::{
            Digest, DigestContent, EncodedState, EntriesResponse, FetchEntries, LeavingNotice,
            LogPosition, ServiceDemand, StoredLogEntry, frame_codec,
        },
    },
    proptest::{prelude::ProptestConfig, test_runner::RngSeed},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    slog::{Discard, Logger, o},
    std::{
        io,
        sync::{Arc, Mutex},
    },
    tokio::{
        io::{DuplexStream, duplex},
        time::Instant,
    },
    tokio_util::{codec::Framed, sync::CancellationToken},
};

pub const LOG: LogIdentity = LogIdentity(7);

pub fn config(cases: u32, seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed),
        ..ProptestConfig::default()
    }
}

pub fn entry_name(name: &str) -> EntryName {
    EntryName::try_from(name).unwrap()
}

pub fn entry_id(name: &str, incarnation: u64) -> EntryId {
    EntryId {
        incarnation: Incarnation(incarnation),
        name: entry_name(name),
    }
}

pub fn host_name(name: &str) -> HostName {
    HostName::try_from(name).unwrap()
}

pub fn demand(service: &str, requests: u32) -> ServiceDemand {
    ServiceDemand {
        requests,
        service: ServiceName::try_from(service).unwrap(),
    }
}

pub fn notice(name: &str, incarnation: u64, basis: u64) -> LeavingNotice {
    LeavingNotice {
        basis: LogOffset(basis),
        host: host_name(name),
        incarnation: Incarnation(incarnation),
    }
}

/// Position in `LOG` whose first entry that is not applied is `next`.
pub fn at(next: u64) -> LogPosition {
    LogPosition {
        log: LOG,
        next: LogOffset(next),
    }
}

pub fn log_entry(offset: u64, size: usize) -> StoredLogEntry {
    StoredLogEntry {
        bytes: Bytes::from(vec![offset as u8; size]),
        offset: LogOffset(offset),
        time: LogTime(offset),
    }
}

pub fn discard_logger() -> Logger {
    Logger::root(Discard, o!())
}

/// State of a simulated entry host.
pub struct HostState {
    /// Leaves requests for the state without a response.
    pub hangs: bool,
    /// Response to requests for entries that replaces the one of the buffer.
    pub replacement_response: Option<EntriesResponse>,
    pub demand: Vec<ServiceDemand>,
    pub draining: bool,
    pub encoded: Option<EncodedState>,
    pub notices: LeavingNotices,
    pub position: Option<LogPosition>,
    pub received: Vec<Digest>,
    pub buffer: LogEntryBuffer,
    pub table: PeerTable,
}

pub struct TestHandler {
    epoch: Instant,
    pub state: Mutex<HostState>,
}

impl TestHandler {
    pub fn new() -> Arc<Self> {
        let state = HostState {
            hangs: false,
            replacement_response: None,
            demand: Vec::new(),
            draining: false,
            encoded: None,
            notices: LeavingNotices::default(),
            position: Some(at(0)),
            received: Vec::new(),
            buffer: LogEntryBuffer::new(LOG, LogOffset(0)),
            table: PeerTable::default(),
        };
        Arc::new(Self {
            epoch: Instant::now(),
            state: Mutex::new(state),
        })
    }

    pub fn now(&self) -> LocalTime {
        LocalTime(self.epoch.elapsed().as_millis() as u64)
    }

    /// Returns whether the peer `name` is live for this host.
    pub fn has_contact(&self, name: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.table.is_live(self.now(), &entry_name(name))
    }
}

#[async_trait]
impl PeerHandler for TestHandler {
    fn receive(&self, digest: Digest) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        state.notices.add_from_peer(Some(LOG), &digest.content);
        state.table.receive(now, digest.clone());
        state.received.push(digest);
    }

    fn digest(&self, _peer: &EntryName) -> Arc<DigestContent> {
        let state = self.state.lock().unwrap();
        let notices = state.notices.notices();
        let demand = state.demand.clone();
        let content = DigestContent::new(state.position, demand, notices, state.draining);
        Arc::new(content)
    }

    async fn serve_entries(&self, fetch: FetchEntries) -> EntriesResponse {
        let state = self.state.lock().unwrap();
        let replacement = state.replacement_response.clone();
        replacement.unwrap_or_else(|| state.buffer.respond(fetch))
    }

    async fn serve_state(&self) -> Option<EncodedState> {
        if self.state.lock().unwrap().hangs {
            std::future::pending::<()>().await;
        }
        self.state.lock().unwrap().encoded.clone()
    }
}

/// Fault of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
    /// No fault.
    None,
    /// Drops each frame from the dialling side with this probability in percent.
    LoseFrames(u32),
    /// Ends the connection after this many bytes from the accepting side.
    CutResponse(usize),
    /// Accepts this many bytes and sends nothing.
    Freeze(usize),
    /// Refuses connections.
    Refuse,
}

/// Connects the meshes of a test by name.
pub struct Network {
    faults: Mutex<SortedMap<EntryName, LinkFault>>,
    frozen: Mutex<Vec<DuplexStream>>,
    meshes: Mutex<SortedMap<EntryName, Arc<PeerMesh>>>,
    random: Mutex<StdRng>,
}

impl Network {
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            faults: Mutex::default(),
            frozen: Mutex::default(),
            meshes: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
        })
    }

    /// Sets the fault for later connections to `name`.
    pub fn set_fault(&self, name: &str, fault: LinkFault) {
        self.faults.lock().unwrap().insert(entry_name(name), fault);
    }

    pub fn add(&self, name: &str, mesh: Arc<PeerMesh>) {
        self.meshes.lock().unwrap().insert(entry_name(name), mesh);
    }

    pub fn mesh(&self, name: &str) -> Arc<PeerMesh> {
        self.meshes
            .lock()
            .unwrap()
            .get(&entry_name(name))
            .unwrap()
            .clone()
    }

    fn seed(&self) -> u64 {
        self.random.lock().unwrap().random()
    }
}

#[async_trait]
impl PeerDialer for Network {
    async fn dial(&self, peer: &PeerAddress) -> io::Result<Box<dyn PeerStream>> {
        let fault = self.faults.lock().unwrap().get(&peer.name).copied();
        let fault = fault.unwrap_or(LinkFault::None);
        let mesh = self.meshes.lock().unwrap().get(&peer.name).cloned();
        let Some(mesh) = mesh.filter(|_| fault != LinkFault::Refuse) else {
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        if let LinkFault::Freeze(limit) = fault {
            let (near, far) = duplex(limit);
            self.frozen.lock().unwrap().push(far);
            return Ok(Box::new(near));
        }
        let (near, far) = duplex(1024 * 1024);
        match fault {
            LinkFault::LoseFrames(chance) => {
                let (inner, accepted) = duplex(1024 * 1024);
                mesh.accept(accepted);
                tokio::spawn(lose_frames(far, inner, chance, self.seed()));
            }
            LinkFault::CutResponse(limit) => {
                let (inner, accepted) = duplex(1024 * 1024);
                mesh.accept(accepted);
                tokio::spawn(cut_response(far, inner, limit));
            }
            _ => mesh.accept(far),
        }
        Ok(Box::new(near))
    }
}

async fn lose_frames(dialer: DuplexStream, acceptor: DuplexStream, chance: u32, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut dialer = Framed::new(dialer, frame_codec());
    let mut acceptor = Framed::new(acceptor, frame_codec());
    loop {
        tokio::select! {
            frame = dialer.next() => {
                let Some(Ok(frame)) = frame else { return };
                let is_lost = random.random_range(0..100) < chance;
                if !is_lost && acceptor.send(frame.freeze()).await.is_err() {
                    return;
                }
            }
            frame = acceptor.next() => {
                let Some(Ok(frame)) = frame else { return };
                let _ = dialer.send(frame.freeze()).await;
            }
        }
    }
}

async fn cut_response(dialer: DuplexStream, acceptor: DuplexStream, limit: usize) {
    use tokio::io::{AsyncReadExt, copy, split};
    let (mut dialer_read, mut dialer_write) = split(dialer);
    let (acceptor_read, mut acceptor_write) = split(acceptor);
    let mut response = acceptor_read.take(limit as u64);
    tokio::select! {
        _ = copy(&mut dialer_read, &mut acceptor_write) => {}
        _ = copy(&mut response, &mut dialer_write) => {}
    }
}

/// An entry host of a test.
pub struct TestHost {
    pub handler: Arc<TestHandler>,
    pub mesh: Arc<PeerMesh>,
    pub stop: CancellationToken,
}

/// Stops the hosts of a test, so that they do not run alongside those of the next one.
pub async fn stop_hosts(hosts: Vec<TestHost>) {
    for host in hosts {
        host.stop.cancel();
        host.mesh.wait_stopped().await;
    }
}

/// Starts an entry host whose peers are `names`.
pub fn start_host(network: &Arc<Network>, id: EntryId, names: &[String]) -> TestHost {
    let peers = names.iter().map(|name| PeerAddress {
        address: "127.0.0.1:1".parse().unwrap(),
        name: entry_name(name),
    });
    let settings = MeshSettings::new(id.clone(), peers.collect()).unwrap();
    let handler = TestHandler::new();
    let stop = CancellationToken::new();
    let mesh = Arc::new(PeerMesh::start(
        settings,
        Arc::clone(network) as Arc<dyn PeerDialer>,
        Arc::clone(&handler) as Arc<dyn PeerHandler>,
        Arc::new({
            let network = Arc::clone(network);
            move || network.seed()
        }),
        discard_logger(),
        stop.clone(),
    ));
    network.add(id.name.as_str(), Arc::clone(&mesh));
    TestHost {
        handler,
        mesh,
        stop,
    }
}

pub fn host_names(count: usize) -> Vec<String> {
    (1..=count).map(|number| format!("e{number}")).collect()
}

/// Starts `count` entry hosts that are peers of each other.
pub fn start_hosts(network: &Arc<Network>, count: usize) -> Vec<TestHost> {
    let names = host_names(count);
    let start = |name: &String| start_host(network, entry_id(name, 1), &names);
    names.iter().map(start).collect()
}
