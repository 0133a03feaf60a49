use {
    super::{
        connection_count::ConnectionCount,
        reset_connector::ResetConnector,
        response_budget::{HeldResponse, ResponseBudget},
    },
    bytes::{Bytes, BytesMut},
    goldcreststall_core::ids::Millis,
    http::{HeaderMap, Method, Request, StatusCode, header, request::Builder, response::Parts},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    std::{future::Future, net::SocketAddr, time::Duration},
};

/// Largest response that is read, in bytes; limits the memory that a response of a faulty service can take. It is also the
/// limit on all responses together that a client and its clones are reading.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// TCP user timeout: how long sent data may stay unacknowledged before the kernel closes the connection. A host that
/// lost power acknowledges nothing, and a connection to it would hang for minutes.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which an idle connection is closed; the pool looks at this interval, so that it takes up to twice as long.
/// Services limit the open connections of all callers together, and go on counting those of a caller that lost power.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Most idle connections that are kept to one address.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// An HTTP response whose body was read to its end.
#[derive(Debug)]
pub struct HttpResponse {
    /// Complete body.
    pub body: Bytes,
    /// Response headers.
    pub headers: HeaderMap,
    /// HTTP status code; any is accepted as a response.
    pub status: StatusCode,
}

/// Why a call got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request was not sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The request may have taken effect.
    #[error("no complete response: {0}")]
    Unconfirmed(String),
}

/// HTTP client of one platform service. Clones share their connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    address: SocketAddr,
    client: Client<ResetConnector, Full<Bytes>>,
    connections: ConnectionCount,
    max_response_bytes: usize,
    responses: ResponseBudget,
}

impl HttpClient {
    /// Creates a client of the service at `address`.
    pub fn new(address: SocketAddr, connect_timeout: Millis) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_millis(connect_timeout.0)));
        connector.set_nodelay(true);
        connector.set_tcp_user_timeout(Some(USER_TIMEOUT));
        let connections = ConnectionCount::default();
        let connector = ResetConnector {
            connector,
            connections: connections.clone(),
        };
        // A retry inside the client would hide that an append may have taken effect twice.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self {
            address,
            client,
            connections,
            max_response_bytes: MAX_RESPONSE_BYTES,
            responses: ResponseBudget::new(MAX_RESPONSE_BYTES),
        }
    }

    /// Returns a client that shares the connections of this one and reads responses of at most `max_bytes` each, and
    /// `total_bytes` at a time.
    pub fn with_response_limits(&self, max_bytes: usize, total_bytes: usize) -> Self {
        Self {
            max_response_bytes: max_bytes,
            responses: ResponseBudget::new(total_bytes),
            ..self.clone()
        }
    }

    /// Returns a client of the service at another address that shares the connections of this one.
    pub fn with_address(&self, address: SocketAddr) -> Self {
        Self {
            address,
            ..self.clone()
        }
    }

    /// Returns the count of the open connections of this client and its clones.
    pub fn connections(&self) -> &ConnectionCount {
        &self.connections
    }

    /// Sends a request with headers and reads the complete response.
    ///
    /// # Errors
    /// As [`HttpClient::call`].
    pub async fn call_with_headers(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        timeout: Millis,
    ) -> Result<HttpResponse, CallError> {
        let request = Request::builder().method(method);
        let request = headers.iter().fold(request, |request, (name, value)| {
            request.header(*name, *value)
        });
        self.send(request, path, body, timeout).await
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// `NotSent` when no connection could be opened, `Unconfirmed` for every later failure.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Millis,
    ) -> Result<HttpResponse, CallError> {
        let request = Request::builder().method(method);
        self.send(request, path, body, timeout).await
    }

    /// Reads a resource; the response is "not modified" while the resource still has the entity tag `etag`.
    ///
    /// # Errors
    /// As [`HttpClient::call`].
    pub async fn get_if_changed(
        &self,
        path: &str,
        etag: Option<&str>,
        timeout: Millis,
    ) -> Result<HttpResponse, CallError> {
        let mut request = Request::builder().method(Method::GET);
        if let Some(etag) = etag {
            request = request.header(header::IF_NONE_MATCH, etag);
        }
        self.send(request, path, Bytes::new(), timeout).await
    }

    /// Reads a resource that may be large, for which a slow link needs long. `timeout` bounds the wait for the response
    /// and for each further part of its body, but not the whole transfer.
    ///
    /// # Errors
    /// As [`HttpClient::call`].
    pub async fn get_large(&self, path: &str, timeout: Millis) -> Result<HttpResponse, CallError> {
        let request = Request::builder().method(Method::GET);
        let request = self.build_request(request, path, Bytes::new())?;
        let (head, mut body) = wait_for(timeout, self.send_head(request)).await?;
        let mut collected = BytesMut::new();
        let mut held = self.responses.reserve_none();
        while let Some(part) = wait_for(timeout, next_part(&mut body)).await? {
            append(&mut collected, &part, &mut held)?;
        }
        Ok(HttpResponse {
            body: collected.freeze(),
            headers: head.headers,
            status: head.status,
        })
    }

    async fn send(
        &self,
        request: Builder,
        path: &str,
        body: Bytes,
        timeout: Millis,
    ) -> Result<HttpResponse, CallError> {
        let request = self.build_request(request, path, body)?;
        wait_for(timeout, self.exchange(request)).await
    }

    fn build_request(
        &self,
        request: Builder,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, CallError> {
        request
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body))
            .map_err(|error| CallError::NotSent(error.to_string()))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<HttpResponse, CallError> {
        let (head, mut body) = self.send_head(request).await?;
        let mut collected = BytesMut::new();
        let mut held = self.responses.reserve_none();
        while let Some(part) = next_part(&mut body).await? {
            append(&mut collected, &part, &mut held)?;
        }
        Ok(HttpResponse {
            body: collected.freeze(),
            headers: head.headers,
            status: head.status,
        })
    }

    /// Sends a request and returns the head and the body of the response, of which only the head has arrived.
    async fn send_head(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(Parts, Limited<Incoming>), CallError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::NotSent(error.to_string())
            } else {
                CallError::Unconfirmed(error.to_string())
            }
        })?;
        let (head, body) = response.into_parts();
        Ok((head, Limited::new(body, self.max_response_bytes)))
    }
}

/// Copies a part into the one buffer of a response: a part of one byte would keep a whole read buffer.
fn append(collected: &mut BytesMut, part: &[u8], held: &mut HeldResponse) -> Result<(), CallError> {
    held.grow(collected.len() + part.len())?;
    collected.extend_from_slice(part);
    held.grow(collected.capacity())
}

/// Returns the next part of a body; `None` at its end.
async fn next_part(body: &mut Limited<Incoming>) -> Result<Option<Bytes>, CallError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CallError::Unconfirmed(error.to_string()))?;
        // A frame may also hold trailers.
        if let Ok(part) = frame.into_data() {
            return Ok(Some(part));
        }
    }
    Ok(None)
}

async fn wait_for<T>(
    timeout: Millis,
    exchange: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    tokio::time::timeout(Duration::from_millis(timeout.0), exchange)
        .await
        .unwrap_or_else(|_| {
            Err(CallError::Unconfirmed(format!(
                "no response within {timeout}"
            )))
        })
}
