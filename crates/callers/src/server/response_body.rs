use {
    crate::intake::ConnectionIntake,
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    http_body_util::{BodyExt, Full},
    std::{
        convert::Infallible,
        error::Error,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// Error that ends a body early. The caller sees an aborted connection, never a complete response.
pub type BodyError = Box<dyn Error + Send + Sync>;

/// Body of a response, whether complete or still arriving.
pub type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyError> + Send>>;

/// Builds a body from bytes that are already complete.
pub(super) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    let body = Full::new(bytes.into()).map_err(|never: Infallible| match never {});
    Box::pin(body)
}

/// A body after whose end the connection counts as answering: it is not shed while the body arrives.
pub(super) struct AnsweredBody {
    body: ResponseBody,
    connection: Arc<ConnectionIntake>,
}

impl AnsweredBody {
    pub(super) fn new(body: ResponseBody, connection: Arc<ConnectionIntake>) -> Self {
        Self { body, connection }
    }
}

impl Body for AnsweredBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AnsweredBody {
    fn drop(&mut self) {
        self.connection.begin_answer();
    }
}
