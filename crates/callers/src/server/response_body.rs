use {
    bytes::Bytes,
    http_body::Body,
    http_body_util::{BodyExt, Full},
    std::{convert::Infallible, error::Error, pin::Pin},
};

/// An error that ends a body early. The caller sees an aborted connection, never a complete answer.
pub type BodyError = Box<dyn Error + Send + Sync>;

/// The body of a response.
pub type ResponseBody = Pin<Box<dyn Body<Data = Bytes, Error = BodyError> + Send>>;

/// Builds a body from whole bytes.
pub(super) fn whole(bytes: impl Into<Bytes>) -> ResponseBody {
    let body = Full::new(bytes.into()).map_err(|never: Infallible| match never {});
    Box::pin(body)
}
