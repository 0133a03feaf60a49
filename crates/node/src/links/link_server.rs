use {
    super::{
        FrameSink, FrameStream, PeerDirectory, RawCall, link_messages::RawResponse, split_frames,
    },
    crate::{
        control::{ControlEvent, OwnerActor},
        delegates::{DelegateProfile, DelegateRegistry},
    },
    bytes::Bytes,
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
};

/// Delay after a failed accept, so that a lack of file descriptors does not make the thread spin.
const ACCEPT_RETRY_DELAY: Millis = Millis(10);
/// Most responses that wait to be written to one connection.
const RESPONSE_QUEUE_LENGTH: usize = 1_024;

/// Serves the connections of other entry hosts: their calls to the owner, and their offers to be its delegates.
#[derive(Clone)]
pub struct LinkServer {
    /// Handles the calls.
    pub actor: ActorRef<OwnerActor>,
    /// Receives the connections of delegates.
    pub delegates: DelegateRegistry,
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
                    tokio::spawn(self.clone().serve_connection(stream));
                }
                Err(error) => {
                    warn!(self.logger, "link: a connection was not accepted"; "error" => %error);
                    tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY.0)).await;
                }
            }
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        let (mut frames, sink) = split_frames(stream);
        let Some(first) = self.next_call(&mut frames).await else {
            return;
        };
        match first.registration {
            Some(raw) => {
                let profile = DelegateProfile::from(raw);
                self.delegates.serve(profile, frames, sink).await;
            }
            None => self.serve_calls(first, frames, sink).await,
        }
    }

    async fn serve_calls(self, first: RawCall, mut frames: FrameStream, mut sink: FrameSink) {
        let (responses, mut queue) = mpsc::channel::<Bytes>(RESPONSE_QUEUE_LENGTH);
        tokio::spawn(async move {
            while let Some(frame) = queue.recv().await {
                if sink.send(frame).await.is_err() {
                    return;
                }
            }
        });
        let mut next = Some(first);
        while let Some(call) = next {
            tokio::spawn(self.clone().respond(call, responses.clone()));
            next = self.next_call(&mut frames).await;
        }
    }

    /// Returns the next call; `None` when the connection has ended or its frames cannot be decoded.
    async fn next_call(&self, frames: &mut FrameStream) -> Option<RawCall> {
        let frame = frames.next().await?.ok()?;
        RawCall::decode(frame)
            .inspect_err(|error| {
                warn!(self.logger, "link: a frame cannot be decoded"; "error" => %error);
            })
            .ok()
    }

    async fn respond(self, raw: RawCall, responses: mpsc::Sender<Bytes>) {
        let response = if raw.call.is_empty() {
            Vec::new()
        } else {
            let response = self.answer(&raw.call).await;
            // Responses hold only plain fields, so serialization cannot fail.
            postcard::to_stdvec(&response).expect("a response is serializable")
        };
        let owner = self.peers.owner();
        let raw = RawResponse {
            number: raw.number,
            response,
            owner_token: owner.as_ref().map_or(0, |owner| owner.token),
            owner_address: owner.map_or_else(String::new, |owner| owner.address.to_string()),
        };
        // Fails only when the connection has ended, which the calling entry host detects itself.
        let _ = responses.send(Bytes::from(raw.encode_to_vec())).await;
    }

    async fn answer(&self, call: &[u8]) -> CallResponse {
        match postcard::from_bytes::<JobCall>(call) {
            Ok(call) => call_actor(&self.actor, call).await,
            Err(error) => {
                warn!(self.logger, "link: a call cannot be decoded"; "error" => %error);
                // Nothing was done, so the caller may retry.
                CallResponse::Unavailable
            }
        }
    }
}

async fn call_actor(actor: &ActorRef<OwnerActor>, call: JobCall) -> CallResponse {
    let (reply, response) = oneshot::channel();
    if actor
        .tell(ControlEvent::Call { call, reply })
        .await
        .is_err()
    {
        return CallResponse::Unavailable;
    }
    // A term that ends drops its calls. The calling entry host then calls the next owner as soon as it knows it.
    response.await.unwrap_or(CallResponse::Unknown)
}
