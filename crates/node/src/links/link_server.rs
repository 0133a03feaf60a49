use {
    super::{
        FrameSink, FrameStream, PeerDirectory, RawCall, link_messages::RawResponse,
        peer_directory::MAX_PEERS, split_frames,
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
    std::{sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot},
    },
};

/// Delay after a failed accept, so that a lack of file descriptors does not make the thread spin.
const ACCEPT_RETRY_DELAY: Millis = Millis(10);
/// Most responses that wait to be written to one connection.
const RESPONSE_QUEUE_LENGTH: usize = 1_024;
/// Most open connections. An entry host opens one for calls, one as a delegate, and a short one to ask for the owner; after
/// a loss of power, those of its earlier process may still be open.
const MAX_CONNECTIONS: usize = 4 * MAX_PEERS;
/// Longest wait for the first frame of a connection; entry hosts send it at once.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// Most KiB of all calls that are handled at a time: 32 MiB, more than 100 of the largest jobs. Above it, the connections
/// are not read until calls have been answered.
const MAX_CALL_KIB: usize = 32 * 1024;
const BYTES_PER_KIB: usize = 1024;

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
        let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        let calls = Arc::new(Semaphore::new(MAX_CALL_KIB));
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    let Ok(connection) = Arc::clone(&connections).try_acquire_owned() else {
                        // Entry hosts connect again by themselves.
                        warn!(self.logger, "link: too many connections"; "from" => %from);
                        tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY.0)).await;
                        continue;
                    };
                    self.peers.add_host(from.ip());
                    let served = self.clone().serve_connection(stream, Arc::clone(&calls));
                    tokio::spawn(async move {
                        served.await;
                        drop(connection);
                    });
                }
                Err(error) => {
                    warn!(self.logger, "link: a connection was not accepted"; "error" => %error);
                    tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY.0)).await;
                }
            }
        }
    }

    async fn serve_connection(self, stream: TcpStream, calls: Arc<Semaphore>) {
        let (mut frames, sink) = split_frames(stream);
        let first = tokio::time::timeout(FIRST_FRAME_TIMEOUT, self.next_call(&mut frames));
        let Ok(Some(first)) = first.await else {
            return;
        };
        match first.registration {
            Some(raw) => {
                let profile = DelegateProfile::from(raw);
                self.delegates.serve(profile, frames, sink).await;
            }
            None => self.serve_calls(first, frames, sink, calls).await,
        }
    }

    async fn serve_calls(
        self,
        first: RawCall,
        mut frames: FrameStream,
        mut sink: FrameSink,
        calls: Arc<Semaphore>,
    ) {
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
            let kib = (call.call.len() / BYTES_PER_KIB + 1) as u32;
            // The semaphore is never closed.
            let Ok(permit) = Arc::clone(&calls).acquire_many_owned(kib).await else {
                return;
            };
            tokio::spawn(self.clone().respond(call, responses.clone(), permit));
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

    async fn respond(
        self,
        raw: RawCall,
        responses: mpsc::Sender<Bytes>,
        _permit: OwnedSemaphorePermit,
    ) {
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
