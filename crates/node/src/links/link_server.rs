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

/// Delay after a failed accept, so that a lack of file descriptors does not make the thread spin.
const ACCEPT_RETRY_DELAY: Millis = Millis(10);
/// Most responses that wait to be written to one connection.
const RESPONSE_QUEUE_LENGTH: usize = 1_024;

/// Serves the calls of other entry hosts.
pub struct LinkServer {
    /// Handles the calls.
    pub actor: ActorRef<OwnerActor>,
    /// Receives the addresses of connecting entry hosts; responses name the owner that it knows.
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
                    self.spawn_connection(stream);
                }
                Err(error) => {
                    warn!(self.logger, "link: a connection was not accepted"; "error" => %error);
                    tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY.0)).await;
                }
            }
        }
    }

    fn spawn_connection(&self, stream: TcpStream) {
        // Small responses must not wait for the acknowledgement of earlier ones.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let mut frames = FramedRead::new(read, frame_codec());
        let mut sink = FramedWrite::new(write, frame_codec());
        let (responses, mut queue) = mpsc::channel::<Bytes>(RESPONSE_QUEUE_LENGTH);
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
                        warn!(logger, "link: a frame cannot be decoded"; "error" => %error);
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
        Ok(call) => call_actor(&actor, call).await,
        Err(_) => None,
    };
    let bytes = response.and_then(|response| postcard::to_stdvec(&response).ok());
    let Some(response) = bytes.or_else(|| raw.call.is_empty().then(Vec::new)) else {
        // Without a response the calling entry host times out, and treats the outcome as unknown.
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
    // Fails only when the connection has ended, which the calling entry host detects itself.
    let _ = responses.send(frame).await;
}

async fn call_actor(actor: &ActorRef<OwnerActor>, call: JobCall) -> Option<CallResponse> {
    let (reply, response) = oneshot::channel();
    actor.tell(ControlEvent::Call { call, reply }).await.ok()?;
    // A term that ends drops its calls. The calling entry host then calls the next owner as soon as it knows it.
    Some(response.await.unwrap_or(CallResponse::Unknown))
}
