//! The platform on loopback: store, host service and runners; and the entry hosts as processes.

use crate::{
    http::{self, Reply, Request},
    record::Record,
    relay::{self, Cut},
    runner::{CAPACITY, Runner, RunnerShape},
    store::Store,
};
use std::{
    fs::{self, File},
    io,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

const CHECK_IN: Duration = Duration::from_millis(1_500);
/// Check-ins that a runner may miss before its entry is removed.
const MISSED_CHECK_INS: u32 = 3;
/// Ports of entry hosts, and how many of them a play needs at most.
const FIRST_PORT: u16 = 20_000;
const PORTS: u32 = 12_000;
const PORTS_OF_PLAY: u32 = 16;
const PROGRAM: &str = "target/release/goldcreststall-node";

pub struct Platform {
    pub store: Arc<Store>,
    pub runners: Vec<Arc<Runner>>,
    pub record: Arc<Record>,
    store_address: SocketAddr,
    cloud_address: SocketAddr,
    folder: PathBuf,
}

fn bind() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Binds a port for an entry host. It lies below the range from which outgoing connections take theirs, and plays at the
/// same time begin their search at different ports, so that it is still free when the entry host binds it.
fn bind_for_node() -> io::Result<(TcpListener, SocketAddr)> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORTS {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) + std::process::id() * PORTS_OF_PLAY;
        let port = FIRST_PORT + (number % PORTS) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            let address = listener.local_addr()?;
            return Ok((listener, address));
        }
    }
    Err(io::Error::other("no port is free"))
}

impl Platform {
    pub fn start(shapes: &[RunnerShape], record: Arc<Record>, folder: PathBuf) -> io::Result<Self> {
        let store = Arc::new(Store::default());
        let (listener, store_address) = bind()?;
        let served = Arc::clone(&store);
        http::serve(listener, Arc::new(move |request| served.handle(request)));
        let mut runners = Vec::new();
        for shape in shapes {
            let (listener, address) = bind()?;
            let runner = Runner::new(shape, address, Arc::clone(&record));
            let served = Arc::clone(&runner);
            http::serve(listener, Arc::new(move |request| served.handle(request)));
            let (store, checking) = (Arc::clone(&store), Arc::clone(&runner));
            thread::spawn(move || check_in(&store, &checking));
            runners.push(runner);
        }
        let (listener, cloud_address) = bind()?;
        let machines = runners.clone();
        http::serve(listener, Arc::new(move |request| answer_cloud(&machines, request)));
        Ok(Self { store, runners, record, store_address, cloud_address, folder })
    }

    /// Starts an entry host in a zone; `cut` cuts it off from the store, the host service and the other entry hosts.
    pub fn start_node(&self, name: &str, zone: &str, cut: &Cut) -> io::Result<Node> {
        let ports: Vec<SocketAddr> = (0..5)
            .map(|_| bind_for_node())
            .collect::<io::Result<Vec<_>>>()?
            .into_iter()
            .map(|(_, address)| address)
            .collect();
        let [link, metrics, front, ready, control] = ports[..] else {
            return Err(io::ErrorKind::Other.into());
        };
        let store = relay::start(self.store_address, vec![cut.clone()])?;
        let cloud = relay::start(self.cloud_address, vec![cut.clone()])?;
        let advertised = relay::start(link, vec![cut.clone()])?;
        let settings = self.folder.join(format!("{name}.toml"));
        let ports = (link.port(), metrics.port());
        let addresses = [front, ready, control, store, cloud];
        fs::write(&settings, settings_text(name, zone, ports, addresses))?;
        let mut node = Node {
            name: name.to_owned(),
            front,
            ready,
            settings,
            advertised,
            log: self.folder.join(format!("{name}.log")),
            process: None,
        };
        node.start()?;
        self.record.write(&format!("entry host {name} starts in zone {zone}"));
        Ok(node)
    }
}

fn check_in(store: &Store, runner: &Runner) {
    let mut missed = 0;
    for sequence in 1.. {
        if runner.checks_in() {
            missed = 0;
            store.put("keyed.servers", &runner.id, &runner.entry(sequence));
        } else {
            missed += 1;
            if missed == MISSED_CHECK_INS {
                store.put("keyed.servers", &runner.id, "");
            }
        }
        thread::sleep(CHECK_IN);
    }
}

fn answer_cloud(runners: &[Arc<Runner>], request: &Request) -> Option<Reply> {
    thread::sleep(Duration::from_millis(4));
    if request.path != "/machines" {
        return Some(Reply::new(400, ""));
    }
    let row = |runner: &Arc<Runner>| {
        let state = if runner.is_crashed() { "down" } else { "up" };
        format!(
            "{{\"Machine\":\"{}\",\"Pool\":\"{}\",\"State\":\"{state}\",\"Zone\":\"{}\",\
             \"Labels\":[\"a\",\"{}\"],\"Capacity\":{CAPACITY},\"Id\":\"{}\"}}",
            runner.machine, runner.service, runner.zone, runner.rack, runner.id
        )
    };
    let rows: Vec<String> = runners.iter().map(row).collect();
    Some(Reply::new(200, format!("{{\"Machines\":[{}],\"NextToken\":\"\"}}", rows.join(","))))
}

/// An entry host: the project's daemon as a process.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    advertised: SocketAddr,
    log: PathBuf,
    process: Option<Child>,
}

impl Node {
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let process = Command::new(PROGRAM)
            .env_clear()
            .env("GOLDCRESTSTALL_NODE_FILE", &self.settings)
            .env("GOLDCRESTSTALL_ADVERTISED_LINK", self.advertised.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.process = Some(process);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = http::call(self.ready, ("GET", "ready", "/readyz"), &[], "", timeout);
        answer.is_ok_and(|(status, _)| status == 200)
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_none_or(|process| !matches!(process.try_wait(), Ok(None)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

fn settings_text(
    name: &str,
    zone: &str,
    (link, metrics): (u16, u16),
    [front, ready, control, store, cloud]: [SocketAddr; 5],
) -> String {
    format!(
        r#"Node = "{name}"
Role = "entry"
NodeClass = "front"
Serves = ["front"]
Ip = "127.0.0.1"
Zone = "{zone}"
Region = "north"
InternalPorts = [{link}, {metrics}]
Seeds = []
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "upkeep"]
Orders = "invoke"
Advice = ""
[Zones]
zone-a = "north"
zone-b = "north"
zone-c = "north"
[Listen]
Front = "{front}"
Ready = "{ready}"
Control = "{control}"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
RecoverS = 12
HoldMaxMs = 10000
StopMs = 200
GangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
FarFactor = 1.5
SaveS = 2
RestoreMs = 100
NoticeMs = 4500
MoveS = 1.5
UpkeepS = 2
RequireFencing = false
LeaseMs = 3000
ThawMs = 300
PaceMs = 100
HarmMs = 4000
[platform]
Address = "{store}"
form = "log"
WritesPerS = 600
ReadsPerS = 2000
parts = 16
AppendMs = 3.0
PartMbS = 20.0
ReadMbS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartMb = 200
TtlMinMs = 1000
[Cloud]
Address = "{cloud}"
RatePerS = 64.0
Duties = []
DutyPerS = 64.0
"#
    )
}
