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

/// Longest wait for a process to serve.
const START_LIMIT: Duration = Duration::from_secs(20);
const START_STEP: Duration = Duration::from_millis(20);
const FIRST_PORT: u16 = 20_000;
/// Fleets that this process started.
static FLEETS: AtomicU8 = AtomicU8::new(0);
/// Longest wait for the response to an operator.
const OPERATOR_LIMIT: Duration = Duration::from_secs(15);

/// The size of a fleet.
#[derive(Clone, Debug)]
pub struct FleetLayout {
    /// Data centres.
    pub data_centres: usize,
    /// Entry hosts in each data centre.
    pub entries: usize,
    /// Lag of the list of hosts, in milliseconds.
    pub lag_ms: u64,
    /// Whether each entry host reaches the platform and its peers through relays.
    pub relays: bool,
    /// How long the log keeps entries, in milliseconds.
    pub retention_ms: u64,
    /// Slots of each target.
    pub slots: u32,
    /// Targets of each service in each data centre.
    pub targets: usize,
    /// Services, each with a pool of the same name.
    pub services: Vec<String>,
}

/// The relays through which one entry host reaches others.
#[derive(Debug)]
pub struct EntryRelays {
    /// To the list of hosts.
    pub hosts: TcpRelay,
    /// To the log.
    pub log: TcpRelay,
    /// To the other entry hosts, in their order.
    pub peers: Vec<TcpRelay>,
}

/// An entry host as a process.
#[derive(Debug)]
pub struct EntryProcess {
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where operators are served.
    pub operators: SocketAddr,
    /// The process; `None` when it was stopped.
    pub process: Option<ChildProcess>,
    /// The relays, if the layout asks for them.
    pub relays: Option<EntryRelays>,
    arguments: Vec<String>,
    name: String,
    starts: u32,
}

/// A platform, its targets and its entry hosts.
#[derive(Debug)]
pub struct ProcessFleet {
    /// A caller.
    pub client: TestClient,
    /// The entry hosts.
    pub entries: Vec<EntryProcess>,
    /// Where the list of hosts is served.
    pub hosts: SocketAddr,
    /// Where the log is served.
    pub log: SocketAddr,
    /// Rows of the list of hosts, one for each target.
    pub targets: Vec<HostRow>,
    /// Hosts that are listed besides, such as workers.
    pub extra: Vec<HostRow>,
    /// The process of each target; `None` when it was stopped.
    pub target_processes: Vec<Option<ChildProcess>>,
    folder: PathBuf,
    _platform: ChildProcess,
}

impl ProcessFleet {
    /// Starts the platform, the targets and the entry hosts. Log files go to `folder`.
    ///
    /// # Errors
    /// When a process cannot be started.
    pub async fn start(layout: &FleetLayout, folder: PathBuf) -> anyhow::Result<Self> {
        std::fs::create_dir_all(&folder)?;
        let mut addresses = AddressBook::new();
        let (log, hosts) = (addresses.take(), addresses.take());
        let arguments = [
            ("--log", log.to_string()),
            ("--hosts", hosts.to_string()),
            ("--lag-ms", layout.lag_ms.to_string()),
            ("--retention-ms", layout.retention_ms.to_string()),
        ];
        let platform = start("standin-platform", &arguments, &folder, "platform")?;
        let targets = target_rows(layout, &mut addresses)?;
        let entries = entry_processes(layout, &mut addresses, log, hosts).await?;
        let mut fleet = Self {
            client: TestClient::default(),
            entries,
            extra: Vec::new(),
            folder,
            hosts,
            log,
            target_processes: targets.iter().map(|_| None).collect(),
            targets,
            _platform: platform,
        };
        fleet.wait_for(hosts, "/hosts").await?;
        for index in 0..fleet.targets.len() {
            fleet.start_target(index).await?;
            fleet.list_host(&fleet.targets[index].clone()).await?;
        }
        for index in 0..fleet.entries.len() {
            fleet.start_entry(index)?;
        }
        Ok(fleet)
    }

    /// Adds or replaces a row of the list of hosts.
    ///
    /// # Errors
    /// When the list does not take it.
    pub async fn list_host(&self, row: &HostRow) -> anyhow::Result<()> {
        let body = serde_json::to_vec(row)?;
        let reply = self
            .client
            .call(Method::POST, self.hosts, "/hosts", body)
            .await;
        match reply {
            Ok((StatusCode::OK, _)) => Ok(()),
            other => bail!("the list did not take {}: {other:?}", row.name),
        }
    }

    /// Sets the faults of the log service, in JSON.
    ///
    /// # Errors
    /// When the log does not take them.
    pub async fn set_log_faults(&self, faults: &str) -> anyhow::Result<()> {
        let body = faults.to_owned();
        let reply = self
            .client
            .call(Method::POST, self.log, "/faults", body)
            .await;
        match reply {
            Ok((StatusCode::OK, _)) => Ok(()),
            other => bail!("the log did not take the faults: {other:?}"),
        }
    }

    /// Starts a target at its address and waits until it serves.
    ///
    /// # Errors
    /// When the process cannot be started.
    pub async fn start_target(&mut self, index: usize) -> anyhow::Result<()> {
        let row = &self.targets[index];
        let arguments = [
            ("--target", format!("{}={}", row.name, row.address)),
            ("--slots", row.slots.to_string()),
        ];
        let process = start(
            "standin-target",
            &arguments,
            &self.folder,
            row.name.as_str(),
        )?;
        self.target_processes[index] = Some(process);
        self.wait_for(row.address, "/runs").await
    }

    /// Sets the faults of a target, in JSON.
    ///
    /// # Errors
    /// When the target does not take them.
    pub async fn set_target_faults(&self, index: usize, faults: &str) -> anyhow::Result<()> {
        let address = self.targets[index].address;
        let body = faults.to_owned();
        let reply = self.client.call(Method::POST, address, "/faults", body);
        match reply.await {
            Ok((StatusCode::OK, _)) => Ok(()),
            other => bail!("the target did not take the faults: {other:?}"),
        }
    }

    /// Starts an entry host, or a new one under the same name.
    ///
    /// # Errors
    /// When the process cannot be started.
    pub fn start_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let entry = &mut self.entries[index];
        entry.starts += 1;
        let log = self
            .folder
            .join(format!("{}-{}.log", entry.name, entry.starts));
        let process = ChildProcess::start("goldcreststall-entry", &entry.arguments, &log)?;
        entry.process = Some(process);
        Ok(())
    }

    /// Waits until an entry host is healthy.
    ///
    /// # Errors
    /// When it is not within the limit.
    pub async fn wait_healthy(&self, index: usize) -> anyhow::Result<()> {
        self.wait_for(self.entries[index].callers, "/health").await
    }

    /// Opens a connection of an operator to an entry host.
    ///
    /// # Errors
    /// When the entry host cannot be reached.
    pub async fn operator(&self, index: usize) -> anyhow::Result<OperatorClient> {
        let address = self.entries[index].operators;
        Ok(OperatorClient::connect(address, OPERATOR_LIMIT).await?)
    }

    /// Makes a change through an entry host and expects it to be accepted.
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

    /// Publishes the first configuration and adds the listed hosts to the pools of `pool_of`.
    ///
    /// # Errors
    /// When a change is not accepted.
    pub async fn set_up(
        &self,
        document: String,
        pool_of: &dyn Fn(&HostRow) -> String,
    ) -> anyhow::Result<()> {
        self.wait_operator(0).await?;
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

    /// Waits until an entry host answers operators from a state.
    ///
    /// # Errors
    /// When it does not within the limit.
    pub async fn wait_operator(&self, index: usize) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_LIMIT;
        while Instant::now() < deadline {
            if let Ok(operator) = self.operator(index).await
                && operator.config().await.is_ok()
            {
                return Ok(());
            }
            tokio::time::sleep(START_STEP).await;
        }
        bail!("entry host {index} does not answer operators")
    }

    /// Returns how often each request ran, over all targets that were not stopped.
    ///
    /// # Errors
    /// When a target does not answer.
    pub async fn runs(&self) -> anyhow::Result<Vec<(String, u32)>> {
        let mut all: Vec<(String, u32)> = Vec::new();
        for index in 0..self.targets.len() {
            if self.target_processes[index].is_some() {
                all.extend(self.target_counts(index).await?.runs);
            }
        }
        all.sort();
        all.dedup_by(|next, kept| {
            let same = next.0 == kept.0;
            if same {
                kept.1 += next.1;
            }
            same
        });
        Ok(all)
    }

    /// Returns what a target counted.
    ///
    /// # Errors
    /// When the target does not answer.
    pub async fn target_counts(&self, index: usize) -> anyhow::Result<RunCounts> {
        let address = self.targets[index].address;
        let reply = self.client.call(Method::GET, address, "/runs", "").await;
        let (_, body) = reply.map_err(anyhow::Error::msg)?;
        Ok(serde_json::from_slice(&body)?)
    }

    async fn wait_for(&self, address: SocketAddr, path: &str) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_LIMIT;
        while Instant::now() < deadline {
            let reply = self.client.call(Method::GET, address, path, "").await;
            if matches!(reply, Ok((StatusCode::OK, _))) {
                return Ok(());
            }
            tokio::time::sleep(START_STEP).await;
        }
        bail!("{address}{path} does not answer")
    }
}

fn start(
    program: &str,
    arguments: &[(&str, String)],
    folder: &std::path::Path,
    log: &str,
) -> anyhow::Result<ChildProcess> {
    let arguments: Vec<String> = arguments
        .iter()
        .flat_map(|(flag, value)| [(*flag).to_owned(), value.clone()])
        .collect();
    ChildProcess::start(program, &arguments, &folder.join(format!("{log}.log")))
}

/// Gives out addresses of one fleet. Each fleet has a loopback address of its own, because a port that
/// was found free on a shared one may be taken by a fleet that starts at the same time.
#[derive(Debug)]
struct AddressBook {
    ip: Ipv4Addr,
    next: u16,
}

impl AddressBook {
    fn new() -> Self {
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        let [.., high, low] = std::process::id().to_be_bytes();
        Self {
            ip: Ipv4Addr::new(127, fleet % 254 + 1, high, low),
            next: FIRST_PORT,
        }
    }

    fn take(&mut self) -> SocketAddr {
        self.next += 1;
        SocketAddr::from((self.ip, self.next))
    }
}

fn data_centre(index: usize) -> String {
    format!("dc{}", index + 1)
}

fn target_rows(layout: &FleetLayout, addresses: &mut AddressBook) -> anyhow::Result<Vec<HostRow>> {
    let mut rows = Vec::new();
    for service in &layout.services {
        for number in 0..layout.targets * layout.data_centres {
            let data_centre_name = data_centre(number % layout.data_centres);
            rows.push(HostRow {
                accelerators: 0,
                address: addresses.take(),
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
    addresses: &mut AddressBook,
    log: SocketAddr,
    hosts: SocketAddr,
) -> anyhow::Result<Vec<EntryProcess>> {
    let mut peers = Vec::new();
    for index in 0..layout.data_centres * layout.entries {
        peers.push((format!("e{}", index + 1), addresses.take()));
    }
    let mut entries = Vec::new();
    for (index, (name, address)) in peers.iter().enumerate() {
        let (callers, operators) = (addresses.take(), addresses.take());
        let mut others: Vec<(String, SocketAddr)> = peers.clone();
        others.retain(|(other, _)| other != name);
        let relays = match layout.relays {
            true => Some(entry_relays(log, hosts, &mut others).await?),
            false => None,
        };
        let (log, hosts) = relays.as_ref().map_or((log, hosts), |relays| {
            (relays.log.address, relays.hosts.address)
        });
        let others: Vec<String> = others
            .iter()
            .map(|(other, address)| format!("{other}={address}"))
            .collect();
        let arguments = [
            ("--name", name.clone()),
            ("--data-centre", data_centre(index % layout.data_centres)),
            ("--callers", callers.to_string()),
            ("--operators", operators.to_string()),
            ("--listen-peers", address.to_string()),
            ("--peers", others.join(",")),
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

/// Puts a relay before each address and replaces the addresses of the peers.
async fn entry_relays(
    log: SocketAddr,
    hosts: SocketAddr,
    others: &mut [(String, SocketAddr)],
) -> anyhow::Result<EntryRelays> {
    let mut peers = Vec::new();
    for (_, address) in others {
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
