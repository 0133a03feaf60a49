use {
    super::{HostControl, HostList, HostsReply, ListError},
    crate::http::{CallFailure, HttpCaller, HttpReply},
    bytes::Bytes,
    goldcreststall_core::ids::{HostName, Incarnation, Millis},
    http::{Method, StatusCode},
    std::net::SocketAddr,
};

const CONNECT_TIMEOUT: Millis = Millis(500);
const LIST_TIMEOUT: Millis = Millis(1_000);

/// Client of the host list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpHosts {
    caller: HttpCaller,
}

impl HttpHosts {
    /// Creates a client of the list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            caller: HttpCaller::new(address, CONNECT_TIMEOUT),
        }
    }
}

impl HttpHosts {
    async fn call(&self, method: Method, path: &str) -> Result<HttpReply, ListError> {
        let reply = self.caller.call(method, path, Bytes::new(), LIST_TIMEOUT);
        let reply = reply.await.map_err(|failure| match failure {
            CallFailure::NotSent(reason) | CallFailure::Unconfirmed(reason) => ListError(reason),
        })?;
        if reply.status != StatusCode::OK {
            return Err(ListError(format!("status {}", reply.status.as_u16())));
        }
        Ok(reply)
    }
}

#[async_trait::async_trait]
impl HostList for HttpHosts {
    async fn hosts(&self) -> Result<HostsReply, ListError> {
        let reply = self.call(Method::GET, "/hosts").await?;
        serde_json::from_slice(&reply.body).map_err(|error| ListError(error.to_string()))
    }
}

#[async_trait::async_trait]
impl HostControl for HttpHosts {
    async fn reboot(&self, host: &HostName, incarnation: Incarnation) -> Result<(), ListError> {
        let path = format!("/hosts/{host}/reboot/{incarnation}");
        self.call(Method::POST, &path).await.map(|_| ())
    }
}
