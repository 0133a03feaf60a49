use {
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Full, combinators::BoxBody},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    serde::Serialize,
    std::{convert::Infallible, io, sync::Arc},
    tokio::net::{TcpListener, TcpStream},
};

/// Response of a stand-in; its body may fail while it is sent.
pub type HandlerResponse = Response<BoxBody<Bytes, io::Error>>;

/// Handles the HTTP requests of one stand-in.
#[async_trait::async_trait]
pub trait HttpHandler: Send + Sync + 'static {
    /// Handles one request. `None` closes the connection without a response.
    async fn handle(&self, request: Request<Incoming>) -> Option<HandlerResponse>;
}

/// Accepts connections until the future is dropped; open connections are served to their end.
pub async fn serve(listener: TcpListener, handler: Arc<dyn HttpHandler>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(serve_connection(stream, Arc::clone(&handler)));
    }
}

/// Serves one connection to its end; dropping the future closes the connection.
pub async fn serve_connection(stream: TcpStream, handler: Arc<dyn HttpHandler>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { handler.handle(request).await.ok_or(NoResponse) }
    });
    // The client may close the connection, and `NoResponse` is returned on purpose; neither is a fault here.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Error that makes hyper close the connection without a response.
#[derive(Debug, thiserror::Error)]
#[error("no response")]
struct NoResponse;

/// Builds a response with status `code` and a complete body.
pub fn status(code: StatusCode, body: impl Into<Bytes>) -> HandlerResponse {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {});
    let mut response = Response::new(body.boxed());
    *response.status_mut() = code;
    response
}

/// Builds a JSON response with status 200, or 500 when `value` cannot be encoded.
pub fn json(value: &impl Serialize) -> HandlerResponse {
    match serde_json::to_vec(value) {
        Ok(body) => status(StatusCode::OK, body),
        Err(error) => status(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
