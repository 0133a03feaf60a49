use {
    super::{
        CallerHandler, CallerResponse, JobRequest, ResponseBody,
        response_body::{AnsweredBody, full_body},
    },
    crate::{
        intake::{CallerIntake, ConnectionIntake, IntakeLimits, MeteredStream, read_body},
        request::{CallerRequest, OUTCOME, REASON, RequestError},
    },
    bytes::Bytes,
    goldcreststall_core::{error::ErrorKind, ids::Millis},
    http::{HeaderValue, Method, Request, Response, StatusCode, header},
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
/// Most bytes of the headers of a request.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Seconds after which a caller may retry a request that was refused because of what callers hold.
const RETRY_AFTER_SECONDS: u16 = 1;
/// Delay after a failed accept, so that a lack of file descriptors does not make the accept loop spin.
const ACCEPT_RETRY_DELAY: Millis = Millis(10);

/// Limits of the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimits {
    /// Longest wait for exchanges in progress at shutdown.
    pub drain_timeout: Millis,
    /// Limits on what callers can make the process hold.
    pub intake: IntakeLimits,
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
        let intake = CallerIntake::new(self.limits.intake);
        let sweep_handler = Arc::clone(&self.handler);
        let (sweep_intake, logger) = (intake.clone(), self.logger.clone());
        let sweep_task = tokio::spawn(async move {
            let report = |figures| sweep_handler.record_intake(figures);
            sweep_intake.sweep("admit", &logger, report).await;
        });
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stop.cancelled() => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    if let Some(connection) = intake.open() {
                        self.spawn(stream, connection, &graceful);
                    }
                }
                Err(error) => {
                    warn!(self.logger, "admit: a connection was not accepted"; "error" => %error);
                    tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY.0)).await;
                }
            }
        }
        drop(listener);
        let complete = self.drain(graceful).await;
        sweep_task.abort();
        complete
    }

    async fn drain(&self, graceful: GracefulShutdown) -> bool {
        let timeout = Duration::from_millis(self.limits.drain_timeout.0);
        let complete = tokio::time::timeout(timeout, graceful.shutdown())
            .await
            .is_ok();
        info!(self.logger, "drain: connections of callers are closed"; "complete" => complete);
        complete
    }

    fn spawn(&self, stream: TcpStream, connection: ConnectionIntake, graceful: &GracefulShutdown) {
        // Small responses must not wait for the acknowledgement of earlier ones.
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&self.handler);
        let connection = Arc::new(connection);
        let stream = MeteredStream::new(stream, Arc::clone(&connection));
        let service = service_fn({
            let connection = Arc::clone(&connection);
            move |request| {
                let (handler, connection) = (Arc::clone(&handler), Arc::clone(&connection));
                async move { Ok::<_, Infallible>(respond(&*handler, connection, request).await) }
            }
        });
        // The intake limits the time for headers: the limit of the library would also end idle connections.
        let exchanges = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(MAX_HEADER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let exchanges = graceful.watch(exchanges);
        tokio::spawn(async move {
            tokio::select! {
                // A connection that the caller closes is not an error of this server, and it is already logged.
                _ = exchanges => {}
                () = connection.closed() => {}
            }
        });
    }
}

async fn respond(
    handler: &dyn CallerHandler,
    connection: Arc<ConnectionIntake>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    connection.begin_handling();
    let path = request.uri().path();
    let mut response = match (request.method(), path) {
        (&Method::GET, "/health") => health(handler),
        (&Method::GET, "/metrics") => text_response(StatusCode::OK, handler.metrics()),
        (&Method::POST, "/v1/keys") => issue_key(handler).await,
        _ if path == "/v1/jobs" || path.starts_with("/v1/jobs/") => {
            job(handler, &connection, request).await
        }
        _ => forward(handler, Arc::clone(&connection), request).await,
    };
    connection.release();
    if connection.ends_answered() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response.map(|body| Box::pin(AnsweredBody::new(body, connection)) as ResponseBody)
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
    connection: Arc<ConnectionIntake>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let result = match CallerRequest::try_from((request, connection)) {
        Ok(request) => handler.forward(request).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(received) => forward_response(received),
        Err(error) => error_response(&error),
    }
}

async fn job(
    handler: &dyn CallerHandler,
    connection: &ConnectionIntake,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if !handler.has_state() {
        return error_response(&ErrorKind::NotReady.into());
    }
    let (head, body) = request.into_parts();
    let body = match read_body(body, MAX_JOB_BYTES, connection).await {
        Ok(body) => Bytes::from(body),
        Err(status) => return error_response(&RequestError::from_refusal(status)),
    };
    connection.begin_handling();
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
    if error.kind == ErrorKind::QueueFull {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECONDS));
    }
    response
}

fn text_response(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}
