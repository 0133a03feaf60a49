use {
    super::{
        RefusalBody, RenewRequest, StartRequest, TaskReport, TaskRequest, ThrottleRequest,
        WorkerEndpoint, WorkerError, WorkerService, WorkerStatus,
    },
    async_trait::async_trait,
    bytes::{Bytes, BytesMut},
    http::{Method, Request, Response, StatusCode, header},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    serde::{Serialize, de::DeserializeOwned},
    std::time::Duration,
    tokio::time,
};

/// Longest time for one request, including the connect. It is below the silence after which another entry host takes
/// over a duty, so that one unreachable worker does not delay a round.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Largest response that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Client of workers over HTTP/1.1 with JSON bodies.
#[derive(Clone, Debug)]
pub struct HttpWorkerService {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpWorkerService {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpWorkerService {
    /// Creates a client without connections; they are opened on demand.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(REQUEST_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(1)
            .pool_timer(TokioTimer::new())
            // The code that calls the client decides which requests are sent again.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    async fn post<B: Serialize, A: DeserializeOwned>(
        &self,
        worker: &WorkerEndpoint,
        action: &str,
        body: &B,
    ) -> Result<A, WorkerError> {
        let body = serde_json::to_vec(body);
        let body = body.map_err(|error| WorkerError::NotSent(error.to_string()))?;
        let path = format!("/v1/tasks/{action}");
        self.exchange(worker, Method::POST, &path, body).await
    }

    async fn exchange<A: DeserializeOwned>(
        &self,
        worker: &WorkerEndpoint,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<A, WorkerError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", worker.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| WorkerError::NotSent(error.to_string()))?;
        let response = time::timeout(REQUEST_TIMEOUT, self.send(request)).await;
        let (status, bytes) = response.unwrap_or_else(|_| Err(timeout_error()))?;
        decode(status, &bytes)
    }

    async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), WorkerError> {
        let response = self.client.request(request).await;
        let response = response.map_err(|error| match error.is_connect() {
            true => WorkerError::NotSent(error.to_string()),
            false => WorkerError::Unknown(error.to_string()),
        })?;
        let status = response.status();
        let bytes = read_body(response).await?;
        Ok((status, bytes))
    }
}

#[async_trait]
impl WorkerService for HttpWorkerService {
    async fn status(&self, worker: &WorkerEndpoint) -> Result<WorkerStatus, WorkerError> {
        self.exchange(worker, Method::GET, "/v1/tasks", Vec::new())
            .await
    }

    async fn start(
        &self,
        worker: &WorkerEndpoint,
        request: &StartRequest,
    ) -> Result<TaskReport, WorkerError> {
        self.post(worker, "start", request).await
    }

    async fn renew(
        &self,
        worker: &WorkerEndpoint,
        request: &RenewRequest,
    ) -> Result<TaskReport, WorkerError> {
        self.post(worker, "renew", request).await
    }

    async fn stop(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerError> {
        self.post(worker, "stop", request).await
    }

    async fn fence(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerError> {
        self.post(worker, "fence", request).await
    }

    async fn forget(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<(), WorkerError> {
        self.post(worker, "forget", request).await
    }

    async fn checkpoint(
        &self,
        worker: &WorkerEndpoint,
        request: &TaskRequest,
    ) -> Result<TaskReport, WorkerError> {
        self.post(worker, "checkpoint", request).await
    }

    async fn throttle(
        &self,
        worker: &WorkerEndpoint,
        request: &ThrottleRequest,
    ) -> Result<TaskReport, WorkerError> {
        self.post(worker, "throttle", request).await
    }
}

fn timeout_error() -> WorkerError {
    WorkerError::Unknown(format!("no response within {REQUEST_TIMEOUT:?}"))
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, WorkerError> {
    let mut body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    // One buffer: a part of one byte would keep a whole read buffer.
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| WorkerError::Unknown(error.to_string()))?;
        collected.extend_from_slice(frame.data_ref().map_or(&[][..], |part| part));
    }
    Ok(collected.freeze())
}

fn decode<A: DeserializeOwned>(status: StatusCode, bytes: &[u8]) -> Result<A, WorkerError> {
    let malformed = |error: serde_json::Error| WorkerError::Malformed(error.to_string());
    if status == StatusCode::OK {
        return serde_json::from_slice(bytes).map_err(malformed);
    }
    if status == StatusCode::CONFLICT {
        let body: RefusalBody = serde_json::from_slice(bytes).map_err(malformed)?;
        return Err(WorkerError::Refused(body.refusal));
    }
    Err(WorkerError::Malformed(format!("status {status}")))
}
