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

/// Rate limit of appends to the log, shared by all entry hosts.
const FLEET_APPENDS_PER_SECOND: u64 = 300;
/// The share of an entry host is rounded down to a multiple of this rate.
const APPEND_RATE_STEP: u64 = 10;

/// Parameters of [`ControlThread::start`].
pub struct ControlSetup {
    /// Data centre of this entry host.
    pub data_centre: DataCentre,
    /// Service that reboots hosts.
    pub host_control: Arc<dyn HostControl>,
    /// Service that lists the hosts.
    pub hosts: Arc<dyn HostList>,
    /// Bound listener for connections of peers.
    pub listener: net::TcpListener,
    /// The log service.
    pub log: Arc<dyn LogService>,
    /// Logger.
    pub logger: Logger,
    /// Identity of this entry host, and its peers.
    pub mesh: MeshSettings,
    /// Client of the workers.
    pub workers: Arc<dyn WorkerService>,
}

/// The thread that owns the fleet state. Dropping it stops the thread and waits for its end.
pub struct ControlThread {
    handle: ControlHandle,
    stop: CancellationToken,
    thread: Option<thread::JoinHandle<()>>,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    /// When the thread or its runtime cannot be created, or the peer listener cannot be used.
    pub fn start(setup: ControlSetup) -> anyhow::Result<Self> {
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .context("cannot build the control runtime")?;
        let (handle_sender, handle_receiver) = oneshot::channel();
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let run = move || {
            runtime.block_on(async move {
                // The receiver is gone only if the caller no longer waits.
                let _ = handle_sender.send(spawn_tasks(setup, &stopped));
                stopped.cancelled().await;
            });
        };
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(run)
            .context("cannot start the control thread")?;
        let handle = handle_receiver
            .blocking_recv()
            .context("the control thread ended during its start")?;
        Ok(Self {
            handle: handle?,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns a handle to the thread, usable from other threads.
    pub fn handle(&self) -> ControlHandle {
        self.handle.clone()
    }
}

impl Drop for ControlThread {
    fn drop(&mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

fn spawn_tasks(setup: ControlSetup, stop: &CancellationToken) -> anyhow::Result<ControlHandle> {
    let entry = setup.mesh.local.clone();
    let peers = setup.mesh.peers();
    let peer_count = peers.len();
    let entry_rank = peers.iter().filter(|peer| peer.name < entry.name).count();
    let entry_count = u32::try_from(peer_count + 1).unwrap_or(u32::MAX);
    let peer_state = Arc::new(PeerState::new(entry.clone(), peer_count));
    let (appends, records) = mpsc::unbounded_channel();
    let (view, view_receiver) = watch::channel(None);
    let actor = ControlActor::spawn(ControlArgs {
        appends,
        peer_state: Arc::clone(&peer_state),
        data_centre: setup.data_centre.clone(),
        entry: entry.clone(),
        entry_count,
        entry_rank: u32::try_from(entry_rank).unwrap_or(u32::MAX),
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
    let poll = poll_hosts(Arc::clone(&setup.hosts), actor.clone(), logger.clone());
    tokio::spawn(poll);
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
        view: view_receiver,
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
    let peer_count = setup.mesh.peers().len();
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
    let listening_mesh = Arc::clone(&mesh);
    tokio::spawn(async move { listening_mesh.listen(listener).await });
    let catch_up = CatchUpTask::new(
        actor.clone(),
        Arc::clone(peer_state),
        mesh,
        peer_count,
        random,
        setup.logger,
    );
    tokio::spawn(catch_up.run());
    Ok(())
}

/// Returns a random number generator, used to spread attempts over time.
fn random_source(seed: u64) -> Arc<dyn Fn() -> u64 + Send + Sync> {
    let random = parking_lot::Mutex::new(StdRng::seed_from_u64(seed));
    Arc::new(move || random.lock().next_u64())
}

/// Returns the minimum time between two appends of one entry host.
fn append_interval(entry_count: u32) -> Millis {
    let share = FLEET_APPENDS_PER_SECOND / u64::from(entry_count.max(1));
    let rounded = (share / APPEND_RATE_STEP * APPEND_RATE_STEP).max(1);
    Millis(1_000 / rounded)
}
