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

/// Bodies up to this size are held, so that an idempotent request can be sent again. It bounds the
/// memory of a queued request.
const BUFFER_BYTES: usize = 64 * 1024;

/// Reads a body, or its start when it is larger than the buffer.
///
/// # Errors
/// `InvalidRequest` when the caller does not send the whole body.
pub(super) async fn read_body(mut body: Incoming) -> Result<RequestBody, RequestError> {
    let mut held = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| RequestError::new(ErrorKind::InvalidRequest, error))?;
        if let Some(data) = frame.data_ref() {
            held.extend_from_slice(data);
        }
        if held.len() > BUFFER_BYTES {
            let stream = PrefixedBody {
                held: held.freeze(),
                rest: body,
            };
            return Ok(RequestBody::Streaming(Box::pin(stream)));
        }
    }
    Ok(RequestBody::Buffered(held.freeze()))
}

/// A body whose start was read already.
struct PrefixedBody {
    held: Bytes,
    rest: Incoming,
}

impl Body for PrefixedBody {
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if !self.held.is_empty() {
            let held = std::mem::take(&mut self.held);
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        let frame = Pin::new(&mut self.rest).poll_frame(context);
        frame.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.held.len() as u64;
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + held);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + held);
        }
        hint
    }
}
