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
/// Time after a failed connection in which no other one is tried to the same address: the calls that waited for it would
/// each try in turn, and keep those for the next owner waiting.
const RECONNECT_PAUSE: Millis = Millis(200);
/// Time between signs of life that are asked for while calls wait.
const PING_PERIOD: Millis = Millis(150);
/// Silence after which no further call is sent on a connection with waiting calls. One that was sent and got no response
/// may have been taken, and its caller cannot hand the job in again elsewhere.
const SUSPECT_LIMIT: Millis = Millis(400);
/// Silence after which a connection with waiting calls is given up.
const SILENCE_TIMEOUT: Millis = Millis(1_000);
/// Longest wait for another entry host's word on who owns the fleet.
const DISCOVERY_TIMEOUT: Millis = Millis(300);
/// Least time between two rounds in which the others are asked who owns the fleet.
const DISCOVERY_INTERVAL: Millis = Millis(300);
/// Entry hosts that are asked in one round.
const DISCOVERY_CONCURRENCY: usize = 4;
/// Calls that wait to be written.
const CALL_QUEUE: usize = 1_024;

/// Why a call got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum LinkError {
    /// The owner may have taken it.
    #[error("the connection to the owner was lost")]
    Lost,
    /// It did not reach the owner.
    #[error("no connection to the owner")]
    NotSent,
}

type Waiting = Arc<Mutex<WaitingCalls>>;

#[derive(Default)]
struct WaitingCalls {
    calls: Vec<(u64, oneshot::Sender<CallResponse>)>,
    last: u64,
    closed: bool,
    /// When the other side was last heard, or the first of the waiting calls was sent.
    last_contact: Option<Instant>,
}

impl WaitingCalls {
    fn record_contact(&mut self) {
        self.last_contact = Some(Instant::now());
    }

    /// Returns whether calls wait although the other side should have been heard.
    fn is_suspect(&self) -> bool {
        let silent = |at: Instant| at.elapsed() > Duration::from_millis(SUSPECT_LIMIT.0);
        !self.calls.is_empty() && self.last_contact.is_some_and(silent)
    }
}

#[derive(Clone)]
struct OpenLink {
    address: SocketAddr,
    frames: mpsc::Sender<Bytes>,
    waiting: Waiting,
}

/// The connection in use, and the last one that could not be opened.
#[derive(Default)]
struct CurrentLink {
    live: Option<OpenLink>,
    failed: Option<(SocketAddr, Instant)>,
}

impl CurrentLink {
    /// Returns whether a connection to the address has failed a moment ago.
    fn has_failed(&self, address: SocketAddr) -> bool {
        let pause = Duration::from_millis(RECONNECT_PAUSE.0);
        self.failed
            .is_some_and(|(failed, at)| failed == address && at.elapsed() < pause)
    }
}

/// The connection to the owner's entry host.
pub struct OwnerLink {
    slot: tokio::sync::Mutex<CurrentLink>,
    logger: Logger,
    peers: PeerDirectory,
    last_discovery: tokio::sync::Mutex<DiscoveryRound>,
}

/// When the other entry hosts were last asked, and with which of them the next round begins.
#[derive(Default)]
struct DiscoveryRound {
    at: Option<Instant>,
    next: usize,
}

impl OwnerLink {
    /// Creates a link that connects at the first call.
    pub fn new(peers: PeerDirectory, logger: Logger) -> Self {
        Self {
            slot: tokio::sync::Mutex::default(),
            logger,
            peers,
            last_discovery: tokio::sync::Mutex::default(),
        }
    }

    /// Asks some of the other entry hosts who owns the fleet, unless that was done a moment ago. The response
    /// reaches the book of peers.
    pub async fn discover_owner(&self) {
        let mut round = self.last_discovery.lock().await;
        let recent = |at: Instant| at.elapsed() < Duration::from_millis(DISCOVERY_INTERVAL.0);
        if round.at.is_some_and(recent) {
            return;
        }
        let addresses = self.peers.addresses();
        let width = addresses.len().min(DISCOVERY_CONCURRENCY);
        let asked = (0..width).map(|offset| addresses[(round.next + offset) % addresses.len()]);
        let words = asked.map(|address| ask_for_owner(address, self.peers.clone()));
        futures_util::future::join_all(words).await;
        round.next = round.next.wrapping_add(width);
        round.at = Some(Instant::now());
        info!(self.logger, "link: asked who owns the fleet"; "asked" => width,
            "owner" => ?self.peers.owner());
    }

    /// Asks the owner at `address`.
    ///
    /// # Errors
    /// When no connection could be opened, or the connection was lost before the response.
    pub async fn ask(&self, address: SocketAddr, call: JobCall) -> Result<CallResponse, LinkError> {
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
            waiting.last += 1;
            let number = waiting.last;
            waiting.calls.push((number, reply));
            number
        };
        let frame = Bytes::from(RawCall { number, call }.encode_to_vec());
        link.frames
            .send(frame)
            .await
            .map_err(|_| LinkError::NotSent)?;
        response.await.map_err(|_| LinkError::Lost)
    }

    async fn connect(&self, address: SocketAddr) -> Result<OpenLink, LinkError> {
        let mut slot = self.slot.lock().await;
        if let Some(link) = &slot.live
            && link.address == address
            && !link.waiting.lock().closed
        {
            return Ok(link.clone());
        }
        if slot.has_failed(address) {
            return Err(LinkError::NotSent);
        }
        let limit = Duration::from_millis(CONNECT_TIMEOUT.0);
        let connected = tokio::time::timeout(limit, TcpStream::connect(address)).await;
        let why = match connected {
            Ok(Ok(stream)) => {
                info!(self.logger, "link: connected to the owner"; "address" => %address);
                let link = self.open(address, stream);
                slot.live = Some(link.clone());
                return Ok(link);
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        info!(self.logger, "link: no connection to the owner"; "address" => %address, "why" => why);
        slot.failed = Some((address, Instant::now()));
        Err(LinkError::NotSent)
    }

    fn open(&self, address: SocketAddr, stream: TcpStream) -> OpenLink {
        // Small calls must not wait for the acknowledgement of earlier ones.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let (frames, mut queue) = mpsc::channel::<Bytes>(CALL_QUEUE);
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
            waiting: Waiting::default(),
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
    let why = loop {
        let ping = Duration::from_millis(PING_PERIOD.0);
        match tokio::time::timeout(ping, frames.next()).await {
            Ok(Some(Ok(frame))) => {
                last_contact = Instant::now();
                link.waiting.lock().record_contact();
                let Ok(raw) = RawResponse::decode(frame) else {
                    break "a frame cannot be read";
                };
                take_owner(&peers, &raw);
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
                // A full queue of frames means that the connection does not move; silence ends it.
                let _ = link.frames.try_send(ping);
            }
        }
    };
    let mut waiting = link.waiting.lock();
    waiting.closed = true;
    let lost = waiting.calls.len();
    waiting.calls.clear();
    info!(logger, "link: the connection to the owner has ended"; "address" => %link.address,
        "why" => why, "lost_calls" => lost);
}

/// Asks one entry host who owns the fleet; a host that does not answer in time adds nothing.
async fn ask_for_owner(address: SocketAddr, peers: PeerDirectory) {
    let asked = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (read, write) = stream.into_split();
        let call = Bytes::from(RawCall::default().encode_to_vec());
        let mut sink = FramedWrite::new(write, frame_codec());
        sink.send(call).await.ok()?;
        let frame = FramedRead::new(read, frame_codec()).next().await?.ok()?;
        RawResponse::decode(frame).ok()
    };
    let limit = Duration::from_millis(DISCOVERY_TIMEOUT.0);
    if let Ok(Some(raw)) = tokio::time::timeout(limit, asked).await {
        take_owner(&peers, &raw);
    }
}

fn take_owner(peers: &PeerDirectory, raw: &RawResponse) {
    if raw.owner_token > 0
        && let Ok(address) = raw.owner_address.parse()
    {
        peers.record_owner(raw.owner_token, address);
    }
}

fn handle_response(waiting: &Waiting, raw: &RawResponse) {
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
        // The caller may have left.
        let _ = reply.send(response);
    }
}
