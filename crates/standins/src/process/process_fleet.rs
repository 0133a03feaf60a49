use {
    super::ChildProcess,
    crate::client::TestClient,
    anyhow::{Context, bail},
    goldcreststall_core::{
        config::ConfigVersion,
        ids::{DataCentre, HostName, Incarnation, PoolName, RackName, RecordId},
    },
    goldcreststall_operators::{
        ChangeOrder, ChangeOutcome, OperatorBackend, OperatorChange, OperatorClient, OperatorName,
    },
    goldcreststall_platform::hosts::{HostRow, HostStatus},
    http::{Method, StatusCode},
    std::{
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        time::{Duration, Instant},
    },
    uuid::Uuid,
};

/// Longest wait for a process to serve.
const START_LIMIT: Duration = Duration::from_secs(20);
const START_STEP: Duration = Duration::from_millis(20);
/// Longest wait for the answer to an operator.
const OPERATOR_LIMIT: Duration = Duration::from_secs(15);

/// The size of a fleet.
#[derive(Clone, Debug)]
pub struct FleetLayout {
    /// Data centres with one entry host each.
    pub data_centres: usize,
    /// Lag of the list of hosts, in milliseconds.
    pub lag_ms: u64,
    /// How long the log keeps entries, in milliseconds.
    pub retention_ms: u64,
    /// Targets of each service in each data centre.
    pub targets: usize,
    /// Services, each with a pool of the same name.
    pub services: Vec<String>,
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
    folder: PathBuf,
    _processes: Vec<ChildProcess>,
}

impl ProcessFleet {
    /// Starts the platform, the targets and the entry hosts. Log files go to `folder`.
    ///
    /// # Errors
    /// When a process cannot be started.
    pub async fn start(layout: &FleetLayout, folder: PathBuf) -> anyhow::Result<Self> {
        std::fs::create_dir_all(&folder)?;
        let (log, hosts) = (free_address()?, free_address()?);
        let arguments = [
            ("--log", log.to_string()),
            ("--hosts", hosts.to_string()),
            ("--lag-ms", layout.lag_ms.to_string()),
            ("--retention-ms", layout.retention_ms.to_string()),
        ];
        let platform = start("standin-platform", &arguments, &folder, "platform")?;
        let targets = target_rows(layout)?;
        let arguments: Vec<_> = targets
            .iter()
            .map(|row| ("--target", format!("{}={}", row.name, row.address)))
            .collect();
        let target_process = start("standin-target", &arguments, &folder, "targets")?;
        let entries = entry_processes(layout, log, hosts)?;
        let mut fleet = Self {
            client: TestClient::default(),
            entries,
            extra: Vec::new(),
            folder,
            hosts,
            log,
            targets,
            _processes: vec![platform, target_process],
        };
        fleet.wait_for(hosts, "/hosts").await?;
        for index in 0..fleet.targets.len() {
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
        let request = RecordId(Uuid::now_v7().as_u128());
        let order = ChangeOrder {
            change,
            operator: OperatorName::try_from("demo").map_err(anyhow::Error::msg)?,
            request,
        };
        let outcome = self.operator(index).await?.change(order.clone()).await?;
        match outcome {
            ChangeOutcome::Accepted { .. } => Ok(request),
            other => bail!("{:?} was not accepted: {other:?}", order.change),
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

    /// Returns how often each request ran, over all targets.
    ///
    /// # Errors
    /// When a target does not answer.
    pub async fn runs(&self) -> anyhow::Result<Vec<(String, u32)>> {
        let mut all: Vec<(String, u32)> = Vec::new();
        for row in &self.targets {
            let reply = self
                .client
                .call(Method::GET, row.address, "/runs", "")
                .await;
            let (_, body) = reply.map_err(anyhow::Error::msg)?;
            let counts: crate::target::RunCounts = serde_json::from_slice(&body)?;
            all.extend(counts.runs);
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

fn free_address() -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").context("no free port")?;
    Ok(listener.local_addr()?)
}

fn data_centre(index: usize) -> String {
    format!("dc{}", index + 1)
}

fn target_rows(layout: &FleetLayout) -> anyhow::Result<Vec<HostRow>> {
    let mut rows = Vec::new();
    for service in &layout.services {
        for number in 0..layout.targets * layout.data_centres {
            let centre = data_centre(number % layout.data_centres);
            rows.push(HostRow {
                accelerators: 0,
                address: free_address()?,
                connections: 64,
                cores: 32,
                data_centre: DataCentre::try_from(centre.as_str())?,
                incarnation: Incarnation(1),
                memory_mib: 65_536,
                name: HostName::try_from(format!("{service}-{number}"))?,
                rack: RackName::try_from(format!("{centre}-rack{}", number / 4))?,
                slots: 8,
                status: HostStatus::Live,
                worker: None,
            });
        }
    }
    Ok(rows)
}

fn entry_processes(
    layout: &FleetLayout,
    log: SocketAddr,
    hosts: SocketAddr,
) -> anyhow::Result<Vec<EntryProcess>> {
    let mut peers = Vec::new();
    for index in 0..layout.data_centres {
        peers.push((format!("e{}", index + 1), free_address()?));
    }
    let mut entries = Vec::new();
    for (index, (name, address)) in peers.iter().enumerate() {
        let (callers, operators) = (free_address()?, free_address()?);
        let others: Vec<String> = peers
            .iter()
            .filter(|(other, _)| other != name)
            .map(|(other, address)| format!("{other}={address}"))
            .collect();
        let arguments = [
            ("--name", name.clone()),
            ("--data-centre", data_centre(index)),
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
            starts: 0,
        });
    }
    Ok(entries)
}
