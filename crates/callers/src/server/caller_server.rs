use {
    super::{CallerHandler, CallerResponse, JobRequest, ResponseBody, response_body::full_body},
    crate::request::{CallerRequest, OUTCOME, REASON, RequestError},
    goldcreststall_core::{error::ErrorKind, ids::Millis},
    http::{HeaderValue, Method, Request, Response, StatusCode, header},
    http_body_util::{BodyExt, Limited},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    slog::{Logger, info, warn},
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::net::{TcpListener, TcpStream},
    tokio_util::sync::CancellationToken,
};

/// Largest body of a request to the job interface, in bytes.
const MAX_JOB_BYTES: usize = 64 * 1024;
/// Delay after a failed accept, so that a lack of file descriptors does not make the accept loop spin.
const ACCEPT_RETRY_DELAY: Millis = Millis(10);

/// Timeouts of the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimits {
    /// Longest wait for exchanges in progress at shutdown.
    pub drain_timeout: Millis,
    /// Longest wait for the headers of a request on an open connection.
    pub header_timeout: Millis,
}

/// Accepts connections of callers and responds to their requests.
pub struct CallerServer {
    handler: Arc<dyn CallerHandler>,
    limits: ServerLimits,
    logger: Logger,
}

impl CallerServer {
    /// Creates a server that hands requests to `handler`.
    pub fn new(handler: Arc<dyn CallerHandler>, limits: ServerLimits, logger: Logger) -> Self {
        Self {
            handler,
            limits,
            logger,
        }
    }

    /// Serves until `stop` is cancelled; then finishes the exchanges in progress.
    ///
    /// Returns false when exchanges were still in progress after the drain timeout.
    pub async fn serve(self, listener: TcpListener, stop: CancellationToken) -> bool {
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop.cancelled() => break,
            };
            match accepted {
                Ok((stream, _)) => self.spawn(stream, &graceful),
                Err(error) => {
                    warn!(self.logger, "admit: a connection was not accepted"; "error" => %error);
                    tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY.0)).await;
                }
            }
        }
        drop(listener);
        self.drain(graceful).await
    }

    async fn drain(&self, graceful: GracefulShutdown) -> bool {
        let timeout = Duration::from_millis(self.limits.drain_timeout.0);
        let complete = tokio::time::timeout(timeout, graceful.shutdown())
            .await
            .is_ok();
        info!(self.logger, "drain: connections of callers are closed"; "complete" => complete);
        complete
    }

    fn spawn(&self, stream: TcpStream, graceful: &GracefulShutdown) {
        // Small responses must not wait for the acknowledgement of earlier ones.
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&self.handler);
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, Infallible>(respond(&*handler, request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(self.limits.header_timeout.0))
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A connection that the caller closes is not an error of this server, and it is already logged.
            let _ = connection.await;
        });
    }
}

async fn respond(
    handler: &dyn CallerHandler,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    match (request.method(), path) {
        (&Method::GET, "/health") => health(handler),
        (&Method::GET, "/metrics") => text_response(StatusCode::OK, handler.metrics()),
        (&Method::POST, "/v1/keys") => issue_key(handler).await,
        _ if path == "/v1/jobs" || path.starts_with("/v1/jobs/") => job(handler, request).await,
        _ => forward(handler, request).await,
    }
}

fn health(handler: &dyn CallerHandler) -> Response<ResponseBody> {
    if handler.healthy() {
        return text_response(StatusCode::OK, "ok\n");
    }
    text_response(StatusCode::SERVICE_UNAVAILABLE, "not serving\n")
}

async fn issue_key(handler: &dyn CallerHandler) -> Response<ResponseBody> {
    match handler.issue_key().await {
        Ok(key) => text_response(StatusCode::OK, format!("{key}\n")),
        Err(error) => error_response(&error),
    }
}

async fn forward(
    handler: &dyn CallerHandler,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let result = match CallerRequest::try_from(request) {
        Ok(request) => handler.forward(request).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(received) => forward_response(received),
        Err(error) => error_response(&error),
    }
}

async fn job(handler: &dyn CallerHandler, request: Request<Incoming>) -> Response<ResponseBody> {
    let (head, body) = request.into_parts();
    let body = match Limited::new(body, MAX_JOB_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return error_response(&RequestError::new(ErrorKind::InvalidRequest, error)),
    };
    let job = head.uri.path().strip_prefix("/v1/jobs/");
    let request = JobRequest {
        body,
        job: job.filter(|job| !job.is_empty()).map(ToOwned::to_owned),
        method: head.method,
    };
    match handler.job(request).await {
        Ok(body) => {
            let mut response = text_response(StatusCode::OK, body);
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            let done = HeaderValue::from_static("done");
            response.headers_mut().insert(OUTCOME, done);
            response
        }
        Err(error) => error_response(&error),
    }
}

fn forward_response(received: CallerResponse) -> Response<ResponseBody> {
    let mut response = Response::new(received.body);
    *response.status_mut() = received.status;
    *response.headers_mut() = received.headers;
    let done = HeaderValue::from_static("done");
    response.headers_mut().insert(OUTCOME, done);
    response
}

/// Builds the response to an error; the table of error kinds gives its status, outcome and reason.
fn error_response(error: &RequestError) -> Response<ResponseBody> {
    let row = error.kind.response();
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = text_response(status, format!("{}\n", error.detail));
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(row.class.as_str()));
    headers.insert(REASON, HeaderValue::from_static(row.reason));
    response
}

fn text_response(status: StatusCode, body: impl Into<bytes::Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}
