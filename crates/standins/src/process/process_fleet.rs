use {
    super::{ChildProcess, TcpRelay},
    crate::{client::TestClient, target::RunCounts},
    anyhow::bail,
    goldcreststall_core::{
        config::ConfigVersion,
        ids::{DataCentre, HostName, Incarnation, PoolName, RackName, RecordId},
    },
    goldcreststall_operators::{
        ChangeOutcome, ChangeRequest, OperatorBackend, OperatorChange, OperatorClient, OperatorName,
    },
    goldcreststall_platform::hosts::{HostRow, HostStatus},
    http::{Method, StatusCode},
    std::{
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        sync::atomic::{AtomicU8, Ordering},
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

/// Timeout for a started process to respond.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);
const BASE_PORT: u16 = 20_000;
/// Number of fleets that this process has started.
static FLEET_COUNT: AtomicU8 = AtomicU8::new(0);
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(15);

/// Size and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetLayout {
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of entry hosts in each data centre.
    pub entries: usize,
    /// Lag of the host list, in milliseconds.
    pub lag_ms: u64,
    /// Whether each entry host connects to the platform and its peers through relays.
    pub relays: bool,
    /// Retention of log entries, in milliseconds.
    pub retention_ms: u64,
    /// Number of requests that each target runs at a time.
    pub slots: u32,
    /// Number of targets of each service in each data centre.
    pub targets: usize,
    /// Names of the services, each with a pool of the same name.
    pub services: Vec<String>,
}

/// The relays through which one entry host connects to the platform and its peers.
#[derive(Debug)]
pub struct EntryRelays {
    /// Relay to the host list.
    pub hosts: TcpRelay,
    /// Relay to the log service.
    pub log: TcpRelay,
    /// Relays to the other entry hosts, in the order of [`ProcessFleet::entries`] without this one.
    pub peers: Vec<TcpRelay>,
}

/// An entry host that runs as a separate process.
#[derive(Debug)]
pub struct EntryProcess {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// The process; `None` before its start and after it was stopped.
    pub process: Option<ChildProcess>,
    /// Present when [`FleetLayout::relays`] is set.
    pub relays: Option<EntryRelays>,
    arguments: Vec<String>,
    name: String,
    starts: u32,
}

/// Platform, targets and entry hosts as separate processes, which are killed when the fleet is dropped.
#[derive(Debug)]
pub struct ProcessFleet {
    /// Client that acts as a caller.
    pub client: TestClient,
    /// Entry hosts, spread over the data centres in turn.
    pub entries: Vec<EntryProcess>,
    /// Address of the host list.
    pub hosts: SocketAddr,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Host list row of each target.
    pub targets: Vec<HostRow>,
    /// Further listed hosts, such as workers.
    pub extra: Vec<HostRow>,
    /// Process of each target, in the order of `targets`; `None` when it was stopped.
    pub target_processes: Vec<Option<ChildProcess>>,
    log_directory: PathBuf,
    _platform: ChildProcess,
}

impl ProcessFleet {
    /// Starts the platform, the targets and the entry hosts. Their log files are written to `log_directory`.
    ///
    /// # Errors
    /// When a process cannot be started.
    pub async fn start(layout: &FleetLayout, log_directory: PathBuf) -> anyhow::Result<Self> {
        std::fs::create_dir_all(&log_directory)?;
        let mut addresses = AddressAllocator::new();
        let (log, hosts) = (addresses.allocate(), addresses.allocate());
        let arguments = [
            ("--log", log.to_string()),
            ("--hosts", hosts.to_string()),
            ("--lag-ms", layout.lag_ms.to_string()),
            ("--retention-ms", layout.retention_ms.to_string()),
        ];
        let platform = start("standin-platform", &arguments, &log_directory, "platform")?;
        let targets = target_rows(layout, &mut addresses)?;
        let entries = entry_processes(layout, &mut addresses, log, hosts).await?;
        let mut fleet = Self {
            client: TestClient::default(),
            entries,
            extra: Vec::new(),
            log_directory,
            hosts,
            log,
            target_processes: targets.iter().map(|_| None).collect(),
            targets,
            _platform: platform,
        };
        fleet.wait_until_ok(hosts, "/hosts").await?;
        for index in 0..fleet.targets.len() {
            fleet.start_target(index).await?;
            fleet.list_host(&fleet.targets[index].clone()).await?;
        }
        for index in 0..fleet.entries.len() {
            fleet.start_entry(index)?;
        }
        Ok(fleet)
    }

    /// Adds a row to the host list, or replaces the row of the same name.
    ///
    /// # Errors
    /// When the host list does not accept the row.
    pub async fn list_host(&self, row: &HostRow) -> anyhow::Result<()> {
        let body = serde_json::to_vec(row)?;
        let response = self
            .client
            .call(Method::POST, self.hosts, "/hosts", body)
            .await;
        match response {
            Ok((StatusCode::OK, _)) => Ok(()),
            other => bail!("the host list did not accept {}: {other:?}", row.name),
        }
    }

    /// Replaces the faults of the log service; `faults` is [`LogFaults`](crate::log::LogFaults) in JSON.
    ///
    /// # Errors
    /// When the log service does not accept them.
    pub async fn set_log_faults(&self, faults: &str) -> anyhow::Result<()> {
        let body = faults.to_owned();
        let response = self
            .client
            .call(Method::POST, self.log, "/faults", body)
            .await;
        match response {
            Ok((StatusCode::OK, _)) => Ok(()),
            other => bail!("the log service did not accept the faults: {other:?}"),
        }
    }

    /// Starts a target on its address and waits until it responds.
    ///
    /// # Errors
    /// When the process cannot be started or does not respond in time.
    pub async fn start_target(&mut self, index: usize) -> anyhow::Result<()> {
        let row = &self.targets[index];
        let arguments = [
            ("--target", format!("{}={}", row.name, row.address)),
            ("--slots", row.slots.to_string()),
        ];
        let process = start(
            "standin-target",
            &arguments,
            &self.log_directory,
            row.name.as_str(),
        )?;
        self.target_processes[index] = Some(process);
        self.wait_until_ok(row.address, "/runs").await
    }

    /// Replaces the faults of a target; `faults` is [`TargetFaults`](crate::target::TargetFaults) in JSON.
    ///
    /// # Errors
    /// When the target does not accept them.
    pub async fn set_target_faults(&self, index: usize, faults: &str) -> anyhow::Result<()> {
        let address = self.targets[index].address;
        let body = faults.to_owned();
        let response = self.client.call(Method::POST, address, "/faults", body);
        match response.await {
            Ok((StatusCode::OK, _)) => Ok(()),
            other => bail!("the target did not accept the faults: {other:?}"),
        }
    }

    /// Starts an entry host, or a new one with the same name and addresses, without waiting until it responds.
    ///
    /// # Errors
    /// When the process cannot be started.
    pub fn start_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let entry = &mut self.entries[index];
        entry.starts += 1;
        let log = self
            .log_directory
            .join(format!("{}-{}.log", entry.name, entry.starts));
        let process = ChildProcess::start("goldcreststall-entry", &entry.arguments, &log)?;
        entry.process = Some(process);
        Ok(())
    }

    /// Waits until the health check of an entry host succeeds.
    ///
    /// # Errors
    /// When it is not healthy in time.
    pub async fn wait_until_healthy(&self, index: usize) -> anyhow::Result<()> {
        self.wait_until_ok(self.entries[index].callers, "/health")
            .await
    }

    /// Connects to an entry host as an operator.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn operator(&self, index: usize) -> anyhow::Result<OperatorClient> {
        let address = self.entries[index].operators;
        Ok(OperatorClient::connect(address, OPERATOR_TIMEOUT).await?)
    }

    /// Sends a change to an entry host and returns its request ID once the change is accepted.
    ///
    /// # Errors
    /// When the change is not accepted.
    pub async fn change(&self, index: usize, change: OperatorChange) -> anyhow::Result<RecordId> {
        let request_id = RecordId(Uuid::now_v7().as_u128());
        let change_request = ChangeRequest {
            change,
            operator: OperatorName::try_from("demo").map_err(anyhow::Error::msg)?,
            request_id,
        };
        let outcome = self
            .operator(index)
            .await?
            .change(change_request.clone())
            .await?;
        match outcome {
            ChangeOutcome::Accepted { .. } => Ok(request_id),
            other => bail!("{:?} was not accepted: {other:?}", change_request.change),
        }
    }

    /// Publishes the first configuration and adds each listed host to the pool that `pool_of` returns.
    ///
    /// # Errors
    /// When a change is not accepted.
    pub async fn set_up(
        &self,
        document: String,
        pool_of: &dyn Fn(&HostRow) -> String,
    ) -> anyhow::Result<()> {
        self.wait_until_operators_served(0).await?;
        let base = ConfigVersion(0);
        self.change(0, OperatorChange::PublishConfig { base, document })
            .await?;
        for row in self.targets.iter().chain(&self.extra) {
            let change = OperatorChange::AddHost {
                data_centre: row.data_centre.clone(),
                host: row.name.clone(),
                pool: PoolName::try_from(pool_of(row))?,
                rack: row.rack.clone(),
            };
            self.change(0, change).await?;
        }
        Ok(())
    }

    /// Waits until an entry host has a state from which it responds to operators.
    ///
    /// # Errors
    /// When it does not respond in time.
    pub async fn wait_until_operators_served(&self, index: usize) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            if let Ok(operator) = self.operator(index).await
                && operator.config().await.is_ok()
            {
                return Ok(());
            }
            tokio::time::sleep(START_POLL_INTERVAL).await;
        }
        bail!("entry host {index} does not respond to operators")
    }

    /// Returns the work ID and the number of runs of each request, summed over the targets that run; sorted by ID.
    ///
    /// # Errors
    /// When a target does not respond.
    pub async fn runs(&self) -> anyhow::Result<Vec<(String, u32)>> {
        let mut totals: Vec<(String, u32)> = Vec::new();
        for index in 0..self.targets.len() {
            if self.target_processes[index].is_some() {
                totals.extend(self.target_counts(index).await?.runs);
            }
        }
        totals.sort();
        totals.dedup_by(|next, previous| {
            let same = next.0 == previous.0;
            if same {
                previous.1 += next.1;
            }
            same
        });
        Ok(totals)
    }

    /// Returns the runs and refusals that a target has counted.
    ///
    /// # Errors
    /// When the target does not respond.
    pub async fn target_counts(&self, index: usize) -> anyhow::Result<RunCounts> {
        let address = self.targets[index].address;
        let response = self.client.call(Method::GET, address, "/runs", "").await;
        let (_, body) = response.map_err(anyhow::Error::msg)?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn wait_until_ok(&self, address: SocketAddr, path: &str) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            let response = self.client.call(Method::GET, address, path, "").await;
            if matches!(response, Ok((StatusCode::OK, _))) {
                return Ok(());
            }
            tokio::time::sleep(START_POLL_INTERVAL).await;
        }
        bail!("{address}{path} does not respond")
    }
}

fn start(
    program: &str,
    arguments: &[(&str, String)],
    log_directory: &std::path::Path,
    log: &str,
) -> anyhow::Result<ChildProcess> {
    let arguments: Vec<String> = arguments
        .iter()
        .flat_map(|(flag, value)| [(*flag).to_owned(), value.clone()])
        .collect();
    ChildProcess::start(
        program,
        &arguments,
        &log_directory.join(format!("{log}.log")),
    )
}

/// Allocates the addresses of one fleet. Each fleet has its own loopback IP address: on a shared one, a port that
/// was found to be free may be bound by another fleet that starts at the same time.
#[derive(Debug)]
struct AddressAllocator {
    ip: Ipv4Addr,
    next: u16,
}

impl AddressAllocator {
    fn new() -> Self {
        let fleet = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let [.., high, low] = std::process::id().to_be_bytes();
        Self {
            ip: Ipv4Addr::new(127, fleet % 254 + 1, high, low),
            next: BASE_PORT,
        }
    }

    fn allocate(&mut self) -> SocketAddr {
        self.next += 1;
        SocketAddr::from((self.ip, self.next))
    }
}

fn data_centre(index: usize) -> String {
    format!("dc{}", index + 1)
}

fn target_rows(
    layout: &FleetLayout,
    addresses: &mut AddressAllocator,
) -> anyhow::Result<Vec<HostRow>> {
    let mut rows = Vec::new();
    for service in &layout.services {
        for number in 0..layout.targets * layout.data_centres {
            let data_centre_name = data_centre(number % layout.data_centres);
            rows.push(HostRow {
                accelerators: 0,
                address: addresses.allocate(),
                connections: 64,
                cores: 32,
                data_centre: DataCentre::try_from(data_centre_name.as_str())?,
                incarnation: Incarnation(1),
                memory_mib: 65_536,
                name: HostName::try_from(format!("{service}-{number}"))?,
                rack: RackName::try_from(format!("{data_centre_name}-rack{}", number / 4))?,
                slots: layout.slots,
                status: HostStatus::Live,
                worker: None,
            });
        }
    }
    Ok(rows)
}

async fn entry_processes(
    layout: &FleetLayout,
    addresses: &mut AddressAllocator,
    log: SocketAddr,
    hosts: SocketAddr,
) -> anyhow::Result<Vec<EntryProcess>> {
    let mut peers = Vec::new();
    for index in 0..layout.data_centres * layout.entries {
        peers.push((format!("e{}", index + 1), addresses.allocate()));
    }
    let mut entries = Vec::new();
    for (index, (name, address)) in peers.iter().enumerate() {
        let (callers, operators) = (addresses.allocate(), addresses.allocate());
        let mut other_entries: Vec<(String, SocketAddr)> = peers.clone();
        other_entries.retain(|(other, _)| other != name);
        let relays = match layout.relays {
            true => Some(entry_relays(log, hosts, &mut other_entries).await?),
            false => None,
        };
        let (log, hosts) = relays.as_ref().map_or((log, hosts), |relays| {
            (relays.log.address, relays.hosts.address)
        });
        let other_entries: Vec<String> = other_entries
            .iter()
            .map(|(other, address)| format!("{other}={address}"))
            .collect();
        let arguments = [
            ("--name", name.clone()),
            ("--data-centre", data_centre(index % layout.data_centres)),
            ("--callers", callers.to_string()),
            ("--operators", operators.to_string()),
            ("--listen-peers", address.to_string()),
            ("--peers", other_entries.join(",")),
            ("--log", log.to_string()),
            ("--hosts", hosts.to_string()),
            ("--lame-duck-ms", "500".to_owned()),
        ];
        let arguments = arguments
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value]);
        entries.push(EntryProcess {
            arguments: arguments.collect(),
            callers,
            name: name.clone(),
            operators,
            process: None,
            relays,
            starts: 0,
        });
    }
    Ok(entries)
}

/// Starts a relay to each address and replaces the addresses of the peers by those of their relays.
async fn entry_relays(
    log: SocketAddr,
    hosts: SocketAddr,
    other_entries: &mut [(String, SocketAddr)],
) -> anyhow::Result<EntryRelays> {
    let mut peers = Vec::new();
    for (_, address) in other_entries {
        let relay = TcpRelay::start(*address).await?;
        *address = relay.address;
        peers.push(relay);
    }
    Ok(EntryRelays {
        hosts: TcpRelay::start(hosts).await?,
        log: TcpRelay::start(log).await?,
        peers,
    })
}
