use {
    super::ResponseBody,
    crate::{
        intake::IntakeFigures,
        request::{CallerRequest, RequestError},
    },
    bytes::Bytes,
    goldcreststall_core::ids::RequestKey,
    http::{HeaderMap, Method, StatusCode},
};

/// A response of a target that is forwarded to the caller.
pub struct CallerResponse {
    /// The body, still arriving.
    pub body: ResponseBody,
    /// Headers of the target, without those of its connection.
    pub headers: HeaderMap,
    /// Status code of the target.
    pub status: StatusCode,
}

/// A request to the durable job interface, `/v1/jobs` and below.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobRequest {
    /// The complete body, in JSON.
    pub body: Bytes,
    /// HTTP method, which tells submitting, reading and cancelling apart.
    pub method: Method,
    /// The part of the path after `/v1/jobs/`, if any.
    pub job: Option<String>,
}

/// Handles the requests of callers.
#[async_trait::async_trait]
pub trait CallerHandler: Send + Sync + 'static {
    /// Sends a request to a target of its service.
    ///
    /// # Errors
    /// Any error kind; its class tells whether the request may have run.
    async fn forward(&self, request: CallerRequest) -> Result<CallerResponse, RequestError>;

    /// Issues a request key that works without the log service.
    ///
    /// # Errors
    /// A kind of the class "not run".
    async fn issue_key(&self) -> Result<RequestKey, RequestError>;

    /// Submits, reads or cancels a durable job; returns JSON.
    ///
    /// # Errors
    /// Any error kind.
    async fn job(&self, request: JobRequest) -> Result<Bytes, RequestError>;

    /// Returns whether the load balancer should send new requests here.
    fn healthy(&self) -> bool;

    /// Returns whether requests can be judged; without a state they are refused before their bodies are read.
    fn has_state(&self) -> bool;

    /// Records what callers hold.
    fn record_intake(&self, figures: IntakeFigures);

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}
