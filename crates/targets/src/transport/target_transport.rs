use {
    super::{SendError, TargetRequest},
    bytes::Bytes,
    goldcreststall_core::ids::{HostName, Incarnation},
    http::{HeaderMap, StatusCode},
    http_body::Body,
    std::{error::Error, net::SocketAddr, pin::Pin},
};

/// Body of a response. It ends with an error when the target did not send all of it.
pub type ResponseBody =
    Pin<Box<dyn Body<Data = Bytes, Error = Box<dyn Error + Send + Sync>> + Send>>;

/// Where one incarnation of a target is reached.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TargetEndpoint {
    /// Name of the host.
    pub host: HostName,
    /// Incarnation of the host; connections to an earlier one are not reused.
    pub incarnation: Incarnation,
    /// Where the target listens.
    pub address: SocketAddr,
    /// Maximum number of connections that this entry host may open to the target.
    pub connections: u32,
}

/// The head of a response, with the body still arriving.
pub struct TargetResponse {
    /// Body, which is read from the connection as it arrives.
    pub body: ResponseBody,
    /// Headers as the target sent them.
    pub headers: HeaderMap,
    /// Whether the target announced that it is leaving.
    pub leaving: bool,
    /// Status code of the target.
    pub status: StatusCode,
}

/// Sends requests to targets.
#[async_trait::async_trait]
pub trait TargetTransport: Send + Sync {
    /// Sends `request` at most once and returns the head of the response.
    ///
    /// # Errors
    /// A kind of the class "not run" only if no byte of the request can have reached the target, or if the
    /// target itself reported that it did not run the request.
    async fn send(
        &self,
        endpoint: &TargetEndpoint,
        request: TargetRequest,
    ) -> Result<TargetResponse, SendError>;
}
