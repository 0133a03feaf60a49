use {
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Full, combinators::BoxBody},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    serde::Serialize,
    std::{convert::Infallible, io, sync::Arc},
    tokio::net::TcpListener,
};

/// The reply of a stand-in.
pub type Reply = Response<BoxBody<Bytes, io::Error>>;

/// Answers the requests of one stand-in.
#[async_trait::async_trait]
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers one request. `None` closes the connection without a response.
    async fn handle(&self, request: Request<Incoming>) -> Option<Reply>;
}

/// Serves connections until the task is dropped.
pub async fn serve(listener: TcpListener, handler: Arc<dyn HttpHandler>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let handler = Arc::clone(&handler);
                async move { handler.handle(request).await.ok_or(NoResponse) }
            });
            // A connection that the client closes is not an error of the stand-in.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Makes hyper close the connection.
#[derive(Debug, thiserror::Error)]
#[error("no answer")]
struct NoResponse;

/// Builds a reply with a whole body.
pub fn status(code: StatusCode, body: impl Into<Bytes>) -> Reply {
    let body = Full::new(body.into()).map_err(|never: Infallible| match never {});
    let mut reply = Response::new(body.boxed());
    *reply.status_mut() = code;
    reply
}

/// Builds a JSON reply.
pub fn json(value: &impl Serialize) -> Reply {
    match serde_json::to_vec(value) {
        Ok(body) => status(StatusCode::OK, body),
        Err(error) => status(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
