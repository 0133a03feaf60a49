use {
    super::{
        PeerDirectory,
        link_messages::{RawCall, RawResponse, frame_codec},
    },
    crate::control::{ControlEvent, OwnerActor},
    bytes::{Bytes, BytesMut},
    futures_util::{SinkExt, StreamExt},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::owner::{CallResponse, JobCall},
    kameo::actor::ActorRef,
    prost::Message,
    slog::{Logger, warn},
    std::time::Duration,
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{mpsc, oneshot},
    },
    tokio_util::codec::{FramedRead, FramedWrite},
};

/// Pause after a failed accept, so that a lack of file descriptors does not spin the thread.
const ACCEPT_PAUSE: Millis = Millis(10);
/// Answers that wait to be written on one connection.
const RESPONSE_QUEUE: usize = 1_024;

/// Answers the calls of other entry hosts.
pub struct LinkServer {
    /// The control actor.
    pub actor: ActorRef<OwnerActor>,
    /// Known entry hosts.
    pub peers: PeerDirectory,
    /// Log of failures.
    pub logger: Logger,
}

impl LinkServer {
    /// Serves until the process ends.
    pub async fn serve(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    self.peers.add_host(from.ip());
                    self.spawn(stream);
                }
                Err(error) => {
                    warn!(self.logger, "link: a connection was not accepted"; "error" => %error);
                    tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE.0)).await;
                }
            }
        }
    }

    fn spawn(&self, stream: TcpStream) {
        // Small answers must not wait for the acknowledgement of earlier ones.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let mut frames = FramedRead::new(read, frame_codec());
        let mut sink = FramedWrite::new(write, frame_codec());
        let (responses, mut queue) = mpsc::channel::<Bytes>(RESPONSE_QUEUE);
        tokio::spawn(async move {
            while let Some(frame) = queue.recv().await {
                if sink.send(frame).await.is_err() {
                    return;
                }
            }
        });
        let actor = self.actor.clone();
        let peers = self.peers.clone();
        let logger = self.logger.clone();
        tokio::spawn(async move {
            while let Some(Ok(frame)) = frames.next().await {
                match RawCall::decode(frame) {
                    Ok(call) => {
                        tokio::spawn(respond(
                            actor.clone(),
                            peers.clone(),
                            call,
                            responses.clone(),
                        ));
                    }
                    Err(error) => {
                        warn!(logger, "link: a frame cannot be read"; "error" => %error);
                        return;
                    }
                }
            }
        });
    }
}

async fn respond(
    actor: ActorRef<OwnerActor>,
    peers: PeerDirectory,
    raw: RawCall,
    responses: mpsc::Sender<Bytes>,
) {
    let response = match postcard::from_bytes::<JobCall>(&raw.call) {
        Ok(call) => ask(&actor, call).await,
        Err(_) => None,
    };
    let bytes = response.and_then(|response| postcard::to_stdvec(&response).ok());
    let Some(response) = bytes.or_else(|| raw.call.is_empty().then(Vec::new)) else {
        // The caller's side gives up at its own limit: the outcome is not known.
        return;
    };
    let owner = peers.owner();
    let raw = RawResponse {
        number: raw.number,
        response,
        owner_token: owner.as_ref().map_or(0, |owner| owner.token),
        owner_address: owner.map_or_else(String::new, |owner| owner.address.to_string()),
    };
    let frame = BytesMut::from(raw.encode_to_vec().as_slice()).freeze();
    // The connection is gone; the caller finds out by itself.
    let _ = responses.send(frame).await;
}

async fn ask(actor: &ActorRef<OwnerActor>, call: JobCall) -> Option<CallResponse> {
    let (reply, response) = oneshot::channel();
    actor.tell(ControlEvent::Call { call, reply }).await.ok()?;
    // A term that ends drops its calls. The next owner is asked at once when the other side hears of it.
    Some(response.await.unwrap_or(CallResponse::Unknown))
}
