use {
    bytes::Bytes,
    goldcreststall_callers::{
        intake::{BodyStart, ConnectionIntake, read_start},
        request::RequestError,
    },
    goldcreststall_targets::transport::RequestBody,
    http_body::{Body, Frame, SizeHint},
    hyper::body::Incoming,
    std::{
        error::Error,
        future::Future,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::Sleep,
};

/// Bodies up to this size are buffered, so that an idempotent request can be retried. The limit bounds the memory of a
/// queued request.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Longest time without a byte of a body that is streamed to a target.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads a whole body, or only its start if it is too large to buffer.
///
/// # Errors
/// `InvalidRequest` if reading fails before the end of the body, `QueueFull` if the body is too slow or callers hold too
/// many bodies.
pub(super) async fn read_body(
    body: Incoming,
    connection: &ConnectionIntake,
) -> Result<RequestBody, RequestError> {
    let start = read_start(body, MAX_BUFFERED_BYTES, connection).await;
    let start = start.map_err(RequestError::from_refusal)?;
    connection.begin_handling();
    Ok(match start {
        BodyStart::Complete(buffered) => RequestBody::Buffered(buffered.into()),
        BodyStart::Partial(buffered, remaining) => RequestBody::Streaming(Box::pin(PrefixedBody {
            buffered: buffered.into(),
            remaining,
            stall_timer: None,
        })),
    })
}

/// A body whose start has already been read.
struct PrefixedBody {
    buffered: Bytes,
    remaining: Incoming,
    /// Runs while the caller sends nothing.
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl Body for PrefixedBody {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if !self.buffered.is_empty() {
            let buffered = std::mem::take(&mut self.buffered);
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        if let Poll::Ready(frame) = Pin::new(&mut self.remaining).poll_frame(context) {
            self.stall_timer = None;
            return Poll::Ready(frame.map(|frame| frame.map_err(Into::into)));
        }
        let new_timer = || Box::pin(tokio::time::sleep(STALL_TIMEOUT));
        let timer = self.stall_timer.get_or_insert_with(new_timer);
        let stalled = timer.as_mut().poll(context);
        stalled.map(|()| {
            Some(Err(
                "the caller sent no byte of the body for too long".into()
            ))
        })
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.remaining.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.len() as u64;
        let remaining = self.remaining.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(remaining.lower() + buffered);
        if let Some(upper) = remaining.upper() {
            hint.set_upper(upper + buffered);
        }
        hint
    }
}
