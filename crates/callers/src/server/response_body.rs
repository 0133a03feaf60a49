use {
    bytes::Bytes,
    http_body::Body,
    http_body_util::{BodyExt, Full},
    std::{convert::Infallible, error::Error, pin::Pin},
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
