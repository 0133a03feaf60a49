use {
    super::{
        PeerDirectory,
        link_messages::{RawCall, RawResponse, frame_codec},
    },
    bytes::Bytes,
    futures_util::{SinkExt, StreamExt},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::owner::{CallResponse, JobCall},
    parking_lot::Mutex,
    prost::Message,
    slog::{Logger, info},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpStream, tcp::OwnedReadHalf},
        sync::{mpsc, oneshot},
        time::Instant,
    },
    tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec},
};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// Time after a failed connection attempt in which no other one to the same address is made. Otherwise the calls that
/// waited for it would each try in turn, and delay the calls to the next owner.
const RECONNECT_COOLDOWN: Millis = Millis(200);
/// Time between pings while calls wait for responses.
const PING_INTERVAL: Millis = Millis(150);
/// Silence after which no further call is sent on a connection with waiting calls. A call that was sent and got no
/// response may have been accepted, so its caller cannot submit the job elsewhere.
const SUSPECT_TIMEOUT: Millis = Millis(400);
/// Silence after which a connection with waiting calls is closed.
const SILENCE_TIMEOUT: Millis = Millis(1_000);
/// Longest wait for another entry host to name the owner of the fleet.
const DISCOVERY_TIMEOUT: Millis = Millis(300);
/// Shortest time between two rounds in which other entry hosts are asked who owns the fleet.
const DISCOVERY_INTERVAL: Millis = Millis(300);
/// Most entry hosts that are asked in one round.
const DISCOVERY_CONCURRENCY: usize = 4;
/// Most calls that wait to be written to a connection.
const CALL_QUEUE_LENGTH: usize = 1_024;

/// Why a call got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum LinkError {
    /// The connection was lost; the owner may have accepted the call.
    #[error("the connection to the owner was lost")]
    Lost,
    /// The call did not reach the owner.
    #[error("no connection to the owner")]
    NotSent,
}

type SharedCalls = Arc<Mutex<WaitingCalls>>;

#[derive(Default)]
struct WaitingCalls {
    calls: Vec<(u64, oneshot::Sender<CallResponse>)>,
    last_number: u64,
    closed: bool,
    /// When the owner last sent a frame, or when a call was sent while none waited.
    last_contact: Option<Instant>,
}

impl WaitingCalls {
    fn record_contact(&mut self) {
        self.last_contact = Some(Instant::now());
    }

    /// Returns whether calls wait and the owner has been silent for too long.
    fn is_suspect(&self) -> bool {
        let silent = |at: Instant| at.elapsed() > Duration::from_millis(SUSPECT_TIMEOUT.0);
        !self.calls.is_empty() && self.last_contact.is_some_and(silent)
    }
}

#[derive(Clone)]
struct OpenLink {
    address: SocketAddr,
    frames: mpsc::Sender<Bytes>,
    waiting: SharedCalls,
}

/// The open connection, and the last failed connection attempt.
#[derive(Default)]
struct CurrentLink {
    open: Option<OpenLink>,
    failed: Option<(SocketAddr, Instant)>,
}

impl CurrentLink {
    /// Returns whether a connection attempt to the address failed within [`RECONNECT_COOLDOWN`].
    fn has_recently_failed(&self, address: SocketAddr) -> bool {
        let cooldown = Duration::from_millis(RECONNECT_COOLDOWN.0);
        self.failed
            .is_some_and(|(failed, at)| failed == address && at.elapsed() < cooldown)
    }
}

/// Calls the owner on another entry host over one connection.
pub struct OwnerLink {
    current: tokio::sync::Mutex<CurrentLink>,
    logger: Logger,
    peers: PeerDirectory,
    last_discovery: tokio::sync::Mutex<DiscoveryRound>,
}

/// When other entry hosts were last asked, and the index of the first one in the next round.
#[derive(Default)]
struct DiscoveryRound {
    at: Option<Instant>,
    next: usize,
}

impl OwnerLink {
    /// Creates a link that connects with the first call.
    pub fn new(peers: PeerDirectory, logger: Logger) -> Self {
        Self {
            current: tokio::sync::Mutex::default(),
            logger,
            peers,
            last_discovery: tokio::sync::Mutex::default(),
        }
    }

    /// Asks some of the other entry hosts who owns the fleet, unless the last round was within
    /// `DISCOVERY_INTERVAL`. The responses are recorded in the directory of peers.
    pub async fn discover_owner(&self) {
        let mut round = self.last_discovery.lock().await;
        let is_recent = |at: Instant| at.elapsed() < Duration::from_millis(DISCOVERY_INTERVAL.0);
        if round.at.is_some_and(is_recent) {
            return;
        }
        let addresses = self.peers.addresses();
        let count = addresses.len().min(DISCOVERY_CONCURRENCY);
        let queried = (0..count).map(|offset| addresses[(round.next + offset) % addresses.len()]);
        let queries = queried.map(|address| query_owner(address, self.peers.clone()));
        futures_util::future::join_all(queries).await;
        round.next = round.next.wrapping_add(count);
        round.at = Some(Instant::now());
        info!(self.logger, "link: asked who owns the fleet"; "asked" => count,
            "owner" => ?self.peers.owner());
    }

    /// Sends a call to the owner at `address` and returns its response.
    ///
    /// # Errors
    /// When no connection could be opened, the open one is silent, or it was lost before the response.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: JobCall,
    ) -> Result<CallResponse, LinkError> {
        let link = self.connect(address).await?;
        let call = postcard::to_stdvec(&call).map_err(|_| LinkError::NotSent)?;
        let (reply, response) = oneshot::channel();
        let number = {
            let mut waiting = link.waiting.lock();
            if waiting.closed || waiting.is_suspect() {
                return Err(LinkError::NotSent);
            }
            if waiting.calls.is_empty() {
                waiting.record_contact();
            }
            waiting.last_number += 1;
            let number = waiting.last_number;
            waiting.calls.push((number, reply));
            number
        };
        let raw = RawCall {
            number,
            call,
            ..RawCall::default()
        };
        let frame = Bytes::from(raw.encode_to_vec());
        link.frames
            .send(frame)
            .await
            .map_err(|_| LinkError::NotSent)?;
        response.await.map_err(|_| LinkError::Lost)
    }

    async fn connect(&self, address: SocketAddr) -> Result<OpenLink, LinkError> {
        let mut current = self.current.lock().await;
        if let Some(link) = &current.open
            && link.address == address
            && !link.waiting.lock().closed
        {
            return Ok(link.clone());
        }
        if current.has_recently_failed(address) {
            return Err(LinkError::NotSent);
        }
        let timeout = Duration::from_millis(CONNECT_TIMEOUT.0);
        let connected = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
        let reason = match connected {
            Ok(Ok(stream)) => {
                info!(self.logger, "link: connected to the owner"; "address" => %address);
                let link = self.open(address, stream);
                current.open = Some(link.clone());
                return Ok(link);
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "timed out".to_owned(),
        };
        info!(self.logger, "link: no connection to the owner"; "address" => %address,
            "why" => reason);
        current.failed = Some((address, Instant::now()));
        Err(LinkError::NotSent)
    }

    fn open(&self, address: SocketAddr, stream: TcpStream) -> OpenLink {
        // Small calls must not wait for the acknowledgement of earlier ones.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let (frames, mut queue) = mpsc::channel::<Bytes>(CALL_QUEUE_LENGTH);
        let mut sink = FramedWrite::new(write, frame_codec());
        tokio::spawn(async move {
            while let Some(frame) = queue.recv().await {
                if sink.send(frame).await.is_err() {
                    return;
                }
            }
        });
        let link = OpenLink {
            address,
            frames,
            waiting: SharedCalls::default(),
        };
        let frames = FramedRead::new(read, frame_codec());
        let peers = self.peers.clone();
        tokio::spawn(read_responses(
            link.clone(),
            frames,
            peers,
            self.logger.clone(),
        ));
        link
    }
}

async fn read_responses(
    link: OpenLink,
    mut frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    peers: PeerDirectory,
    logger: Logger,
) {
    let mut last_contact = Instant::now();
    let reason = loop {
        let ping_interval = Duration::from_millis(PING_INTERVAL.0);
        match tokio::time::timeout(ping_interval, frames.next()).await {
            Ok(Some(Ok(frame))) => {
                last_contact = Instant::now();
                link.waiting.lock().record_contact();
                let Ok(raw) = RawResponse::decode(frame) else {
                    break "a frame cannot be decoded";
                };
                handle_owner(&peers, &raw);
                handle_response(&link.waiting, &raw);
            }
            Ok(_) => break "closed",
            Err(_) => {
                if link.waiting.lock().calls.is_empty() {
                    last_contact = Instant::now();
                    continue;
                }
                if last_contact.elapsed() > Duration::from_millis(SILENCE_TIMEOUT.0) {
                    break "silent";
                }
                let ping = Bytes::from(RawCall::default().encode_to_vec());
                // A full queue means that the connection is stalled; it is closed when it stays silent.
                let _ = link.frames.try_send(ping);
            }
        }
    };
    let mut waiting = link.waiting.lock();
    waiting.closed = true;
    let lost_calls = waiting.calls.len();
    waiting.calls.clear();
    info!(logger, "link: the connection to the owner has ended"; "address" => %link.address,
        "why" => reason, "lost_calls" => lost_calls);
}

/// Asks one entry host who owns the fleet, and records its response. A host that does not respond in time is ignored.
async fn query_owner(address: SocketAddr, peers: PeerDirectory) {
    let query = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (read, write) = stream.into_split();
        let call = Bytes::from(RawCall::default().encode_to_vec());
        let mut sink = FramedWrite::new(write, frame_codec());
        sink.send(call).await.ok()?;
        let frame = FramedRead::new(read, frame_codec()).next().await?.ok()?;
        RawResponse::decode(frame).ok()
    };
    let timeout = Duration::from_millis(DISCOVERY_TIMEOUT.0);
    if let Ok(Some(raw)) = tokio::time::timeout(timeout, query).await {
        handle_owner(&peers, &raw);
    }
}

fn handle_owner(peers: &PeerDirectory, raw: &RawResponse) {
    if raw.owner_token > 0
        && let Ok(address) = raw.owner_address.parse()
    {
        peers.record_owner(raw.owner_token, address);
    }
}

fn handle_response(waiting: &SharedCalls, raw: &RawResponse) {
    if raw.response.is_empty() {
        return;
    }
    let mut waiting = waiting.lock();
    let index = waiting
        .calls
        .binary_search_by_key(&raw.number, |(number, _)| *number);
    let Ok(index) = index else {
        return;
    };
    let (_, reply) = waiting.calls.remove(index);
    if let Ok(response) = postcard::from_bytes(&raw.response) {
        // Fails only when the caller has left.
        let _ = reply.send(response);
    }
}
