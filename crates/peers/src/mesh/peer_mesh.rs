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

/// Maximum number of queued requests to one peer.
const MAX_QUEUED_REQUESTS: usize = 4;
/// Maximum number of incoming connections per peer: the current one and some that have not been detected as
/// dead yet.
const MAX_CONNECTIONS_PER_PEER: usize = 8;
/// Delay after a failure to accept a connection, such as a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Connections to all peers: one to each peer, for the digests and requests of this host, and one from each
/// peer, for those of the peer.
///
/// Connections are not authenticated beyond the names of both ends; the network between entry hosts is trusted.
pub struct PeerMesh {
    connections: Arc<Semaphore>,
    context: Arc<MeshContext>,
    requests: Vec<mpsc::Sender<PeerRequest>>,
    tasks: TaskTracker,
}

impl PeerMesh {
    /// Starts connecting to the peers on the current Tokio runtime. `random` adds jitter to the reconnect delays.
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
            let (requests, queue) = mpsc::channel(MAX_QUEUED_REQUESTS);
            let link = OutgoingLink::new(Arc::clone(&context), index, queue);
            tasks.spawn(link.run());
            requests
        });
        Self {
            connections: Arc::new(Semaphore::new(MAX_CONNECTIONS_PER_PEER * count.max(1))),
            requests: links.collect(),
            context,
            tasks,
        }
    }

    /// Accepts connections from peers until the mesh stops.
    pub async fn listen(&self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                () = self.context.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    // With Nagle's algorithm, a digest can wait for the acknowledgement of the previous one.
                    let _ = stream.set_nodelay(true);
                    self.accept(stream);
                }
                Err(error) => {
                    warn!(
                        self.context.logger,
                        "peer: cannot accept a connection: {error}"
                    );
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Serves a stream that a peer opened. It is closed at once if too many are open.
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

    /// Requests log entries from a peer.
    ///
    /// # Errors
    /// `PeerError` when the peer is unknown, unreachable or too slow, or violates the protocol.
    pub async fn fetch_entries(
        &self,
        peer: &EntryName,
        fetch: FetchEntries,
    ) -> Result<EntriesResponse, PeerError> {
        let (reply, response) = oneshot::channel();
        self.queue_request(peer, PeerRequest::Entries { fetch, reply })?;
        self.wait_response(response).await
    }

    /// Requests the state of a peer. An interrupted transfer returns no partial state.
    ///
    /// # Errors
    /// `PeerError` as for [`Self::fetch_entries`], and `PeerError::NoState` when the peer has no state.
    pub async fn fetch_state(&self, peer: &EntryName) -> Result<EncodedState, PeerError> {
        let (reply, response) = oneshot::channel();
        self.queue_request(peer, PeerRequest::State { reply })?;
        self.wait_response(response).await
    }

    /// Waits until every connection is closed. The caller must cancel the `stop` token first.
    pub async fn wait_stopped(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn queue_request(&self, peer: &EntryName, request: PeerRequest) -> Result<(), PeerError> {
        let index = self.context.peer_index(peer)?;
        let queued = self.requests[index].try_send(request);
        queued.map_err(|error| match error {
            TrySendError::Full(_) => PeerError::TooManyRequests,
            TrySendError::Closed(_) => self.connection_lost(),
        })
    }

    async fn wait_response<T>(
        &self,
        response: oneshot::Receiver<Result<T, PeerError>>,
    ) -> Result<T, PeerError> {
        response
            .await
            .unwrap_or_else(|_| Err(self.connection_lost()))
    }

    fn connection_lost(&self) -> PeerError {
        if self.context.stop.is_cancelled() {
            PeerError::Stopped
        } else {
            PeerError::Unreachable
        }
    }
}
