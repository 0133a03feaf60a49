//! The whole installation on loopback: platform, machines, and the daemons as processes.

use {
    crate::{
        fleet::{Fleet, MachineShape},
        http::{self, Response, Server},
        json::{Json, quote},
        record::Record,
        store::Store,
    },
    std::{
        fs::{self, File},
        io::{self, Write},
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/goldcreststall-node";
const NODES: usize = 7;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Time within which the installation has to be ready.
const START_TIME: Duration = Duration::from_secs(20);
/// Time budget of a client's request.
pub const CLIENT_TIMEOUT: Duration = Duration::from_millis(3_000);
const CLIENT_TRIES: usize = 5;
const CLIENT_PAUSE: Duration = Duration::from_millis(200);
/// Attempts of a work item, as in a small installation.
const ATTEMPTS: u64 = 4;

/// Pools, their number of machines and whether they are spare.
pub struct Shape {
    pub pools: Vec<(&'static str, usize, bool)>,
    pub cpu: u64,
    pub mem_mb: u64,
    /// Index of a machine of kind `b`; all others are of kind `a`.
    pub special: Option<usize>,
}

struct Node {
    name: String,
    front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
}

/// A running installation; its processes end when it is dropped.
pub struct System {
    pub fleet: Arc<Fleet>,
    pub record: Arc<Record>,
    nodes: Vec<Node>,
    folder: PathBuf,
    next_node: AtomicUsize,
    _servers: Vec<Server>,
}

impl System {
    /// Starts everything and waits until all daemons are ready.
    pub fn start(shape: &Shape, folder: &Path, record: &Arc<Record>) -> io::Result<Self> {
        let net = free_net()?;
        let ip = |third: u8, last: u8| IpAddr::V4(Ipv4Addr::new(127, net, third, last));
        let ports = free_ports(&[ip(0, 7), ip(1, 1), ip(2, 1), ip(0, 107)], 6)?;
        let store = Arc::new(Store::default());
        let store_address = SocketAddr::new(ip(0, 7), ports[0]);
        let hosts_address = SocketAddr::new(ip(0, 107), ports[1]);
        let machines = machine_shapes(shape, |last| SocketAddr::new(ip(2, last), ports[5]));
        let spare: Vec<&str> = shape
            .pools
            .iter()
            .filter(|pool| pool.2)
            .map(|pool| pool.0)
            .collect();
        let mut servers = Vec::new();
        let handling = Arc::clone(&store);
        let handler = Arc::new(move |request| handling.handle(&request));
        servers.push(Server::start(store_address, handler)?);
        store.put("keyed.op", "config", &config(shape));
        let fleet = Fleet::start(&machines, &spare, &store, record)?;
        let handling = Arc::clone(&fleet);
        let handler = Arc::new(move |request| handling.host_service(&request));
        servers.push(Server::start(hosts_address, handler)?);
        let mut nodes = Vec::new();
        for number in 0..NODES {
            let node_ip = ip(1, number as u8 + 1);
            let node = Node {
                name: format!("front-{}", number + 1),
                front: SocketAddr::new(node_ip, ports[2]),
                ready: SocketAddr::new(node_ip, ports[3]),
                settings: folder.join(format!("node-{}.toml", number + 1)),
                child: Mutex::new(None),
            };
            let zone = ZONES[number % ZONES.len()];
            let text = settings(&node, zone, ports[4], store_address, hosts_address);
            fs::write(&node.settings, text)?;
            nodes.push(node);
        }
        let system = Self {
            fleet,
            record: Arc::clone(record),
            nodes,
            folder: folder.to_owned(),
            next_node: AtomicUsize::new(0),
            _servers: servers,
        };
        for number in 0..NODES {
            system.start_node(number)?;
        }
        system.wait_until_ready()?;
        Ok(system)
    }

    fn start_node(&self, number: usize) -> io::Result<()> {
        let node = &self.nodes[number];
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", node.name)))?;
        let path = std::env::var("PATH").unwrap_or_default();
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", path)
            .env("GOLDCRESTSTALL_NODE_FILE", &node.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        self.record
            .line(&format!("{}: process {} started", node.name, child.id()));
        *node.child.lock().unwrap() = Some(child);
        Ok(())
    }

    fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + START_TIME;
        let is_ready = |node: &Node| {
            let timeout = Duration::from_millis(500);
            let answer = http::call(node.ready, "GET", "/readyz", &[], "", timeout);
            answer.is_some_and(|answer| answer.status == 200)
        };
        while !self.nodes.iter().all(is_ready) {
            if Instant::now() > deadline {
                return Err(io::Error::other("the daemons are not ready in time"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Runners register and are called; a first job on each queue shows that work starts.
        thread::sleep(Duration::from_secs(2));
        Ok(())
    }

    /// Number of daemons.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Sends one request to a node and records both.
    pub fn ask(
        &self,
        node: usize,
        method: &str,
        queue: &str,
        id: &str,
        body: &str,
    ) -> Option<Response> {
        let node = &self.nodes[node];
        let path = format!("/{queue}/{id}");
        let budget = CLIENT_TIMEOUT.as_millis().to_string();
        let headers = [
            ("host", "jobs.example"),
            ("content-type", "application/json"),
            ("x-goldcreststall-deadline-ms", budget.as_str()),
        ];
        self.record
            .line(&format!("client: {method} {path} {body} to {}", node.name));
        let answer = http::call(node.front, method, &path, &headers, body, CLIENT_TIMEOUT);
        let shown = answer.as_ref().map_or("no answer".to_owned(), |answer| {
            format!("{} {}", answer.status, answer.text())
        });
        self.record
            .line(&format!("client: {method} {path}: {shown}"));
        answer
    }

    /// Sends a request like a client of the platform: to one node after the other until it is answered for good.
    pub fn request(&self, method: &str, queue: &str, id: &str, body: &str) -> Option<Response> {
        for _ in 0..CLIENT_TRIES {
            let node = self.next_node.fetch_add(1, Ordering::Relaxed) % self.nodes.len();
            let answer = self.ask(node, method, queue, id, body);
            if let Some(answer) = answer.filter(|answer| !matches!(answer.status, 429 | 502..=504))
            {
                return Some(answer);
            }
            thread::sleep(CLIENT_PAUSE);
        }
        None
    }

    /// Hands in a job; returns whether it was accepted.
    pub fn submit(&self, queue: &str, id: &str, body: &str) -> bool {
        self.request("POST", queue, id, body)
            .is_some_and(|answer| answer.status / 100 == 2)
    }

    /// Returns the state of a job as shown.
    pub fn state(&self, queue: &str, id: &str) -> String {
        let answer = self.request("GET", queue, id, "");
        let value = answer.and_then(|answer| Json::parse(&answer.text()));
        value.map_or_else(String::new, |value| value.text("State"))
    }
}

impl Drop for System {
    fn drop(&mut self) {
        for node in &self.nodes {
            if let Some(mut child) = node.child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.record.line("all processes have ended");
    }
}

fn machine_shapes(shape: &Shape, address: impl Fn(u8) -> SocketAddr) -> Vec<MachineShape> {
    let pools = shape.pools.iter();
    let members = pools.flat_map(|(name, count, _)| std::iter::repeat_n(*name, *count));
    members
        .enumerate()
        .map(|(number, pool)| MachineShape {
            name: format!("m-{number:03}"),
            pool: pool.to_owned(),
            address: address(number as u8 + 1),
            kind: if shape.special == Some(number) {
                "b"
            } else {
                "a"
            }
            .to_owned(),
            rack: format!("r-{}", number / 4),
            zone: ZONES[number % ZONES.len()].to_owned(),
            cpu: shape.cpu,
            mem_mb: shape.mem_mb,
        })
        .collect()
}

/// One queue for each pool that is not spare, with the name of the pool.
fn config(shape: &Shape) -> String {
    let working = shape.pools.iter().filter(|pool| !pool.2);
    let routes: Vec<String> = working
        .map(|(pool, _, _)| {
            format!(
                concat!(
                    "{{\"Name\":\"r-{0}\",\"Host\":\"jobs.example\",\"PathPrefix\":\"/{0}/\",",
                    "\"Type\":\"unsafe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":600,\"Priority\":0,",
                    "\"Service\":\"{0}\",\"Attempts\":{1},\"Stretch\":1.6}}"
                ),
                pool, ATTEMPTS
            )
        })
        .collect();
    let services: Vec<String> = shape
        .pools
        .iter()
        .map(|(pool, _, spare)| {
            format!(
                concat!(
                    "{{\"Name\":{},\"HealthPath\":\"/healthz\",\"MaxConnections\":64,",
                    "\"Protocol\":\"h1\",\"Tls\":false,\"AdmissionCheck\":false,\"Spare\":{}}}"
                ),
                quote(pool),
                spare
            )
        })
        .collect();
    format!(
        concat!(
            "{{\"Version\":1,\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,",
            "\"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}"
        ),
        routes.join(","),
        services.join(",")
    )
}

fn settings(
    node: &Node,
    zone: &str,
    link_port: u16,
    store: SocketAddr,
    hosts: SocketAddr,
) -> String {
    let (name, front, ready) = (&node.name, node.front, node.ready);
    let ip = front.ip();
    let metrics_port = link_port + 1;
    format!(
        r#"Node = "{name}"
Role = "entry"
NodeClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "{zone}"
Region = "region"
InternalPorts = [{link_port}, {metrics_port}]
Seeds = []
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1500
Contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "upkeep", "sharing"]
Orders = "invoke"
Advice = ""
[Zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[Listen]
Front = "{front}"
Ready = "{ready}"
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
StableWindowMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
HoldMaxMs = 10000
StopMs = 200
GangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
NoticeMs = 4500
MoveS = 1.5
UpkeepS = 2
RequireFencing = false
LeaseMs = 3000
[platform]
Address = "{store}"
form = "log"
WritesPerS = 600
ReadsPerS = 2000
parts = 16
AppendMs = 3.0
keep_s = 300
[Cloud]
Address = "{hosts}"
RatePerS = 64.0
Duties = []
DutyPerS = 64.0
"#
    )
}

/// Returns a second part of 127.x.0.0 on which nothing listens, different for cases that run at the same time.
fn free_net() -> io::Result<u8> {
    Ok((std::process::id() % 200) as u8 + 20)
}

/// Returns ports that are free at all of the addresses; the last but one is followed by another free one.
fn free_ports(addresses: &[IpAddr], count: usize) -> io::Result<Vec<u16>> {
    let mut ports = Vec::new();
    let mut candidate = 20_000 + (std::process::id() % 20_000) as u16;
    while ports.len() < count {
        candidate = candidate
            .checked_add(2)
            .ok_or_else(|| io::Error::other("no free ports"))?;
        let is_free = |port: u16| {
            addresses
                .iter()
                .all(|ip| TcpListener::bind((*ip, port)).is_ok())
        };
        if is_free(candidate) && is_free(candidate + 1) {
            ports.push(candidate);
        }
    }
    Ok(ports)
}
