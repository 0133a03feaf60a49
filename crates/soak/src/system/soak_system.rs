use {
    super::{address_block::AddressBlock, entry_process::EntryProcess},
    goldcreststall_adapter_standin::{
        ConfigShape, FleetShape, PlatformStandIn, PoolShape, QueueShape,
    },
    goldcreststall_dispatch::runners::Capacity,
    goldcreststall_standins::process::TcpRelay,
    parking_lot::Mutex,
    std::{net::SocketAddr, path::Path, sync::Arc},
};

/// Pools that run work; the spare pool is not among them.
pub const POOLS: [&str; 2] = ["alpha", "beta"];
const SPARE_POOL: &str = "spare";
const EXTRA_QUEUE: &str = "extra";
/// Part of the hosts that starts in the spare pool, as a divisor.
const SPARE_DIVISOR: usize = 6;
/// Room of a host.
pub const CAPACITY: Capacity = Capacity {
    cpu: 16_000,
    mem_mb: 32_000,
    gpu: 0,
};
const ATTEMPTS: u32 = 3;
const TIMEOUT_MS: u64 = 3_000;

/// The size of the system under test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SystemShape {
    /// Seed of the run.
    pub seed: u64,
    /// Entry hosts.
    pub entries: usize,
    /// Hosts of the fleet.
    pub hosts: usize,
}

/// Everything that a run consists of, apart from its callers. All of it ends when it is dropped.
pub struct SoakSystem {
    /// The platform.
    pub platform: PlatformStandIn,
    /// The configuration in force.
    pub config: Mutex<ConfigShape>,
    pub(super) entries: Mutex<Vec<EntryProcess>>,
    pub(super) runner_relays: Vec<TcpRelay>,
}

impl SoakSystem {
    /// Starts the platform, publishes a configuration, and starts the entry hosts.
    ///
    /// # Errors
    /// When an address cannot be bound or the daemon is not built.
    pub async fn start(shape: SystemShape, folder: &Path) -> anyhow::Result<Arc<Self>> {
        let block = AddressBlock::of_run(shape.seed);
        let relays = Mutex::new(Vec::new());
        let platform = PlatformStandIn::start(
            block.platform(),
            fleet_shape(shape.hosts),
            async |address| {
                let relay = TcpRelay::start(address).await?;
                let face = relay.address;
                relays.lock().push(relay);
                Ok(face)
            },
        )
        .await?;
        let config = ConfigShape {
            version: 1,
            queues: POOLS.iter().map(|pool| queue(pool, pool)).collect(),
            timeout_ms: TIMEOUT_MS,
        };
        platform.publish(&config);
        let mut entries = Vec::new();
        for entry in 0..shape.entries {
            let (store, hosts) = (platform.store_address, platform.hosts_address);
            let mut process = EntryProcess::prepare(block, entry, store, hosts, folder).await?;
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

    /// Returns where callers reach each entry host.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.entries.lock();
        entries.iter().map(|entry| entry.callers.address).collect()
    }

    /// Returns the number of entry hosts whose process has ended by itself.
    pub fn own_ends(&self) -> usize {
        let mut entries = self.entries.lock();
        let ended = entries
            .iter_mut()
            .map(|entry| usize::from(entry.has_ended()));
        ended.sum()
    }

    /// Returns the queue that configurations add and remove.
    pub fn extra_queue() -> QueueShape {
        queue(EXTRA_QUEUE, POOLS[0])
    }

    /// Publishes a configuration with a further queue, or without it, and with other timeouts.
    pub fn change_config(&self) {
        let mut config = self.config.lock();
        config.version += 3;
        config.timeout_ms = TIMEOUT_MS + config.version % 2 * 500;
        if config.queues.len() > POOLS.len() {
            config.queues.truncate(POOLS.len());
        } else {
            config.queues.push(Self::extra_queue());
        }
        self.platform.publish(&config);
    }
}

fn queue(name: &str, pool: &str) -> QueueShape {
    QueueShape {
        name: name.to_owned(),
        pool: pool.to_owned(),
        attempts: ATTEMPTS,
    }
}

fn fleet_shape(hosts: usize) -> FleetShape {
    let spare = (hosts / SPARE_DIVISOR).max(1);
    let first = (hosts - spare) / POOLS.len();
    let pool = |name: &str, hosts, spare| PoolShape {
        name: name.to_owned(),
        hosts,
        spare,
    };
    FleetShape {
        pools: vec![
            pool(POOLS[0], first, false),
            pool(POOLS[1], hosts - spare - first, false),
            pool(SPARE_POOL, spare, true),
        ],
        capacity: CAPACITY,
    }
}
