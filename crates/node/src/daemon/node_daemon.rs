use {
    super::essential_tasks::EssentialTasks,
    crate::{
        api::{JobApi, OwnerClient},
        control::{ActorArgs, ControlEvent, OwnerActor},
        delegates::{
            CommandLimiter, DelegateProfile, DelegateRegistry, DelegateTask, DelegatedRunners,
            MAX_COMMANDS_PER_RUNNER,
        },
        election::{ElectionEvent, ElectionTask, OwnerLease, OwnerLocation},
        feeds::{OperatorFeed, RunnerFeed, StoreContact, follow_hosts},
        links::{LinkServer, OwnerLink, PeerDirectory},
        metrics::NodeMetrics,
        ports::{
            AdviceService, HostService, OperatorRecord, PlatformStore, RecordFeed, RunnerService,
        },
        runners::GuardedRunners,
    },
    anyhow::{Context, bail},
    async_trait::async_trait,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        owner::JobMemoryLimit, routes::ServiceBounds, runners::RunnerReport,
    },
    goldcreststall_entry::clock::wall_time,
    kameo::actor::{ActorRef, Spawn},
    slog::{Logger, error, info},
    std::{net::SocketAddr, sync::Arc, thread, time::Duration},
    tokio::{
        net::TcpListener,
        runtime::Builder,
        signal::unix::{SignalKind, signal},
        sync::{mpsc, oneshot, watch},
    },
    tokio_util::sync::CancellationToken,
};

/// Time between two rounds of decisions while no event arrives.
const TICK_INTERVAL: Millis = Millis(10);
/// Thousandths of a core that the owner's work needs with 350 runners.
const OWNER_MIN_CPU_MILLI: u32 = 200;
/// Megabits per second that the owner's commands need with 350 runners.
const OWNER_MIN_LINK_MBPS: u32 = 50;
/// How much later a host claims that is too small for the owner's work. A claim takes some tens of milliseconds, so a
/// large host wins.
const SMALL_HOST_CLAIM_DELAY: Millis = Millis(400);
const BYTES_PER_SECOND_PER_MBPS: u64 = 125_000;
/// How long new callers are still served after SIGTERM: the load balancer needs two checks, a second apart.
const LAME_DUCK_DURATION: Millis = Millis(2_500);
/// Part of the grace time that is kept for the end of the process.
const EXIT_MARGIN: Millis = Millis(700);

/// Settings of the process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Name of the entry host.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where this process listens for calls of other entry hosts.
    pub link_address: SocketAddr,
    /// Where other entry hosts reach that address; differs from it when a relay stands between.
    pub advertised_address: SocketAddr,
    /// Thousandths of a core that this process may use.
    pub cpu: u32,
    /// Megabits per second of the host's link.
    pub link_mbps: u32,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Millis,
    /// How long the maintenance of a host takes.
    pub maintenance: Millis,
    /// Longest lease that a runner accepts.
    pub max_lease: Millis,
    /// Memory and descriptors that the process may use.
    pub limits: ProcessLimits,
    /// Bounds of the deployment.
    pub bounds: ServiceBounds,
}

/// Limits of the process by its host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProcessLimits {
    /// Memory in MB; `None` if the settings name none.
    pub memory_mb: Option<u32>,
    /// Number of file descriptors; `None` if the settings name none.
    pub max_fds: Option<u32>,
}

impl NodeSettings {
    /// Returns how much later than others this host claims the ownership.
    fn claim_delay(&self) -> Millis {
        let small = self.cpu < OWNER_MIN_CPU_MILLI || self.link_mbps < OWNER_MIN_LINK_MBPS;
        if small {
            SMALL_HOST_CLAIM_DELAY
        } else {
            Millis(0)
        }
    }

    /// Returns the bytes per second that the host's link carries.
    fn link_rate(&self) -> u64 {
        u64::from(self.link_mbps) * BYTES_PER_SECOND_PER_MBPS
    }

    fn delegate_profile(&self) -> DelegateProfile {
        DelegateProfile {
            name: self.name.clone(),
            data_centre: self.data_centre.clone(),
            cpu: self.cpu,
            link_mbps: self.link_mbps,
        }
    }
}

/// Server for callers, the load balancer and the reader of metrics.
#[async_trait]
pub trait NodeIngress: Send + Sync {
    /// Serves until `stop` is cancelled, then finishes the requests in progress.
    ///
    /// # Errors
    /// When an address cannot be bound.
    async fn serve(&self, api: Arc<JobApi>, stop: CancellationToken) -> anyhow::Result<()>;
}

/// The platform's services, as the daemon uses them.
pub struct PlatformPorts {
    /// The advice service.
    pub advice: Arc<dyn AdviceService>,
    /// The host service.
    pub hosts: Arc<dyn HostService>,
    /// Server for callers, the load balancer and the reader of metrics.
    pub ingress: Arc<dyn NodeIngress>,
    /// Records of operators.
    pub operators: Arc<dyn RecordFeed<OperatorRecord>>,
    /// Reports of runners.
    pub runner_reports: Arc<dyn RecordFeed<RunnerReport>>,
    /// Client of the runners.
    pub runners: Arc<dyn RunnerService>,
    /// The store.
    pub store: Arc<dyn PlatformStore>,
}

/// Runs an entry host until SIGTERM or SIGINT stops it.
///
/// # Errors
/// When an address cannot be bound, a thread cannot be started, or a task that the process needs has panicked: a new
/// process does what this one no longer can.
pub fn run(settings: &NodeSettings, ports: PlatformPorts, logger: &Logger) -> anyhow::Result<()> {
    info!(logger, "node: start"; "settings" => ?settings);
    // Bound before the election starts: the process that listens on this address is the only one of its host, so the
    // process behind an earlier claim of this host must have ended.
    let listener = std::net::TcpListener::bind(settings.link_address)
        .with_context(|| format!("{} cannot be bound", settings.link_address))?;
    listener.set_nonblocking(true)?;
    let metrics = Arc::new(NodeMetrics::new()?);
    let lease = OwnerLease::default();
    let delegates = DelegateRegistry::new(lease.clone(), logger.clone());
    let limiter = CommandLimiter::new(MAX_COMMANDS_PER_RUNNER);
    let runners: Arc<dyn RunnerService> = Arc::new(GuardedRunners::new(
        ports.runners,
        limiter.clone(),
        logger.clone(),
    ));
    let args = ActorArgs {
        bounds: settings.bounds,
        job_memory: JobMemoryLimit::derive(settings.limits.memory_mb),
        lease: lease.clone(),
        link_rate: settings.link_rate(),
        logger: logger.clone(),
        maintenance: settings.maintenance,
        max_lease: settings.max_lease,
        metrics: Arc::clone(&metrics),
        advice: Arc::clone(&ports.advice),
        runners: Arc::new(DelegatedRunners::new(
            Arc::clone(&runners),
            delegates.clone(),
            limiter.clone(),
        )),
        hosts: Arc::clone(&ports.hosts),
        store: Arc::clone(&ports.store),
    };
    let (owner, owner_updates) = watch::channel(None);
    let (rules, rules_updates) = watch::channel(None);
    let peers = PeerDirectory::new(settings.advertised_address, owner.clone());
    let stop_claims = CancellationToken::new();
    let (events, election_events) = mpsc::unbounded_channel();
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
    let delegate_task = DelegateTask {
        owner: owner_updates.clone(),
        profile: settings.delegate_profile(),
        runners,
        limiter,
        stop: stop_claims.clone(),
        logger: logger.clone(),
    };
    let contact = StoreContact::default();
    let feed_contact = contact.clone();
    let operators = Arc::clone(&ports.operators);
    let feed_logger = logger.clone();
    let runner_feed = (Arc::clone(&ports.runner_reports), owner_updates.clone());
    let host_feed = (Arc::clone(&ports.hosts), owner_updates.clone());
    let (actor, control_ended) = start_control(move |tasks| {
        let actor = OwnerActor::spawn(args);
        let operator_feed = OperatorFeed {
            feed: operators,
            actor: actor.clone(),
            rules,
            contact: feed_contact,
            logger: feed_logger.clone(),
        };
        tasks.spawn(operator_feed.run());
        let (feed, owner) = runner_feed;
        let runner_feed = RunnerFeed {
            feed,
            actor: actor.clone(),
            owner,
            logger: feed_logger.clone(),
        };
        tasks.spawn(runner_feed.run());
        let (service, owner) = host_feed;
        tasks.spawn(follow_hosts(service, actor.clone(), owner, feed_logger));
        tasks.spawn(forward_elections(actor.clone(), election_events));
        tasks.spawn(send_ticks(actor.clone(), election.owner.subscribe()));
        tasks.spawn(election.run());
        actor
    })?;
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the traffic runtime was not built")?;
    let link = OwnerLink::new(peers.clone(), logger.clone());
    let owner_client = OwnerClient::new(actor.clone(), link, owner_updates);
    let mut api = JobApi::new(
        owner_client,
        rules_updates,
        ports.advice.is_configured(),
        metrics,
        logger.clone(),
    );
    let bounds = settings.bounds;
    if bounds.fail_closed {
        api = api.with_silence_limit(contact, bounds.revoke);
    }
    let api = Arc::new(api);
    let server = LinkServer {
        actor,
        delegates,
        peers,
        logger: logger.clone(),
    };
    runtime.block_on(serve(
        settings,
        ports.ingress,
        (server, listener, delegate_task),
        api,
        stop_claims,
        control_ended,
        logger,
    ))
}

/// Starts the thread of the control actor. Returns the actor, and the receiver of the reason for which the thread has
/// ended.
fn start_control(
    spawn: impl FnOnce(&mut EssentialTasks) -> ActorRef<OwnerActor> + Send + 'static,
) -> anyhow::Result<(ActorRef<OwnerActor>, oneshot::Receiver<String>)> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context("the control runtime was not built")?;
    let (actor_sender, actor_receiver) = oneshot::channel();
    let (reason_sender, reason_receiver) = oneshot::channel();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let reason = runtime.block_on(async move {
                let mut tasks = EssentialTasks::default();
                let actor = spawn(&mut tasks);
                // Fails only when the process is ending and the receiver is gone.
                let _ = actor_sender.send(actor.clone());
                tokio::select! {
                    // The actor stops itself only after a panic.
                    () = actor.wait_for_shutdown() => "the control actor has stopped".to_owned(),
                    panic = tasks.panicked() => panic,
                }
            });
            // Fails only when the process is ending and the receiver is gone.
            let _ = reason_sender.send(reason);
        })
        .context("the control thread was not started")?;
    let actor = actor_receiver
        .blocking_recv()
        .context("the control thread has ended")?;
    Ok((actor, reason_receiver))
}

async fn forward_elections(
    actor: ActorRef<OwnerActor>,
    mut election_events: mpsc::UnboundedReceiver<ElectionEvent>,
) {
    while let Some(event) = election_events.recv().await {
        let event = match event {
            ElectionEvent::Elected(token) => ControlEvent::Elected(token),
            ElectionEvent::TermEnded => ControlEvent::TermEnded,
        };
        // Fails only when the process is ending and the actor has stopped.
        let _ = actor.tell(event).await;
    }
}

/// Sends ticks to the actor while this process is the owner.
async fn send_ticks(
    actor: ActorRef<OwnerActor>,
    mut owner: watch::Receiver<Option<OwnerLocation>>,
) {
    while owner.wait_for(OwnerLocation::is_own).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(TICK_INTERVAL.0)).await;
        // Fails only when the process is ending and the actor has stopped.
        let _ = actor.tell(ControlEvent::Tick).await;
    }
}

async fn serve(
    settings: &NodeSettings,
    ingress: Arc<dyn NodeIngress>,
    (server, listener, delegate_task): (LinkServer, std::net::TcpListener, DelegateTask),
    api: Arc<JobApi>,
    stop_claims: CancellationToken,
    control_ended: oneshot::Receiver<String>,
    logger: &Logger,
) -> anyhow::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let mut tasks = EssentialTasks::default();
    tasks.spawn(server.serve(listener));
    tasks.spawn(delegate_task.run());
    let probing_api = Arc::clone(&api);
    tasks.spawn(async move { probing_api.probe_owner_loop().await });
    let stop = CancellationToken::new();
    let ingress_task = tokio::spawn({
        let (api, stop) = (Arc::clone(&api), stop.clone());
        async move { ingress.serve(api, stop).await }
    });
    tokio::pin!(ingress_task);
    tokio::select! {
        ended = &mut ingress_task => return ended.context("the server for callers has ended")?,
        reason = control_ended => {
            let reason = reason.unwrap_or_else(|_| "the control thread has ended".to_owned());
            return end_process(&reason, logger);
        }
        reason = tasks.panicked() => return end_process(&reason, logger),
        signal = wait_for_signal(logger) => signal?,
    }
    info!(logger, "node: received a stop signal"; "grace_ms" => settings.grace.0);
    api.start_drain();
    stop_claims.cancel();
    tokio::time::sleep(Duration::from_millis(LAME_DUCK_DURATION.0)).await;
    stop.cancel();
    let remaining = settings
        .grace
        .0
        .saturating_sub(LAME_DUCK_DURATION.0 + EXIT_MARGIN.0);
    let complete = tokio::time::timeout(Duration::from_millis(remaining), ingress_task)
        .await
        .is_ok();
    info!(logger, "node: stop"; "all_answered" => complete);
    Ok(())
}

fn end_process(reason: &str, logger: &Logger) -> anyhow::Result<()> {
    error!(logger, "node: ending the process after a panic"; "why" => reason);
    bail!("a task that the process needs has panicked: {reason}")
}

/// Waits for SIGTERM or SIGINT. SIGHUP is only logged: the settings hold addresses, which need a new process.
async fn wait_for_signal(logger: &Logger) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM cannot be handled")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT cannot be handled")?;
    let mut reload = signal(SignalKind::hangup()).context("SIGHUP cannot be handled")?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = reload.recv() => info!(logger, "node: SIGHUP ignored; settings need a restart"),
        }
    }
}
