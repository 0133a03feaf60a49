use {
    super::ResponseBody,
    crate::request::{CallerRequest, RequestError},
    bytes::Bytes,
    goldcreststall_core::ids::RequestKey,
    http::{HeaderMap, Method, StatusCode},
};

/// A response that is passed on to the caller.
pub struct CallerResponse {
    /// The body, still arriving.
    pub body: ResponseBody,
    /// The headers.
    pub headers: HeaderMap,
    /// The status code.
    pub status: StatusCode,
}

/// A call of the durable job interface, `/v1/jobs` and below.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct JobRequest {
    /// The whole body, in JSON.
    pub body: Bytes,
    /// The method.
    pub method: Method,
    /// What follows `/v1/jobs/`, if anything.
    pub job: Option<String>,
}

/// Serves callers.
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
    /// A kind of the class not run.
    async fn issue_key(&self) -> Result<RequestKey, RequestError>;

    /// Submits, reads or cancels a durable job; returns JSON.
    ///
    /// # Errors
    /// Any error kind.
    async fn job(&self, request: JobRequest) -> Result<Bytes, RequestError>;

    /// Tells whether the balancer should send new requests here.
    fn healthy(&self) -> bool;

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}
