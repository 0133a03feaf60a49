use {
    super::{PeerError, PeerStream, mesh_context::MeshContext},
    crate::wire::{DigestDecoder, FetchEntries, Frame, Hello, StateChunks, WireError, frame_codec},
    futures_util::{
        SinkExt, StreamExt,
        stream::{SplitSink, SplitStream},
    },
    slog::{info, warn},
    std::sync::Arc,
    tokio::{
        sync::mpsc,
        time::{Duration, timeout},
    },
    tokio_util::codec::{Framed, LengthDelimitedCodec},
};

/// Maximum time until the first message of a connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// After this long without a message, a connection is dead or its peer is unresponsive.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time to write one frame to the connection.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of queued requests per connection. A peer sends one at a time.
const MAX_QUEUED_REQUESTS: usize = 2;

type FrameStream<S> = Framed<S, LengthDelimitedCodec>;

enum ServedRequest {
    Entries(FetchEntries),
    State,
}

/// Serves a connection that a peer opened, until it ends or the mesh stops.
pub(super) async fn serve_incoming(context: Arc<MeshContext>, stream: impl PeerStream) {
    let logger = context.logger.clone();
    let connection = serve_connection(&context, stream);
    let result = tokio::select! {
        () = context.stop.cancelled() => return,
        result = connection => result,
    };
    match result {
        Ok(()) | Err(PeerError::Closed) => info!(logger, "peer: a peer closed its connection"),
        Err(error) => warn!(logger, "peer: dropped an incoming connection: {error}"),
    }
}

async fn serve_connection(context: &MeshContext, stream: impl PeerStream) -> Result<(), PeerError> {
    let (mut sink, mut source) = Framed::new(stream, frame_codec()).split();
    let hello = read_hello(&mut source).await?;
    let peer = context.identify(&hello)?;
    info!(
        context.logger,
        "peer: accepted a connection from {}", hello.from
    );
    let decoder = DigestDecoder::new(&hello);
    let (requests, queue) = mpsc::channel(MAX_QUEUED_REQUESTS);
    // Frames are read while responses are sent, so that a long response does not delay digests.
    tokio::select! {
        result = read_frames(context, peer, decoder, &mut source, requests) => result,
        result = serve_requests(context, queue, &mut sink) => result,
    }
}

async fn read_hello<S: PeerStream>(
    source: &mut SplitStream<FrameStream<S>>,
) -> Result<Hello, PeerError> {
    let frame = timeout(HELLO_TIMEOUT, read_frame(source)).await;
    match frame.map_err(|_| PeerError::TimedOut("the first message"))?? {
        Frame::Hello(hello) => Ok(hello),
        frame => Err(WireError::Unexpected(frame.name()).into()),
    }
}

async fn read_frame<S: PeerStream>(
    source: &mut SplitStream<FrameStream<S>>,
) -> Result<Frame, PeerError> {
    let bytes = source.next().await.ok_or(PeerError::Closed)??;
    Ok(Frame::decode(bytes)?)
}

async fn read_frames<S: PeerStream>(
    context: &MeshContext,
    peer: usize,
    mut decoder: DigestDecoder,
    source: &mut SplitStream<FrameStream<S>>,
    requests: mpsc::Sender<ServedRequest>,
) -> Result<(), PeerError> {
    loop {
        let frame = timeout(IDLE_TIMEOUT, read_frame(source)).await;
        let request = match frame.map_err(|_| PeerError::TimedOut("the next message"))?? {
            Frame::Digest(raw) => {
                let digest = decoder.decode(raw)?;
                context.record_contact(peer);
                context.handler.receive(digest);
                continue;
            }
            Frame::FetchEntries(fetch) => ServedRequest::Entries(fetch),
            Frame::FetchState => ServedRequest::State,
            frame => return Err(WireError::Unexpected(frame.name()).into()),
        };
        let queued = requests.try_send(request);
        queued.map_err(|_| PeerError::TooManyRequests)?;
    }
}

async fn serve_requests<S: PeerStream>(
    context: &MeshContext,
    mut queue: mpsc::Receiver<ServedRequest>,
    sink: &mut SplitSink<FrameStream<S>, bytes::Bytes>,
) -> Result<(), PeerError> {
    while let Some(request) = queue.recv().await {
        match request {
            ServedRequest::Entries(fetch) => {
                let response = context.handler.serve_entries(fetch).await;
                send(sink, Frame::Entries(response)).await?;
            }
            ServedRequest::State => send_state(context, sink).await?,
        }
    }
    Ok(())
}

async fn send_state<S: PeerStream>(
    context: &MeshContext,
    sink: &mut SplitSink<FrameStream<S>, bytes::Bytes>,
) -> Result<(), PeerError> {
    let encoded = context.handler.serve_state().await;
    let Some(encoded) = encoded.filter(|encoded| !encoded.bytes.is_empty()) else {
        return send(sink, Frame::State(None)).await;
    };
    for chunk in StateChunks::new(encoded) {
        send(sink, Frame::State(Some(chunk))).await?;
    }
    Ok(())
}

async fn send<S: PeerStream>(
    sink: &mut SplitSink<FrameStream<S>, bytes::Bytes>,
    frame: Frame,
) -> Result<(), PeerError> {
    let sent = timeout(SEND_TIMEOUT, sink.send(frame.encode())).await;
    sent.map_err(|_| PeerError::TimedOut("writing a frame"))??;
    Ok(())
}
