use {
    super::{AppendReceipt, LogBounds, LogError, LogService, LogStream, RawEntry},
    crate::http::{CallError, HttpClient, HttpResponse},
    bytes::Bytes,
    goldcreststall_core::{ids::Millis, ledger::LogOffset},
    http::{Method, StatusCode},
    serde::de::DeserializeOwned,
    std::net::SocketAddr,
};

const CONNECT_TIMEOUT: Millis = Millis(500);
/// Time after which the response to an append counts as lost.
const APPEND_TIMEOUT: Millis = Millis(2_000);
const BOUNDS_TIMEOUT: Millis = Millis(2_000);
/// Time allowed for the response to a read after the requested wait is over.
const READ_MARGIN: Millis = Millis(2_000);

/// Client of the log service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    client: HttpClient,
}

impl HttpLog {
    /// Creates a client of the log service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(address, CONNECT_TIMEOUT),
        }
    }
}

#[async_trait::async_trait]
impl LogService for HttpLog {
    async fn append(&self, stream: LogStream, payload: Bytes) -> Result<AppendReceipt, LogError> {
        let path = format!("/streams/{stream}/entries");
        let response = self
            .client
            .call(Method::POST, &path, payload, APPEND_TIMEOUT);
        let response = response.await.map_err(call_error)?;
        match response.status {
            StatusCode::OK => from_json(&response),
            StatusCode::SERVICE_UNAVAILABLE => Err(LogError::Unavailable(error_text(&response))),
            _ => Err(LogError::Unconfirmed(error_text(&response))),
        }
    }

    async fn bounds(&self, stream: LogStream) -> Result<LogBounds, LogError> {
        let path = format!("/streams/{stream}");
        let response = self
            .client
            .call(Method::GET, &path, Bytes::new(), BOUNDS_TIMEOUT);
        let response = response.await.map_err(call_error)?;
        match response.status {
            StatusCode::OK => from_json(&response),
            _ => Err(LogError::Unavailable(error_text(&response))),
        }
    }

    async fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait: Millis,
    ) -> Result<Vec<RawEntry>, LogError> {
        let path = format!(
            "/streams/{stream}/entries?from={}&wait_ms={}",
            from.0, wait.0
        );
        let timeout = Millis(wait.0 + READ_MARGIN.0);
        let response = self.client.call(Method::GET, &path, Bytes::new(), timeout);
        let response = response.await.map_err(call_error)?;
        match response.status {
            StatusCode::OK => postcard::from_bytes(&response.body)
                .map_err(|error| LogError::Malformed(error.to_string())),
            StatusCode::GONE => {
                let bounds: LogBounds = from_json(&response)?;
                Err(LogError::OffsetGone {
                    first: bounds.first,
                })
            }
            _ => Err(LogError::Unavailable(error_text(&response))),
        }
    }
}

fn call_error(error: CallError) -> LogError {
    match error {
        CallError::NotSent(reason) => LogError::Unavailable(reason),
        CallError::Unconfirmed(reason) => LogError::Unconfirmed(reason),
    }
}

fn from_json<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, LogError> {
    serde_json::from_slice(&response.body).map_err(|error| LogError::Malformed(error.to_string()))
}

fn error_text(response: &HttpResponse) -> String {
    let body = String::from_utf8_lossy(&response.body);
    format!("status {}: {}", response.status.as_u16(), body.trim())
}
