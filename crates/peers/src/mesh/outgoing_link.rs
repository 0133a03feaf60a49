use {
    super::{
        PeerAddress, PeerError, PeerStream,
        mesh_context::MeshContext,
        peer_request::{PeerRequest, PendingRequest},
    },
    crate::{
        decisions::{DIGEST_INTERVAL, DigestPacer, DigestPlan, ReconnectBackoff},
        wire::{DigestEncoder, Frame, Hello, LENGTH_PREFIX_BYTES, WireError, frame_codec},
    },
    bytes::Bytes,
    futures_util::{SinkExt, StreamExt},
    slog::{debug, info, warn},
    std::sync::Arc,
    tokio::{
        sync::mpsc,
        time::{Duration, Instant, MissedTickBehavior, interval, sleep, timeout},
    },
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

/// Maximum time to open a connection.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time to write one frame to the connection.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection that lasted this long resets the reconnect backoff.
const STABLE_DURATION: Duration = Duration::from_secs(2);
/// A connection of this age is replaced if its peer has been silent for the same time.
///
/// After a network partition, TCP may wait much longer than the partition lasted before it retransmits.
const SILENT_CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// The age doubles with each reset up to this maximum, because connections pile up at an unresponsive peer.
const MAX_SILENT_CONNECTION_TIMEOUT: Duration = Duration::from_secs(32);

type FrameStream<S> = Framed<S, LengthDelimitedCodec>;

/// Connection over which this host sends digests to one peer and requests entries and states from it.
pub(super) struct OutgoingLink {
    backoff: ReconnectBackoff,
    context: Arc<MeshContext>,
    peer: PeerAddress,
    peer_index: usize,
    requests: mpsc::Receiver<PeerRequest>,
    /// Sequence number of the next digest; it keeps increasing across connections to the peer.
    sequence: u64,
    /// Consecutive connections that were replaced because the peer was silent.
    silent_resets: u32,
}

/// State of one connection.
struct Session {
    encoder: DigestEncoder,
    opened: Instant,
    pacer: DigestPacer,
    pending: Option<PendingRequest>,
}

impl OutgoingLink {
    pub(super) fn new(
        context: Arc<MeshContext>,
        peer_index: usize,
        requests: mpsc::Receiver<PeerRequest>,
    ) -> Self {
        Self {
            backoff: ReconnectBackoff::default(),
            peer: context.settings.peers()[peer_index].clone(),
            context,
            peer_index,
            requests,
            sequence: 0,
            silent_resets: 0,
        }
    }

    /// Maintains a connection to the peer until the mesh stops.
    pub(super) async fn run(mut self) {
        while !self.context.stop.is_cancelled() {
            let opened = Instant::now();
            let result = self.connect_once().await;
            if opened.elapsed() >= STABLE_DURATION {
                self.backoff.reset();
            }
            if let Err(error) = result {
                self.log_failure(&error);
                self.wait_before_reconnect().await;
            }
        }
    }

    async fn connect_once(&mut self) -> Result<(), PeerError> {
        let dial = timeout(DIAL_TIMEOUT, self.context.dialer.dial(&self.peer));
        let stream = tokio::select! {
            () = self.context.stop.cancelled() => return Ok(()),
            stream = dial => stream.map_err(|_| PeerError::TimedOut("connecting"))??,
        };
        info!(self.context.logger, "peer: connected to {}", self.peer);
        self.serve(stream).await
    }

    async fn serve(&mut self, stream: impl PeerStream) -> Result<(), PeerError> {
        let mut frames = Framed::new(stream, frame_codec());
        let hello = Hello {
            first_sequence: self.sequence,
            from: self.context.settings.local.clone(),
            to: self.peer.name.clone(),
        };
        send(&mut frames, Frame::Hello(hello)).await?;
        let settings = &self.context.settings;
        let peers = settings.peers().len();
        let mut session = Session {
            encoder: DigestEncoder::default(),
            opened: Instant::now(),
            pacer: DigestPacer::new(self.context.now(), settings.node_budget_bytes, peers),
            pending: None,
        };
        let mut ticks = interval(Duration::from_millis(DIGEST_INTERVAL.0));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // Ticks are polled before frames, so that a long response does not delay digests.
            tokio::select! {
                biased;
                () = self.context.stop.cancelled() => {
                    let _ = timeout(SEND_TIMEOUT, SinkExt::<Bytes>::close(&mut frames)).await;
                    return Ok(());
                }
                _ = ticks.tick() => self.tick(&mut frames, &mut session).await?,
                Some(request) = self.requests.recv(), if session.pending.is_none() => {
                    send(&mut frames, request.frame()).await?;
                    session.pending = Some(PendingRequest::new(request));
                }
                frame = frames.next() => {
                    let bytes = frame.ok_or(PeerError::Closed)??;
                    handle_response(&mut session, Frame::decode(bytes)?)?;
                }
            }
        }
    }

    async fn tick(
        &mut self,
        frames: &mut FrameStream<impl PeerStream>,
        session: &mut Session,
    ) -> Result<(), PeerError> {
        self.check_silence(session.opened)?;
        if session
            .pending
            .as_ref()
            .is_some_and(PendingRequest::is_overdue)
        {
            return Err(PeerError::TimedOut("the response"));
        }
        let content = self.context.handler.digest(&self.peer.name);
        let now = self.context.now();
        let plan = session.pacer.plan(now, session.encoder.change(&content));
        if plan == DigestPlan::Skip {
            return Ok(());
        }
        let digest = session.encoder.encode(content, plan == DigestPlan::Full);
        self.sequence += 1;
        let sent = send(frames, Frame::Digest(digest)).await?;
        session.pacer.charge(now, sent);
        Ok(())
    }

    fn check_silence(&mut self, opened: Instant) -> Result<(), PeerError> {
        if self.context.last_contact(self.peer_index).elapsed() < SILENT_CONNECTION_TIMEOUT {
            self.silent_resets = 0;
            return Ok(());
        }
        let doubled = SILENT_CONNECTION_TIMEOUT.saturating_mul(1 << self.silent_resets.min(8));
        if opened.elapsed() < doubled.min(MAX_SILENT_CONNECTION_TIMEOUT) {
            return Ok(());
        }
        self.silent_resets += 1;
        Err(PeerError::Silent)
    }

    /// Waits before the next attempt. Requests that arrive in the meantime fail at once.
    async fn wait_before_reconnect(&mut self) {
        let random = (self.context.random)();
        let delay = self.backoff.record_failure(random);
        let timer = sleep(Duration::from_millis(delay.0));
        tokio::pin!(timer);
        loop {
            tokio::select! {
                () = self.context.stop.cancelled() => return,
                () = &mut timer => return,
                // Dropping the request returns an error to its caller.
                Some(request) = self.requests.recv() => drop(request),
            }
        }
    }

    /// Logs the first of several consecutive failures as a warning and the others as debug messages.
    fn log_failure(&self, error: &PeerError) {
        let logger = &self.context.logger;
        let peer = &self.peer;
        if self.backoff.failures() == 0 {
            warn!(logger, "peer: lost connection to {peer}: {error}");
        } else {
            debug!(logger, "peer: no connection to {peer}: {error}");
        }
    }
}

fn handle_response(session: &mut Session, frame: Frame) -> Result<(), PeerError> {
    let name = frame.name();
    let pending = session.pending.take();
    let pending = pending.ok_or(WireError::Unexpected(name))?;
    session.pending = pending.handle_frame(frame)?;
    Ok(())
}

/// Sends a frame and returns its size on the wire in bytes.
async fn send(frames: &mut FrameStream<impl PeerStream>, frame: Frame) -> Result<usize, PeerError> {
    let bytes = frame.encode();
    let size = bytes.len() + LENGTH_PREFIX_BYTES;
    let sent = timeout(SEND_TIMEOUT, frames.send(bytes)).await;
    sent.map_err(|_| PeerError::TimedOut("writing a frame"))??;
    Ok(size)
}
