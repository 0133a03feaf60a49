use {
    super::{
        ControlActor, ControlArgs, ControlHandle, append_queue::AppendQueue,
        hosts_poll::poll_hosts, log_tail::LogTail,
    },
    crate::{
        clock::BootClock,
        duty::{DutyRunner, SnapshotWriter},
        peering::{CatchUpTask, PeerGateway, PeerState},
    },
    anyhow::Context,
    goldcreststall_core::ids::{DataCentre, Millis},
    goldcreststall_peers::mesh::{MeshSettings, PeerMesh, TcpDialer},
    goldcreststall_platform::{
        hosts::{HostControl, HostList},
        log::LogService,
        worker_service::WorkerService,
    },
    kameo::actor::{ActorRef, Spawn},
    rand::{Rng, SeedableRng, rngs::StdRng},
    slog::Logger,
    std::{net, sync::Arc, thread},
    tokio::{
        net::TcpListener,
        runtime::Builder,
        sync::{mpsc, oneshot, watch},
    },
    tokio_util::sync::CancellationToken,
};

/// Appends a second that the whole fleet may spend.
const APPEND_BUDGET: u64 = 300;
/// The part of an entry host is rounded down to a multiple of this.
const APPEND_STEP: u64 = 10;

/// What the control thread is started with.
pub struct ControlSetup {
    /// Data centre of this entry host.
    pub data_centre: DataCentre,
    /// Reboots hosts.
    pub host_control: Arc<dyn HostControl>,
    /// The list of hosts.
    pub hosts: Arc<dyn HostList>,
    /// Where peers are served; bound already.
    pub listener: net::TcpListener,
    /// The log service.
    pub log: Arc<dyn LogService>,
    /// Logger.
    pub logger: Logger,
    /// This run of the entry host and its peers.
    pub mesh: MeshSettings,
    /// The workers.
    pub workers: Arc<dyn WorkerService>,
}

/// The thread that owns the control state.
pub struct ControlThread {
    handle: ControlHandle,
    stop: CancellationToken,
    thread: Option<thread::JoinHandle<()>>,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    /// When the operating system gives no thread or runtime.
    pub fn start(setup: ControlSetup) -> anyhow::Result<Self> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .context("the control runtime was not built")?;
        let (started, handle) = oneshot::channel();
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let run = move || {
            runtime.block_on(async move {
                // The receiver is gone only when the caller has given up.
                let _ = started.send(spawn_parts(setup, &stopped));
                stopped.cancelled().await;
            });
        };
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(run)
            .context("the control thread was not started")?;
        let handle = handle.blocking_recv().context("the control thread ended")?;
        Ok(Self {
            handle: handle?,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns access to the control state.
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }
}

impl Drop for ControlThread {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was reported by the panic hook.
            let _ = thread.join();
        }
    }
}

fn spawn_parts(setup: ControlSetup, stop: &CancellationToken) -> anyhow::Result<ControlHandle> {
    let entry = setup.mesh.local.clone();
    let peers = setup.mesh.peers().len();
    let entry_count = u32::try_from(peers + 1).unwrap_or(u32::MAX);
    let peer_state = Arc::new(PeerState::new(entry.clone(), peers));
    let (appends, records) = mpsc::unbounded_channel();
    let (view, views) = watch::channel(None);
    let actor = ControlActor::spawn(ControlArgs {
        appends,
        peer_state: Arc::clone(&peer_state),
        data_centre: setup.data_centre.clone(),
        entry: entry.clone(),
        entry_count,
        logger: setup.logger.clone(),
        view,
    });
    let logger = &setup.logger;
    let interval = append_interval(entry_count);
    let queue = AppendQueue::new(Arc::clone(&setup.log), records, interval, logger.clone());
    tokio::spawn(queue.run());
    let tail = LogTail::new(
        actor.clone(),
        Arc::clone(&peer_state),
        Arc::clone(&setup.log),
        logger.clone(),
    );
    tokio::spawn(tail.run());
    let polled = poll_hosts(Arc::clone(&setup.hosts), actor.clone(), logger.clone());
    tokio::spawn(polled);
    let runner = DutyRunner::new(
        actor.clone(),
        Arc::clone(&peer_state),
        Arc::clone(&setup.host_control),
        Arc::clone(&setup.workers),
        logger.clone(),
    );
    tokio::spawn(runner.run());
    let writer = SnapshotWriter::new(
        actor.clone(),
        Arc::clone(&peer_state),
        Arc::clone(&setup.log),
        logger.clone(),
    );
    tokio::spawn(writer.run());
    start_peers(setup, &actor, &peer_state, stop)?;
    Ok(ControlHandle {
        actor,
        peer_state,
        clock: BootClock,
        entry,
        view: views,
    })
}

fn start_peers(
    setup: ControlSetup,
    actor: &ActorRef<ControlActor>,
    peer_state: &Arc<PeerState>,
    stop: &CancellationToken,
) -> anyhow::Result<()> {
    setup.listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(setup.listener)?;
    let peers = setup.mesh.peers().len();
    let random = random_source(setup.mesh.local.incarnation.0);
    let gateway = PeerGateway::new(actor.clone(), Arc::clone(peer_state));
    let mesh = Arc::new(PeerMesh::start(
        setup.mesh,
        Arc::new(TcpDialer),
        Arc::new(gateway),
        Arc::clone(&random),
        setup.logger.clone(),
        stop.clone(),
    ));
    let listening = Arc::clone(&mesh);
    tokio::spawn(async move { listening.listen(listener).await });
    let catch_up = CatchUpTask::new(
        actor.clone(),
        Arc::clone(peer_state),
        mesh,
        peers,
        random,
        setup.logger,
    );
    tokio::spawn(catch_up.run());
    Ok(())
}

/// Returns a source of random numbers that spread attempts in time.
fn random_source(seed: u64) -> Arc<dyn Fn() -> u64 + Send + Sync> {
    let random = parking_lot::Mutex::new(StdRng::seed_from_u64(seed));
    Arc::new(move || random.lock().next_u64())
}

/// Returns the shortest time between two appends of one entry host.
fn append_interval(entry_count: u32) -> Millis {
    let share = APPEND_BUDGET / u64::from(entry_count.max(1));
    let rounded = (share / APPEND_STEP * APPEND_STEP).max(1);
    Millis(1_000 / rounded)
}
