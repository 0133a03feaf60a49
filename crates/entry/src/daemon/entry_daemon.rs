use {
    crate::{
        clock::wall_time,
        control::{ControlHandle, ControlSetup, ControlThread},
        metrics::EntryMetrics,
        operating::EntryBackend,
        peering::PeerFeed,
        settings::EntrySettings,
        traffic::{RequestRouter, RequestScheduler},
    },
    anyhow::Context,
    goldcreststall_callers::{
        intake::IntakeLimits,
        server::{CallerServer, ServerLimits},
    },
    goldcreststall_core::{
        ids::{EntryId, Incarnation, Millis},
        traffic::{FairPolicy, RoutingView},
    },
    goldcreststall_operators::OperatorServer,
    goldcreststall_peers::mesh::MeshSettings,
    goldcreststall_platform::{hosts::HttpHosts, log::HttpLog, worker_service::HttpWorkerService},
    goldcreststall_targets::{pool::PooledTransport, transport::TargetEndpoint},
    slog::{Logger, error, info},
    std::{sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        runtime::Builder,
        signal::unix::{SignalKind, signal},
    },
    tokio_util::sync::CancellationToken,
    tonic::transport::{Server, server::TcpIncoming},
};

/// How long an open connection may be without a request.
const IDLE_TIMEOUT: Millis = Millis(30_000);
/// Most calls of operators on one connection at a time; each has a message of at most 4 MiB, the default of the library.
const MAX_OPERATOR_CALLS: usize = 16;

/// Runs an entry host until it receives SIGTERM or SIGINT, then drains it.
///
/// # Errors
/// When an address cannot be bound or a thread cannot be started.
pub fn run(settings: &EntrySettings, logger: &Logger) -> anyhow::Result<()> {
    let entry = EntryId {
        incarnation: Incarnation(wall_time().0),
        name: settings.name.clone(),
    };
    let listener = std::net::TcpListener::bind(settings.listen_peers)
        .with_context(|| format!("--listen-peers: {} cannot be bound", settings.listen_peers))?;
    let control = ControlThread::start(ControlSetup {
        data_centre: settings.data_centre.clone(),
        host_control: Arc::new(HttpHosts::new(settings.hosts)),
        hosts: Arc::new(HttpHosts::new(settings.hosts)),
        listener,
        log: Arc::new(HttpLog::new(settings.log)),
        logger: logger.clone(),
        mesh: MeshSettings::new(entry, settings.peers.clone())?,
        workers: Arc::new(HttpWorkerService::new()),
    })?;
    let runtime = Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .worker_threads(settings.threads)
        .build()
        .context("cannot build the traffic runtime")?;
    runtime.block_on(serve(settings, control.handle(), logger))
}

async fn serve(
    settings: &EntrySettings,
    control: ControlHandle,
    logger: &Logger,
) -> anyhow::Result<()> {
    let listener = TcpListener::bind(settings.callers)
        .await
        .with_context(|| format!("--callers: {} cannot be bound", settings.callers))?;
    let policy = FairPolicy::new(control.entry().name.clone());
    let scheduler = RequestScheduler::new(Box::new(policy), control.entry().incarnation.0);
    tokio::spawn(RequestScheduler::run_expiry(Arc::downgrade(&scheduler)));
    let transport = PooledTransport::new();
    tokio::spawn(follow_view(
        control.clone(),
        Arc::clone(&scheduler),
        transport.clone(),
    ));
    let peer_state = Arc::clone(control.peer_state());
    let feed = PeerFeed::new(
        Arc::clone(&peer_state),
        control.clone(),
        Arc::clone(&scheduler),
    );
    tokio::spawn(feed.run());
    let router = Arc::new(RequestRouter::new(
        control.clone(),
        scheduler,
        Arc::new(transport),
        EntryMetrics::new()?,
        logger.clone(),
    ));
    let limits = ServerLimits {
        drain_timeout: settings.drain,
        intake: IntakeLimits {
            idle_timeout: IDLE_TIMEOUT,
            ..IntakeLimits::derive(Some(settings.memory_mb), Some(settings.max_fds))
        },
    };
    let server = CallerServer::new(Arc::clone(&router) as _, limits, logger.clone());
    let stop = CancellationToken::new();
    serve_operators(settings, &control, logger, &stop).await?;
    let server_task = tokio::spawn(server.serve(listener, stop.clone()));
    info!(logger, "drain: the entry host serves callers"; "address" => %settings.callers);
    wait_for_signal().await?;
    info!(logger, "drain: a stop signal was received");
    peer_state.drain();
    router.start_drain();
    tokio::time::sleep(Duration::from_millis(settings.lame_duck.0)).await;
    stop.cancel();
    let complete = server_task.await.context("the caller server task failed")?;
    router.finish_releases().await;
    info!(logger, "drain: the entry host stops"; "complete" => complete);
    Ok(())
}

async fn serve_operators(
    settings: &EntrySettings,
    control: &ControlHandle,
    logger: &Logger,
    stop: &CancellationToken,
) -> anyhow::Result<()> {
    let listener = TcpListener::bind(settings.operators)
        .await
        .with_context(|| format!("--operators: {} cannot be bound", settings.operators))?;
    let backend = EntryBackend::new(
        control.clone(),
        settings.data_centre.clone(),
        logger.clone(),
    );
    let service = OperatorServer::service(Arc::new(backend));
    let stopped = stop.clone().cancelled_owned();
    let server = Server::builder()
        .concurrency_limit_per_connection(MAX_OPERATOR_CALLS)
        .max_concurrent_streams(MAX_OPERATOR_CALLS as u32)
        .add_service(service)
        .serve_with_incoming_shutdown(TcpIncoming::from(listener), stopped);
    let logger = logger.clone();
    tokio::spawn(async move {
        if let Err(error) = server.await {
            error!(logger, "drain: the operator server failed"; "error" => %error);
        }
    });
    Ok(())
}

async fn follow_view(
    control: ControlHandle,
    scheduler: Arc<RequestScheduler>,
    transport: PooledTransport,
) {
    let mut views = control.watch_view();
    loop {
        let view = views.borrow_and_update().clone();
        if let Some(view) = view {
            // Connections to host incarnations that no longer exist would never be used again.
            transport.retain(&|endpoint| is_target(&view, endpoint));
            scheduler.update_view(view);
        }
        if views.changed().await.is_err() {
            return;
        }
    }
}

fn is_target(view: &RoutingView, endpoint: &TargetEndpoint) -> bool {
    let mut targets = view.targets_of(&endpoint.host);
    targets.any(|key| {
        let target = view.target_at(key);
        target.is_some_and(|target| target.incarnation == endpoint.incarnation)
    })
}

async fn wait_for_signal() -> anyhow::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("cannot install a handler for SIGTERM")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context("cannot install a handler for SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
