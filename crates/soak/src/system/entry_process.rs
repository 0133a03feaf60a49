use {
    super::address_block::AddressBlock,
    goldcreststall_adapter_standin::{NodeAddresses, node_file},
    goldcreststall_standins::process::{ChildProcess, TcpRelay},
    rustix::process::Signal,
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
};

const PROGRAM: &str = "goldcreststall-node";
const FILE_VARIABLE: &str = "GOLDCRESTSTALL_NODE_FILE";
const ADVERTISED_VARIABLE: &str = "GOLDCRESTSTALL_ADVERTISED_LINK";

/// One entry host: its process and the relays around it.
pub(super) struct EntryProcess {
    pub(super) callers: TcpRelay,
    pub(super) link: TcpRelay,
    pub(super) store: TcpRelay,
    pub(super) hosts: TcpRelay,
    advertised: SocketAddr,
    file: PathBuf,
    log: PathBuf,
    child: Option<ChildProcess>,
}

impl EntryProcess {
    /// Sets the relays up; the process does not run yet.
    pub(super) async fn prepare(
        block: AddressBlock,
        entry: usize,
        store: SocketAddr,
        hosts: SocketAddr,
        folder: &Path,
    ) -> anyhow::Result<Self> {
        let store = TcpRelay::start(store).await?;
        let hosts = TcpRelay::start(hosts).await?;
        let link = TcpRelay::start_at(block.link_relay(entry), block.link(entry)).await?;
        let callers = TcpRelay::start(block.callers(entry)).await?;
        let place = NodeAddresses {
            name: format!("entry-{entry}"),
            ip: block.entry(entry),
            internal_ports: AddressBlock::internal_ports(),
            callers: block.callers(entry),
            ready: block.ready(entry),
            store: store.address,
            hosts: hosts.address,
        };
        let file = folder.join(format!("entry-{entry}.toml"));
        std::fs::write(&file, node_file(&place))?;
        Ok(Self {
            callers,
            link,
            store,
            hosts,
            advertised: block.link_relay(entry),
            file,
            log: folder.join(format!("entry-{entry}.log")),
            child: None,
        })
    }

    pub(super) fn start(&mut self) -> anyhow::Result<()> {
        let variables = [
            (FILE_VARIABLE, self.file.display().to_string()),
            (ADVERTISED_VARIABLE, self.advertised.to_string()),
        ];
        self.child = Some(ChildProcess::start_logged(PROGRAM, &variables, &self.log)?);
        Ok(())
    }

    pub(super) fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            child.signal(signal);
        }
    }

    /// Kills the process.
    pub(super) fn kill(&mut self) {
        self.child = None;
    }

    pub(super) fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// Returns whether the process has ended by itself.
    pub(super) fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| child.wait(Duration::ZERO).is_some())
    }
}
