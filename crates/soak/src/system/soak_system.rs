use {
    super::{address_block::AddressBlock, entry_process::EntryProcess},
    goldcreststall_adapter_standin::{
        ConfigShape, FleetShape, NodeLimits, PlatformStandIn, PoolShape, QueueShape,
    },
    goldcreststall_dispatch::runners::Capacity,
    goldcreststall_standins::process::TcpRelay,
    parking_lot::Mutex,
    rustix::process::Signal,
    std::{net::SocketAddr, path::Path, sync::Arc},
};

/// Names of the pools that run work; the spare pool is not among them.
pub const POOLS: [&str; 2] = ["alpha", "beta"];
/// Topic of the store that contains the claims to the ownership of the fleet.
const OWNERSHIP_TOPIC: &str = "lead";
const SPARE_POOL: &str = "spare";
const ORGANISATION_KEY: &str = "k-alpha-1";
const EXTRA_QUEUE: &str = "extra";
/// One host in this number starts in the spare pool, but at least one host.
const SPARE_DIVISOR: usize = 6;
/// Capacity of each host.
pub const CAPACITY: Capacity = Capacity {
    cpu: 16_000,
    mem_mb: 32_000,
    gpu: 0,
};
const MAX_ATTEMPTS: u32 = 3;
const BASE_TIMEOUT_MS: u64 = 3_000;

/// Size of the system under test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SystemShape {
    /// Seed of the run, which selects its addresses.
    pub seed: u64,
    /// Number of entry hosts.
    pub entries: usize,
    /// Number of hosts in the fleet.
    pub hosts: usize,
    /// Connections that a runner accepts at a time.
    pub max_connections: usize,
    /// The queue of the first pool belongs to an organisation; the others are public.
    pub organisations: bool,
    /// Limits of each entry host; `None` for the defaults of the daemon.
    pub limits: Option<NodeLimits>,
}

/// All parts of a run apart from its callers. Dropping it ends the processes, relays and stand-ins.
pub struct SoakSystem {
    /// Stand-in for the platform that the entry hosts call.
    pub platform: PlatformStandIn,
    /// The configuration that was published last.
    pub config: Mutex<ConfigShape>,
    pub(super) entries: Mutex<Vec<EntryProcess>>,
    pub(super) runner_relays: Vec<TcpRelay>,
}

impl SoakSystem {
    /// Starts the platform, publishes a configuration, and starts the entry hosts.
    ///
    /// # Errors
    /// If an address cannot be bound, a settings file cannot be written, or the daemon's binary is not built.
    pub async fn start(shape: SystemShape, folder: &Path) -> anyhow::Result<Arc<Self>> {
        let block = AddressBlock::for_run(shape.seed);
        let relays = Mutex::new(Vec::new());
        let platform =
            PlatformStandIn::start(block.platform(), fleet_shape(&shape), async |address| {
                let relay = TcpRelay::start(address).await?;
                let relay_address = relay.address;
                relays.lock().push(relay);
                Ok(relay_address)
            })
            .await?;
        let mut queues: Vec<QueueShape> =
            POOLS.iter().map(|pool| queue_shape(pool, pool)).collect();
        queues[0].key = shape.organisations.then(|| ORGANISATION_KEY.to_owned());
        let config = ConfigShape {
            version: 1,
            queues,
            timeout_ms: BASE_TIMEOUT_MS,
        };
        platform.publish(&config);
        let mut entries = Vec::new();
        for entry in 0..shape.entries {
            let (store, host_service) = (platform.store_address, platform.hosts_address);
            let mut process =
                EntryProcess::prepare(block, entry, store, host_service, shape.limits, folder)
                    .await?;
            process.start()?;
            entries.push(process);
        }
        Ok(Arc::new(Self {
            platform,
            config: Mutex::new(config),
            entries: Mutex::new(entries),
            runner_relays: relays.into_inner(),
        }))
    }

    /// Ends the processes of entry hosts as a loss of power does: whoever has a connection with them does not learn that
    /// they have ended, and keeps it open. New connections to them are refused.
    pub(super) fn cut_power(&self, lost: &[usize]) {
        let mut entries = self.entries.lock();
        for entry in lost {
            entries[*entry].signal(Signal::STOP);
        }
        let mut clients = Vec::new();
        for entry in lost {
            clients.extend(entries[*entry].suspended_connections());
        }
        let relays = entries.iter().flat_map(|entry| {
            [
                &entry.host_service_relay,
                &entry.link_relay,
                &entry.store_relay,
            ]
        });
        for relay in self.runner_relays.iter().chain(relays) {
            relay.silence_clients(&clients);
        }
        for entry in lost {
            let entry = &mut entries[*entry];
            entry.caller_relay.silence_open();
            entry.link_relay.silence_open();
            entry.kill();
        }
    }

    /// Returns the address at which callers reach each entry host: that of its relay.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.entries.lock();
        entries
            .iter()
            .map(|entry| entry.caller_relay.address)
            .collect()
    }

    /// Suspends the process of an entry host, or lets a suspended one go on.
    pub fn suspend(&self, entry: usize, is_suspended: bool) {
        let signal = if is_suspended {
            Signal::STOP
        } else {
            Signal::CONT
        };
        self.entries.lock()[entry].signal(signal);
    }

    /// Kills all entry hosts and starts them again with these limits.
    ///
    /// # Errors
    /// If a settings file cannot be written or a process cannot be started.
    pub fn restart_with(&self, limits: NodeLimits) -> anyhow::Result<()> {
        let mut entries = self.entries.lock();
        for entry in entries.iter_mut() {
            entry.kill();
        }
        for entry in entries.iter_mut() {
            entry.set_limits(limits)?;
            entry.start()?;
        }
        Ok(())
    }

    /// Returns the ids of the processes of the entry hosts; those of killed ones are left out.
    pub fn process_ids(&self) -> Vec<u32> {
        let entries = self.entries.lock();
        entries.iter().filter_map(EntryProcess::id).collect()
    }

    /// Returns the number of entry hosts whose process has ended by itself.
    pub fn ended_processes(&self) -> usize {
        let mut entries = self.entries.lock();
        let ended = entries
            .iter_mut()
            .map(|entry| usize::from(entry.has_ended()));
        ended.sum()
    }

    /// Returns the index of the entry host that owns the fleet, as the newest record of the ownership topic names it.
    pub(super) fn owner(&self) -> Option<usize> {
        let record = self.platform.newest_record(OWNERSHIP_TOPIC)?;
        let entries = self.entries.lock();
        entries.iter().position(|entry| entry.is_claimant(&record))
    }

    /// Returns the queue that [`change_config`](Self::change_config) adds and removes.
    pub fn extra_queue() -> QueueShape {
        queue_shape(EXTRA_QUEUE, POOLS[0])
    }

    /// Publishes a configuration with other timeouts that adds the extra queue, or removes it if it is there.
    pub fn change_config(&self) {
        let mut config = self.config.lock();
        config.version += 3;
        config.timeout_ms = BASE_TIMEOUT_MS + config.version % 2 * 500;
        if config.queues.len() > POOLS.len() {
            config.queues.truncate(POOLS.len());
        } else {
            config.queues.push(Self::extra_queue());
        }
        self.platform.publish(&config);
    }
}

fn queue_shape(name: &str, pool: &str) -> QueueShape {
    QueueShape {
        name: name.to_owned(),
        pool: pool.to_owned(),
        attempts: MAX_ATTEMPTS,
        key: None,
    }
}

fn fleet_shape(shape: &SystemShape) -> FleetShape {
    let hosts = shape.hosts;
    let spare_hosts = (hosts / SPARE_DIVISOR).max(1);
    let first_pool_hosts = (hosts - spare_hosts) / POOLS.len();
    let pool = |name: &str, hosts, spare| PoolShape {
        name: name.to_owned(),
        hosts,
        spare,
    };
    FleetShape {
        pools: vec![
            pool(POOLS[0], first_pool_hosts, false),
            pool(POOLS[1], hosts - spare_hosts - first_pool_hosts, false),
            pool(SPARE_POOL, spare_hosts, true),
        ],
        capacity: CAPACITY,
        max_connections: shape.max_connections,
        clock_seed: Some(shape.seed),
    }
}
