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

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The body.
    pub body: Bytes,
    /// Time for the whole answer, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The request key, if any.
    pub key: Option<String>,
    /// Pause of the target before each piece of the response, in milliseconds.
    pub piece_ms: u64,
    /// How long the target works, in milliseconds.
    pub run_ms: u64,
    /// The service.
    pub service: String,
    /// The organisation.
    pub organisation: String,
    /// The class.
    pub urgency: &'static str,
    /// Identity under which the target counts the run.
    pub work: String,
}

/// What came back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClientResponse {
    /// No complete answer came.
    Broken(String),
    /// A complete answer.
    Whole {
        /// The body.
        body: Bytes,
        /// The `gcs-outcome` header.
        outcome: String,
        /// The `gcs-reason` header.
        reason: String,
        /// The status code.
        status: StatusCode,
        /// The `work-id` header.
        work: String,
    },
}

impl ClientResponse {
    /// Returns the outcome; a broken answer is an unknown one.
    pub fn outcome(&self) -> &str {
        match self {
            Self::Broken(_) => "unknown",
            Self::Whole { outcome, .. } => outcome,
        }
    }

    /// Returns the reason of a refusal.
    pub fn reason(&self) -> &str {
        match self {
            Self::Broken(_) => "",
            Self::Whole { reason, .. } => reason,
        }
    }
}

impl ClientRequest {
    /// Creates an urgent idempotent request.
    pub fn idempotent(service: &str, organisation: &str, work: &str) -> Self {
        Self {
            body: Bytes::from(format!("body of {work}")),
            deadline_ms: 10_000,
            idempotent: true,
            key: None,
            piece_ms: 0,
            run_ms: 5,
            service: service.to_owned(),
            organisation: organisation.to_owned(),
            urgency: "urgent",
            work: work.to_owned(),
        }
    }

    /// Creates a request that must run at most once, with a new key of the caller.
    pub fn once(service: &str, organisation: &str, work: &str) -> Self {
        Self {
            idempotent: false,
            key: Some(Uuid::now_v7().to_string()),
            urgency: "normal",
            ..Self::idempotent(service, organisation, work)
        }
    }
}

/// Sends requests and never repeats one by itself.
#[derive(Clone, Debug)]
pub struct TestClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for TestClient {
    fn default() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            // A kept connection may be closed by an entry host that stops, which would look like a loss.
            .pool_max_idle_per_host(0)
            .build_http();
        Self { client }
    }
}

impl TestClient {
    /// Sends a request of a caller to an entry host.
    pub async fn send(&self, entry: SocketAddr, request: &ClientRequest) -> ClientResponse {
        let limit = Duration::from_millis(request.deadline_ms + 5_000);
        let exchange = async {
            match self.open(entry, request).await {
                Ok(response) => read_response(response).await,
                Err(reason) => ClientResponse::Broken(reason),
            }
        };
        match tokio::time::timeout(limit, exchange).await {
            Ok(response) => response,
            Err(_) => ClientResponse::Broken("no answer".to_owned()),
        }
    }

    /// Sends a request of a caller and returns when the head of the response came.
    ///
    /// # Errors
    /// When no head came.
    pub async fn open(
        &self,
        entry: SocketAddr,
        request: &ClientRequest,
    ) -> Result<Response<Incoming>, String> {
        let mut built = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{entry}/work"))
            .header("gcs-service", &request.service)
            .header("gcs-tenant", &request.organisation)
            .header("gcs-urgency", request.urgency)
            .header("gcs-idempotent", request.idempotent.to_string())
            .header("gcs-deadline-ms", request.deadline_ms)
            .header("piece-ms", request.piece_ms)
            .header("run-ms", request.run_ms)
            .header("work-id", &request.work);
        if let Some(key) = &request.key {
            built = built.header("gcs-request-key", key);
        }
        let body = Full::new(request.body.clone());
        let built = built.body(body).map_err(|error| error.to_string())?;
        let response = self.client.request(built).await;
        response.map_err(|error| format!("{error:?}"))
    }

    /// Sends any request and returns status and body.
    ///
    /// # Errors
    /// When no complete answer came.
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
            ClientResponse::Whole { status, body, .. } => Ok((status, body)),
            ClientResponse::Broken(reason) => Err(reason),
        }
    }
}

/// Reads the rest of a response.
pub async fn read_response(response: Response<Incoming>) -> ClientResponse {
    let (head, body) = response.into_parts();
    match body.collect().await {
        Ok(body) => ClientResponse::Whole {
            body: body.to_bytes(),
            outcome: text(&head.headers, "gcs-outcome"),
            reason: text(&head.headers, "gcs-reason"),
            status: head.status,
            work: text(&head.headers, "work-id"),
        },
        Err(error) => ClientResponse::Broken(format!("{error:?}")),
    }
}

fn text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
