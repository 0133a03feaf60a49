use {
    bytes::Bytes,
    http::{HeaderMap, Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{net::SocketAddr, time::Duration},
    uuid::Uuid,
};

/// A request that a caller sends to an entry host.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Body, which the target repeats in its response.
    pub body: Bytes,
    /// Time allowed for the complete response, in milliseconds (header `gcs-deadline-ms`).
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Request key, as sent in the `gcs-request-key` header.
    pub key: Option<String>,
    /// Delay of the target before each chunk of the response body, in milliseconds (header `piece-ms`).
    pub chunk_delay_ms: u64,
    /// Run time at the target, in milliseconds.
    pub run_ms: u64,
    /// Name of the service.
    pub service: String,
    /// Name of the organisation (header `gcs-tenant`).
    pub organisation: String,
    /// Value of the `gcs-urgency` header.
    pub urgency: &'static str,
    /// ID under which the target counts the runs (header `work-id`).
    pub work_id: String,
}

/// Result of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClientResponse {
    /// No complete response arrived; the text is the cause.
    Incomplete(String),
    /// A complete response.
    Complete {
        /// Complete body.
        body: Bytes,
        /// Value of the `gcs-outcome` header; empty when absent.
        outcome: String,
        /// Value of the `gcs-reason` header; empty when absent.
        reason: String,
        /// HTTP status code.
        status: StatusCode,
        /// Value of the `work-id` header; empty when absent.
        work_id: String,
    },
}

impl ClientResponse {
    /// Returns the outcome; that of an incomplete response is `unknown`.
    pub fn outcome(&self) -> &str {
        match self {
            Self::Incomplete(_) => "unknown",
            Self::Complete { outcome, .. } => outcome,
        }
    }

    /// Returns the reason of a refusal; empty when there is none.
    pub fn reason(&self) -> &str {
        match self {
            Self::Incomplete(_) => "",
            Self::Complete { reason, .. } => reason,
        }
    }
}

impl ClientRequest {
    /// Creates an urgent idempotent request.
    pub fn idempotent(service: &str, organisation: &str, work_id: &str) -> Self {
        Self {
            body: Bytes::from(format!("body of {work_id}")),
            deadline_ms: 10_000,
            idempotent: true,
            key: None,
            chunk_delay_ms: 0,
            run_ms: 5,
            service: service.to_owned(),
            organisation: organisation.to_owned(),
            urgency: "urgent",
            work_id: work_id.to_owned(),
        }
    }

    /// Creates a request that must run at most once, with a new caller-generated key.
    pub fn once(service: &str, organisation: &str, work_id: &str) -> Self {
        Self {
            idempotent: false,
            key: Some(Uuid::now_v7().to_string()),
            urgency: "normal",
            ..Self::idempotent(service, organisation, work_id)
        }
    }
}

/// HTTP client that never retries a request by itself.
#[derive(Clone, Debug)]
pub struct TestClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for TestClient {
    fn default() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            // An idle connection may be closed by an entry host that stops, which would look like a lost request.
            .pool_max_idle_per_host(0)
            .build_http();
        Self { client }
    }
}

impl TestClient {
    /// Sends a request to an entry host and reads the response, for up to 5 seconds beyond the deadline.
    pub async fn send(&self, entry: SocketAddr, request: &ClientRequest) -> ClientResponse {
        let timeout = Duration::from_millis(request.deadline_ms + 5_000);
        let exchange = async {
            match self.open(entry, request).await {
                Ok(response) => read_response(response).await,
                Err(reason) => ClientResponse::Incomplete(reason),
            }
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(response) => response,
            Err(_) => ClientResponse::Incomplete("no response".to_owned()),
        }
    }

    /// Sends a request to an entry host and returns as soon as the head of the response has arrived.
    ///
    /// # Errors
    /// When no head arrives; the text is the cause.
    pub async fn open(
        &self,
        entry: SocketAddr,
        request: &ClientRequest,
    ) -> Result<Response<Incoming>, String> {
        let mut http_request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{entry}/work"))
            .header("gcs-service", &request.service)
            .header("gcs-tenant", &request.organisation)
            .header("gcs-urgency", request.urgency)
            .header("gcs-idempotent", request.idempotent.to_string())
            .header("gcs-deadline-ms", request.deadline_ms)
            .header("piece-ms", request.chunk_delay_ms)
            .header("run-ms", request.run_ms)
            .header("work-id", &request.work_id);
        if let Some(key) = &request.key {
            http_request = http_request.header("gcs-request-key", key);
        }
        let body = Full::new(request.body.clone());
        let http_request = http_request.body(body).map_err(|error| error.to_string())?;
        let response = self.client.request(http_request).await;
        response.map_err(|error| format!("{error:?}"))
    }

    /// Sends any HTTP request and returns the status and the body of the response.
    ///
    /// # Errors
    /// When no complete response arrives; the text is the cause.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<(StatusCode, Bytes), String> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body.into()))
            .map_err(|error| error.to_string())?;
        let response = self.client.request(request).await;
        let response = response.map_err(|error| format!("{error:?}"))?;
        match read_response(response).await {
            ClientResponse::Complete { status, body, .. } => Ok((status, body)),
            ClientResponse::Incomplete(reason) => Err(reason),
        }
    }
}

/// Reads the body of a response to its end.
pub async fn read_response(response: Response<Incoming>) -> ClientResponse {
    let (head, body) = response.into_parts();
    match body.collect().await {
        Ok(body) => ClientResponse::Complete {
            body: body.to_bytes(),
            outcome: header_text(&head.headers, "gcs-outcome"),
            reason: header_text(&head.headers, "gcs-reason"),
            status: head.status,
            work_id: header_text(&head.headers, "work-id"),
        },
        Err(error) => ClientResponse::Incomplete(format!("{error:?}")),
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
