use {
    bytes::Bytes,
    http::{HeaderMap, Method},
    http_body::{Body, Frame, SizeHint},
    std::{
        convert::Infallible,
        error::Error,
        pin::Pin,
        task::{Context, Poll},
    },
};

type BoxError = Box<dyn Error + Send + Sync>;

/// Body of a request to a target.
pub enum RequestBody {
    /// The complete body, which can be sent again.
    Buffered(Bytes),
    /// A body that is still arriving, which can be sent once.
    Streaming(Pin<Box<dyn Body<Data = Bytes, Error = BoxError> + Send>>),
}

impl RequestBody {
    /// Returns a copy when the body can be sent again.
    pub fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Buffered(bytes) => Some(Self::Buffered(bytes.clone())),
            Self::Streaming(_) => None,
        }
    }
}

impl Default for RequestBody {
    fn default() -> Self {
        Self::Buffered(Bytes::new())
    }
}

impl From<Infallible> for RequestBody {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => {
                let bytes = std::mem::take(bytes);
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Self::Streaming(body) => body.as_mut().poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Streaming(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streaming(body) => body.size_hint(),
        }
    }
}

/// A request to a target.
pub struct TargetRequest {
    /// Body to send; see [`RequestBody`] for whether it can be sent again.
    pub body: RequestBody,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
}
