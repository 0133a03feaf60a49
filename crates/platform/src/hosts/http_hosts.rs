use {
    super::{HostControl, HostList, HostsReply, ListError},
    crate::http::{CallFailure, HttpCaller, HttpReply},
    bytes::Bytes,
    goldcreststall_core::ids::{HostName, Incarnation, LogTime, Millis},
    http::{Method, StatusCode, header},
    parking_lot::Mutex,
    std::net::SocketAddr,
};

const CONNECT_TIMEOUT: Millis = Millis(500);
const LIST_TIMEOUT: Millis = Millis(1_000);
/// Header with the time of a list that is not sent again, in milliseconds.
const LIST_TIME_HEADER: &str = "gcs-list-time";
const NO_TIME: &str = "an unchanged list without its time";

/// Client of the host list over HTTP.
#[derive(Debug)]
pub struct HttpHosts {
    caller: HttpCaller,
    /// The last list with its entity tag.
    last: Mutex<Option<(String, HostsReply)>>,
}

impl HttpHosts {
    /// Creates a client of the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            caller: HttpCaller::new(address, CONNECT_TIMEOUT),
            last: Mutex::default(),
        }
    }
}

impl HttpHosts {
    async fn call(&self, method: Method, path: &str) -> Result<HttpReply, ListError> {
        let reply = self.caller.call(method, path, Bytes::new(), LIST_TIMEOUT);
        let reply = reply.await.map_err(call_error)?;
        if reply.status != StatusCode::OK {
            return Err(ListError(format!("status {}", reply.status.as_u16())));
        }
        Ok(reply)
    }
}

#[async_trait::async_trait]
impl HostList for HttpHosts {
    async fn hosts(&self) -> Result<HostsReply, ListError> {
        let last = self.last.lock().clone();
        let etag = last.as_ref().map(|(etag, _)| etag.as_str());
        let reply = self.caller.get_unless("/hosts", etag, LIST_TIMEOUT);
        let reply = reply.await.map_err(call_error)?;
        match (reply.status, last) {
            (StatusCode::OK, _) => self.take(&reply),
            // The list of a large fleet rarely changes between two polls and has hundreds of kilobytes.
            (StatusCode::NOT_MODIFIED, Some((_, list))) => Ok(HostsReply {
                observed: list_time(&reply).ok_or_else(|| ListError(NO_TIME.to_owned()))?,
                ..list
            }),
            (status, _) => Err(ListError(format!("status {}", status.as_u16()))),
        }
    }
}

impl HttpHosts {
    fn take(&self, reply: &HttpReply) -> Result<HostsReply, ListError> {
        let list: HostsReply =
            serde_json::from_slice(&reply.body).map_err(|error| ListError(error.to_string()))?;
        let etag = reply.headers.get(header::ETAG);
        let etag = etag.and_then(|value| value.to_str().ok());
        *self.last.lock() = etag.map(|etag| (etag.to_owned(), list.clone()));
        Ok(list)
    }
}

/// Returns when the platform made an unchanged list.
fn list_time(reply: &HttpReply) -> Option<LogTime> {
    let value = reply.headers.get(LIST_TIME_HEADER)?;
    Some(LogTime(value.to_str().ok()?.parse().ok()?))
}

fn call_error(failure: CallFailure) -> ListError {
    match failure {
        CallFailure::NotSent(reason) | CallFailure::Unconfirmed(reason) => ListError(reason),
    }
}

#[async_trait::async_trait]
impl HostControl for HttpHosts {
    async fn reboot(&self, host: &HostName, incarnation: Incarnation) -> Result<(), ListError> {
        let path = format!("/hosts/{host}/reboot/{incarnation}");
        self.call(Method::POST, &path).await.map(|_| ())
    }
}
