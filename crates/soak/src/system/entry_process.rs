use {
    super::{address_block::AddressBlock, process_sockets},
    goldcreststall_adapter_standin::{NodeAddresses, NodeLimits, node_file},
    goldcreststall_standins::process::{ChildProcess, TcpRelay},
    rustix::process::Signal,
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
        thread,
        time::{Duration, Instant},
    },
};

const PROGRAM: &str = "goldcreststall-node";
const NODE_FILE_VARIABLE: &str = "GOLDCRESTSTALL_NODE_FILE";
const ADVERTISED_LINK_VARIABLE: &str = "GOLDCRESTSTALL_ADVERTISED_LINK";

/// Time within which the kernel stops a process after SIGSTOP.
const SUSPEND_TIMEOUT: Duration = Duration::from_millis(200);
const SUSPEND_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// One entry host: its process and the relays on its connections.
pub(super) struct EntryProcess {
    pub(super) caller_relay: TcpRelay,
    pub(super) link_relay: TcpRelay,
    pub(super) store_relay: TcpRelay,
    pub(super) host_service_relay: TcpRelay,
    addresses: NodeAddresses,
    advertised_link: SocketAddr,
    settings_file: PathBuf,
    log: PathBuf,
    child: Option<ChildProcess>,
}

impl EntryProcess {
    /// Starts the relays and writes the settings file; does not start the process.
    pub(super) async fn prepare(
        block: AddressBlock,
        entry: usize,
        store: SocketAddr,
        host_service: SocketAddr,
        limits: Option<NodeLimits>,
        folder: &Path,
    ) -> anyhow::Result<Self> {
        let store_relay = TcpRelay::start(store).await?;
        let host_service_relay = TcpRelay::start(host_service).await?;
        let link_relay = TcpRelay::start_at(block.link_relay(entry), block.link(entry)).await?;
        let caller_relay = TcpRelay::start(block.callers(entry)).await?;
        let addresses = NodeAddresses {
            name: format!("entry-{entry}"),
            ip: block.entry(entry),
            internal_ports: AddressBlock::internal_ports(),
            callers: block.callers(entry),
            ready: block.ready(entry),
            store: store_relay.address,
            hosts: host_service_relay.address,
            limits,
        };
        let process = Self {
            caller_relay,
            link_relay,
            store_relay,
            host_service_relay,
            addresses,
            advertised_link: block.link_relay(entry),
            settings_file: folder.join(format!("entry-{entry}.toml")),
            log: folder.join(format!("entry-{entry}.log")),
            child: None,
        };
        process.write_settings()?;
        Ok(process)
    }

    /// Changes the limits in the settings file, which the process reads when it starts.
    pub(super) fn set_limits(&mut self, limits: NodeLimits) -> anyhow::Result<()> {
        self.addresses.limits = Some(limits);
        self.write_settings()
    }

    fn write_settings(&self) -> anyhow::Result<()> {
        std::fs::write(&self.settings_file, node_file(&self.addresses))?;
        Ok(())
    }

    /// Returns the id of the process, if it was started and not killed since.
    pub(super) fn id(&self) -> Option<u32> {
        self.child.as_ref().map(ChildProcess::id)
    }

    pub(super) fn start(&mut self) -> anyhow::Result<()> {
        let variables = [
            (NODE_FILE_VARIABLE, self.settings_file.display().to_string()),
            (ADVERTISED_LINK_VARIABLE, self.advertised_link.to_string()),
        ];
        self.child = Some(ChildProcess::start_logged(PROGRAM, &variables, &self.log)?);
        Ok(())
    }

    pub(super) fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            child.signal(signal);
        }
    }

    /// Waits until the process is suspended after SIGSTOP, and returns the local addresses of its connections.
    pub(super) fn suspended_connections(&self) -> Vec<SocketAddr> {
        let Some(child) = &self.child else {
            return Vec::new();
        };
        let deadline = Instant::now() + SUSPEND_TIMEOUT;
        while !process_sockets::is_stopped(child.id()) && Instant::now() < deadline {
            thread::sleep(SUSPEND_POLL_INTERVAL);
        }
        // Reading fails when the process has ended, and with it its connections.
        process_sockets::local_addresses(child.id()).unwrap_or_default()
    }

    /// Kills the process if it runs; dropping a child process sends it SIGKILL.
    pub(super) fn kill(&mut self) {
        self.child = None;
    }

    /// Returns whether a record of the ownership topic is its own: it contains the name and the start time of the process,
    /// joined by `#`.
    pub(super) fn is_claimant(&self, record: &[u8]) -> bool {
        let claimant = format!("{}#", self.addresses.name);
        record
            .windows(claimant.len())
            .any(|text| text == claimant.as_bytes())
    }

    /// Returns whether the process was started and not killed since, even if it has ended by itself.
    pub(super) fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether the process has ended by itself.
    pub(super) fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.wait(Duration::ZERO).is_some())
    }
}
