use {
    crate::{
        api::{JobApi, OwnerClient},
        control::{ActorParts, ControlEvent, OwnerActor},
        election::{ElectionEvent, ElectionTask, OwnerLease, OwnerLocation},
        feeds::{OperatorFeed, RunnerFeed, follow_hosts},
        links::{LinkServer, OwnerLink, PeerDirectory},
        metrics::NodeMetrics,
        ports::{
            AdviceService, HostService, OperatorRecord, PlatformStore, RecordFeed, RunnerService,
        },
    },
    anyhow::Context,
    async_trait::async_trait,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::runners::RunnerReport,
    goldcreststall_entry::clock::wall_time,
    kameo::actor::{ActorRef, Spawn},
    slog::{Logger, info},
    std::{net::SocketAddr, sync::Arc, thread, time::Duration},
    tokio::{
        net::TcpListener,
        runtime::Builder,
        signal::unix::{SignalKind, signal},
        sync::{mpsc, oneshot, watch},
    },
    tokio_util::sync::CancellationToken,
};

/// Time between two rounds of decisions while nothing happens.
const TICK_PERIOD: Millis = Millis(10);
/// Thousandths of a core that the owner's work needs with 350 runners.
const OWNER_CPU: u32 = 200;
/// Megabits a second that the owner's commands need with 350 runners.
const OWNER_LINK_MBPS: u32 = 50;
/// How much later a host claims that is too small for the owner's work; a claim takes some tens of milliseconds.
const SMALL_DELAY: Millis = Millis(400);
/// How long callers are still served after SIGTERM: the load balancer needs two looks a second apart.
const LAME_DUCK: Millis = Millis(2_500);
/// Kept of the grace time for the end of the process.
const EXIT_RESERVE: Millis = Millis(700);

/// What the process is told at its start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Name of the entry host.
    pub name: String,
    /// Where this process listens for the calls of other entry hosts.
    pub link_address: SocketAddr,
    /// Where other entry hosts reach that address; another one where a relay stands between.
    pub advertised_address: SocketAddr,
    /// Thousandths of a core that this process may use.
    pub cpu: u32,
    /// Megabits a second of the host's link.
    pub link_mbps: u32,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Millis,
    /// Time that the maintenance of a host takes.
    pub maintenance: Millis,
}

impl NodeSettings {
    /// Returns how much later than others this host claims the ownership.
    fn claim_delay(&self) -> Millis {
        let small = self.cpu < OWNER_CPU || self.link_mbps < OWNER_LINK_MBPS;
        if small { SMALL_DELAY } else { Millis(0) }
    }
}

/// Serves callers and the load balancer.
#[async_trait]
pub trait NodeIngress: Send + Sync {
    /// Serves until `stop` is cancelled, then finishes the exchanges in progress.
    ///
    /// # Errors
    /// When an address cannot be bound.
    async fn serve(&self, api: Arc<JobApi>, stop: CancellationToken) -> anyhow::Result<()>;
}

/// The platform as the process sees it.
pub struct NodePorts {
    /// The advice service.
    pub advice: Arc<dyn AdviceService>,
    /// The host service.
    pub hosts: Arc<dyn HostService>,
    /// Callers and the load balancer.
    pub ingress: Arc<dyn NodeIngress>,
    /// Records of operators.
    pub operators: Arc<dyn RecordFeed<OperatorRecord>>,
    /// Entries of runners.
    pub runner_entries: Arc<dyn RecordFeed<RunnerReport>>,
    /// Commands to runners.
    pub runners: Arc<dyn RunnerService>,
    /// The store.
    pub store: Arc<dyn PlatformStore>,
}

/// Runs an entry host until it is told to stop by SIGTERM or SIGINT.
///
/// # Errors
/// When an address cannot be bound or a thread cannot be started.
pub fn run(settings: &NodeSettings, ports: NodePorts, logger: &Logger) -> anyhow::Result<()> {
    info!(logger, "node: start"; "settings" => ?settings);
    // Bound before the election begins: a process that holds this address is the only one of its host, so that a
    // claim of an earlier process has nobody behind it any more.
    let listener = std::net::TcpListener::bind(settings.link_address)
        .with_context(|| format!("{} cannot be bound", settings.link_address))?;
    listener.set_nonblocking(true)?;
    let metrics = Arc::new(NodeMetrics::new()?);
    let lease = OwnerLease::default();
    let parts = ActorParts {
        lease: lease.clone(),
        logger: logger.clone(),
        maintenance: settings.maintenance,
        metrics: Arc::clone(&metrics),
        advice: Arc::clone(&ports.advice),
        runners: Arc::clone(&ports.runners),
        hosts: Arc::clone(&ports.hosts),
        store: Arc::clone(&ports.store),
    };
    let (owner, owners) = watch::channel(None);
    let (rules, all_rules) = watch::channel(None);
    let peers = PeerDirectory::new(settings.advertised_address, owner.clone());
    let stop_claims = CancellationToken::new();
    let (events, elections) = mpsc::unbounded_channel();
    let election = ElectionTask {
        claimant: format!("{}#{}", settings.name, wall_time().0),
        address: settings.advertised_address,
        store: Arc::clone(&ports.store),
        events,
        owner,
        peers: peers.clone(),
        lease,
        claim_delay: settings.claim_delay(),
        stop: stop_claims.clone(),
        logger: logger.clone(),
    };
    let operators = Arc::clone(&ports.operators);
    let follow = logger.clone();
    let runner_feed = (Arc::clone(&ports.runner_entries), owners.clone());
    let host_feed = (Arc::clone(&ports.hosts), owners.clone());
    let actor = start_control(move || {
        let actor = OwnerActor::spawn(parts);
        let operator_feed = OperatorFeed {
            feed: operators,
            actor: actor.clone(),
            rules,
            logger: follow.clone(),
        };
        tokio::spawn(operator_feed.run());
        let (feed, owner) = runner_feed;
        let runner_feed = RunnerFeed {
            feed,
            actor: actor.clone(),
            owner,
            logger: follow.clone(),
        };
        tokio::spawn(runner_feed.run());
        let (service, owner) = host_feed;
        tokio::spawn(follow_hosts(service, actor.clone(), owner, follow));
        tokio::spawn(forward_elections(actor.clone(), elections));
        tokio::spawn(tick(actor.clone(), election));
        actor
    })?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the traffic runtime was not built")?;
    let link = OwnerLink::new(peers.clone(), logger.clone());
    let owner_client = OwnerClient::new(actor.clone(), link, owners);
    let api = Arc::new(JobApi::new(
        owner_client,
        all_rules,
        ports.advice.is_known(),
        metrics,
        logger.clone(),
    ));
    let server = LinkServer {
        actor,
        peers,
        logger: logger.clone(),
    };
    runtime.block_on(serve(
        settings,
        ports.ingress,
        (server, listener),
        api,
        stop_claims,
        logger,
    ))
}

/// Starts the thread of the control state and returns its actor.
fn start_control(
    spawn: impl FnOnce() -> ActorRef<OwnerActor> + Send + 'static,
) -> anyhow::Result<ActorRef<OwnerActor>> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the control runtime was not built")?;
    let (started, actor) = oneshot::channel();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async move {
                let actor = spawn();
                // The receiver is gone only when the process ends.
                let _ = started.send(actor.clone());
                actor.wait_for_shutdown().await;
            });
        })
        .context("the control thread was not started")?;
    actor
        .blocking_recv()
        .context("the control thread has ended")
}

async fn forward_elections(
    actor: ActorRef<OwnerActor>,
    mut elections: mpsc::UnboundedReceiver<ElectionEvent>,
) {
    while let Some(event) = elections.recv().await {
        let event = match event {
            ElectionEvent::Elected(token) => ControlEvent::Elected(token),
            ElectionEvent::TermEnded => ControlEvent::TermEnded,
        };
        // The actor is gone only when the process ends.
        let _ = actor.tell(event).await;
    }
}

/// Runs the election, and wakes the actor regularly during a term.
async fn tick(actor: ActorRef<OwnerActor>, election: ElectionTask) {
    let mut owner = election.owner.subscribe();
    tokio::spawn(election.run());
    while owner.wait_for(OwnerLocation::is_own).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(TICK_PERIOD.0)).await;
        // The actor is gone only when the process ends.
        let _ = actor.tell(ControlEvent::Tick).await;
    }
}

async fn serve(
    settings: &NodeSettings,
    ingress: Arc<dyn NodeIngress>,
    (server, listener): (LinkServer, std::net::TcpListener),
    api: Arc<JobApi>,
    stop_claims: CancellationToken,
    logger: &Logger,
) -> anyhow::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    tokio::spawn(server.serve(listener));
    let reach = Arc::clone(&api);
    tokio::spawn(async move { reach.keep_reach().await });
    let stop = CancellationToken::new();
    let served = tokio::spawn({
        let (api, stop) = (Arc::clone(&api), stop.clone());
        async move { ingress.serve(api, stop).await }
    });
    tokio::pin!(served);
    tokio::select! {
        ended = &mut served => return ended.context("the server of callers ended")?,
        signal = wait_for_signal(logger) => signal?,
    }
    info!(logger, "node: told to stop"; "grace_ms" => settings.grace.0);
    api.start_drain();
    stop_claims.cancel();
    tokio::time::sleep(Duration::from_millis(LAME_DUCK.0)).await;
    stop.cancel();
    let left = settings
        .grace
        .0
        .saturating_sub(LAME_DUCK.0 + EXIT_RESERVE.0);
    let complete = tokio::time::timeout(Duration::from_millis(left), served)
        .await
        .is_ok();
    info!(logger, "node: stop"; "all_answered" => complete);
    Ok(())
}

/// Waits for SIGTERM or SIGINT. SIGHUP is noted: the settings name only addresses, which need a new process.
async fn wait_for_signal(logger: &Logger) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM cannot be handled")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT cannot be handled")?;
    let mut reload = signal(SignalKind::hangup()).context("SIGHUP cannot be handled")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = reload.recv() => info!(logger, "node: reload; nothing in the settings changes at run time"),
        }
    }
}
