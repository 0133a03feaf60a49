use {
    super::{AppendReceipt, LogBounds, LogError, LogService, LogStream, RawEntry},
    crate::http::{CallFailure, HttpCaller, HttpReply},
    bytes::Bytes,
    goldcreststall_core::{ids::Millis, ledger::LogOffset},
    http::{Method, StatusCode},
    serde::de::DeserializeOwned,
    std::net::SocketAddr,
};

const CONNECT_TIMEOUT: Millis = Millis(500);
/// How long an append may take before its answer counts as lost.
const APPEND_TIMEOUT: Millis = Millis(2_000);
const BOUNDS_TIMEOUT: Millis = Millis(2_000);
/// Time allowed for a read beyond the requested wait.
const READ_MARGIN: Millis = Millis(2_000);

/// Client of the log service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpLog {
    caller: HttpCaller,
}

impl HttpLog {
    /// Creates a client of the log service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            caller: HttpCaller::new(address, CONNECT_TIMEOUT),
        }
    }
}

#[async_trait::async_trait]
impl LogService for HttpLog {
    async fn append(&self, stream: LogStream, payload: Bytes) -> Result<AppendReceipt, LogError> {
        let path = format!("/streams/{stream}/entries");
        let reply = self
            .caller
            .call(Method::POST, &path, payload, APPEND_TIMEOUT);
        let reply = reply.await.map_err(call_error)?;
        match reply.status {
            StatusCode::OK => from_json(&reply),
            StatusCode::SERVICE_UNAVAILABLE => Err(LogError::Unavailable(text(&reply))),
            _ => Err(LogError::Unconfirmed(text(&reply))),
        }
    }

    async fn bounds(&self, stream: LogStream) -> Result<LogBounds, LogError> {
        let path = format!("/streams/{stream}");
        let reply = self
            .caller
            .call(Method::GET, &path, Bytes::new(), BOUNDS_TIMEOUT);
        let reply = reply.await.map_err(call_error)?;
        match reply.status {
            StatusCode::OK => from_json(&reply),
            _ => Err(LogError::Unavailable(text(&reply))),
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
        let reply = self.caller.call(Method::GET, &path, Bytes::new(), timeout);
        let reply = reply.await.map_err(call_error)?;
        match reply.status {
            StatusCode::OK => postcard::from_bytes(&reply.body)
                .map_err(|error| LogError::Malformed(error.to_string())),
            StatusCode::GONE => {
                let bounds: LogBounds = from_json(&reply)?;
                Err(LogError::OffsetGone {
                    first: bounds.first,
                })
            }
            _ => Err(LogError::Unavailable(text(&reply))),
        }
    }
}

fn call_error(failure: CallFailure) -> LogError {
    match failure {
        CallFailure::NotSent(reason) => LogError::Unavailable(reason),
        CallFailure::Unconfirmed(reason) => LogError::Unconfirmed(reason),
    }
}

fn from_json<T: DeserializeOwned>(reply: &HttpReply) -> Result<T, LogError> {
    serde_json::from_slice(&reply.body).map_err(|error| LogError::Malformed(error.to_string()))
}

fn text(reply: &HttpReply) -> String {
    let body = String::from_utf8_lossy(&reply.body);
    format!("status {}: {}", reply.status.as_u16(), body.trim())
}
