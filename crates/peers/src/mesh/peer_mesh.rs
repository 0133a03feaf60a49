use {
    super::{
        MeshSettings, PeerDialer, PeerError, PeerHandler, PeerStream,
        incoming_link::serve_incoming, mesh_context::MeshContext, outgoing_link::OutgoingLink,
        peer_request::PeerRequest,
    },
    crate::wire::{EncodedState, EntriesResponse, FetchEntries},
    goldcreststall_core::ids::EntryName,
    slog::{Logger, warn},
    std::sync::Arc,
    tokio::{
        net::TcpListener,
        sync::{
            Semaphore,
            mpsc::{self, error::TrySendError},
            oneshot,
        },
        time::{Duration, sleep},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Requests to one peer that wait for their turn.
const REQUEST_QUEUE: usize = 4;
/// Incoming connections for each peer: the current one and some that have not been found dead yet.
const CONNECTIONS_PER_PEER: usize = 8;
/// Pause after a failure to accept, such as a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The connections to all peers: one to each peer, over which this host speaks, and one from each peer.
///
/// There is no authentication beyond the names of both ends; the network between entry hosts is trusted.
pub struct PeerMesh {
    connections: Arc<Semaphore>,
    context: Arc<MeshContext>,
    requests: Vec<mpsc::Sender<PeerRequest>>,
    tasks: TaskTracker,
}

impl PeerMesh {
    /// Starts to connect to the peers on the current tokio runtime. `random` spreads the attempts.
    pub fn start(
        settings: MeshSettings,
        dialer: Arc<dyn PeerDialer>,
        handler: Arc<dyn PeerHandler>,
        random: Arc<dyn Fn() -> u64 + Send + Sync>,
        logger: Logger,
        stop: CancellationToken,
    ) -> Self {
        let context = MeshContext::new(settings, dialer, handler, random, logger, stop);
        let context = Arc::new(context);
        let count = context.settings.peers().len();
        let tasks = TaskTracker::new();
        let links = (0..count).map(|index| {
            let (requests, queue) = mpsc::channel(REQUEST_QUEUE);
            let link = OutgoingLink::new(Arc::clone(&context), index, queue);
            tasks.spawn(link.run());
            requests
        });
        Self {
            connections: Arc::new(Semaphore::new(CONNECTIONS_PER_PEER * count.max(1))),
            requests: links.collect(),
            context,
            tasks,
        }
    }

    /// Accepts connections of peers until the mesh stops.
    pub async fn listen(&self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.context.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    // Without it a digest can wait for the acknowledgement of the one before.
                    let _ = stream.set_nodelay(true);
                    self.accept(stream);
                }
                Err(error) => {
                    warn!(
                        self.context.logger,
                        "peer: cannot accept a connection: {error}"
                    );
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Serves a stream that a peer opened.
    pub fn accept(&self, stream: impl PeerStream + 'static) {
        let context = Arc::clone(&self.context);
        match Arc::clone(&self.connections).try_acquire_owned() {
            Ok(permit) => {
                self.tasks.spawn(async move {
                    serve_incoming(context, stream).await;
                    drop(permit);
                });
            }
            Err(_) => {
                let error = PeerError::TooManyConnections;
                warn!(
                    context.logger,
                    "peer: dropped an incoming connection: {error}"
                );
            }
        }
    }

    /// Asks a peer for log entries.
    ///
    /// # Errors
    /// `PeerError` when the peer is unknown, not reachable, too slow or breaks the protocol.
    pub async fn fetch_entries(
        &self,
        peer: &EntryName,
        fetch: FetchEntries,
    ) -> Result<EntriesResponse, PeerError> {
        let (reply, response) = oneshot::channel();
        self.request(peer, PeerRequest::Entries { fetch, reply })?;
        self.wait(response).await
    }

    /// Asks a peer for its state. Nothing is returned of a transfer that was cut.
    ///
    /// # Errors
    /// `PeerError` as above, and `NoState` when the peer has none.
    pub async fn fetch_state(&self, peer: &EntryName) -> Result<EncodedState, PeerError> {
        let (reply, response) = oneshot::channel();
        self.request(peer, PeerRequest::State { reply })?;
        self.wait(response).await
    }

    /// Waits until every connection is closed. The caller cancels the token first.
    pub async fn stopped(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn request(&self, peer: &EntryName, request: PeerRequest) -> Result<(), PeerError> {
        let index = self.context.peer_index(peer)?;
        let queued = self.requests[index].try_send(request);
        queued.map_err(|error| match error {
            TrySendError::Full(_) => PeerError::TooManyRequests,
            TrySendError::Closed(_) => self.lost(),
        })
    }

    async fn wait<T>(
        &self,
        response: oneshot::Receiver<Result<T, PeerError>>,
    ) -> Result<T, PeerError> {
        response.await.unwrap_or_else(|_| Err(self.lost()))
    }

    fn lost(&self) -> PeerError {
        if self.context.stop.is_cancelled() {
            PeerError::Stopped
        } else {
            PeerError::Unreachable
        }
    }
}
