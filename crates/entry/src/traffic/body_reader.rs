use {
    bytes::{Bytes, BytesMut},
    goldcreststall_callers::request::RequestError,
    goldcreststall_core::error::ErrorKind,
    goldcreststall_targets::transport::RequestBody,
    http_body::{Body, Frame, SizeHint},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{
        error::Error,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Bodies up to this size are buffered, so that an idempotent request can be retried. The limit bounds the memory of a
/// queued request.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Reads a whole body, or only its start if it is too large to buffer.
///
/// # Errors
/// `InvalidRequest` if reading fails before the end of the body.
pub(super) async fn read_body(mut body: Incoming) -> Result<RequestBody, RequestError> {
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| RequestError::new(ErrorKind::InvalidRequest, error))?;
        if let Some(data) = frame.data_ref() {
            buffered.extend_from_slice(data);
        }
        if buffered.len() > MAX_BUFFERED_BYTES {
            let stream = PrefixedBody {
                buffered: buffered.freeze(),
                remaining: body,
            };
            return Ok(RequestBody::Streaming(Box::pin(stream)));
        }
    }
    Ok(RequestBody::Buffered(buffered.freeze()))
}

/// A body whose start has already been read.
struct PrefixedBody {
    buffered: Bytes,
    remaining: Incoming,
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
        let frame = Pin::new(&mut self.remaining).poll_frame(context);
        frame.map_err(Into::into)
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
