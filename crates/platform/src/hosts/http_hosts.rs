use {
    super::{HostControl, HostList, HostListing, HostsError},
    crate::http::{CallError, HttpClient, HttpResponse},
    bytes::Bytes,
    goldcreststall_core::ids::{HostName, Incarnation, LogTime, Millis},
    http::{Method, StatusCode, header},
    parking_lot::Mutex,
    std::net::SocketAddr,
};

const CONNECT_TIMEOUT: Millis = Millis(500);
const CALL_TIMEOUT: Millis = Millis(1_000);
/// Header of a response "not modified": when the platform made the unchanged list, in milliseconds.
const LIST_TIME_HEADER: &str = "gcs-list-time";
const MISSING_LIST_TIME: &str = "the response \"not modified\" does not state the time of the list";

/// Client of the host list over HTTP.
#[derive(Debug)]
pub struct HttpHosts {
    client: HttpClient,
    /// The last list with its entity tag, if it had one.
    last: Mutex<Option<(String, HostListing)>>,
}

impl HttpHosts {
    /// Creates a client of the host service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(address, CONNECT_TIMEOUT),
            last: Mutex::default(),
        }
    }
}

impl HttpHosts {
    async fn call(&self, method: Method, path: &str) -> Result<HttpResponse, HostsError> {
        let response = self.client.call(method, path, Bytes::new(), CALL_TIMEOUT);
        let response = response.await.map_err(call_error)?;
        if response.status != StatusCode::OK {
            return Err(HostsError(format!("status {}", response.status.as_u16())));
        }
        Ok(response)
    }
}

#[async_trait::async_trait]
impl HostList for HttpHosts {
    async fn hosts(&self) -> Result<HostListing, HostsError> {
        let last = self.last.lock().clone();
        let etag = last.as_ref().map(|(etag, _)| etag.as_str());
        let response = self.client.get_if_changed("/hosts", etag, CALL_TIMEOUT);
        let response = response.await.map_err(call_error)?;
        match (response.status, last) {
            (StatusCode::OK, _) => self.apply_listing(&response),
            // The list of a large fleet rarely changes between two polls and has hundreds of kilobytes, so an
            // unchanged one is not sent again.
            (StatusCode::NOT_MODIFIED, Some((_, list))) => Ok(HostListing {
                observed: list_time(&response)
                    .ok_or_else(|| HostsError(MISSING_LIST_TIME.to_owned()))?,
                ..list
            }),
            (status, _) => Err(HostsError(format!("status {}", status.as_u16()))),
        }
    }
}

impl HttpHosts {
    fn apply_listing(&self, response: &HttpResponse) -> Result<HostListing, HostsError> {
        let list: HostListing = serde_json::from_slice(&response.body)
            .map_err(|error| HostsError(error.to_string()))?;
        let etag = response.headers.get(header::ETAG);
        let etag = etag.and_then(|value| value.to_str().ok());
        *self.last.lock() = etag.map(|etag| (etag.to_owned(), list.clone()));
        Ok(list)
    }
}

/// Returns the time at which the platform made an unchanged list.
fn list_time(response: &HttpResponse) -> Option<LogTime> {
    let value = response.headers.get(LIST_TIME_HEADER)?;
    Some(LogTime(value.to_str().ok()?.parse().ok()?))
}

fn call_error(error: CallError) -> HostsError {
    match error {
        CallError::NotSent(reason) | CallError::Unconfirmed(reason) => HostsError(reason),
    }
}

#[async_trait::async_trait]
impl HostControl for HttpHosts {
    async fn reboot(&self, host: &HostName, incarnation: Incarnation) -> Result<(), HostsError> {
        let path = format!("/hosts/{host}/reboot/{incarnation}");
        self.call(Method::POST, &path).await.map(|_| ())
    }
}
