use {
    super::{
        RequestScheduler,
        body_reader::read_body,
        job_request_handler::JobRequestHandler,
        request_claims::{ClaimedKey, RequestClaims},
        request_scheduler::{AssignedSlot, QueuedRequest},
        slot_holding_body::SlotHoldingBody,
    },
    crate::{clock::BootClock, control::ControlHandle, metrics::EntryMetrics},
    bytes::Bytes,
    goldcreststall_callers::{
        intake::IntakeFigures,
        request::{CallerRequest, RequestError, TARGET},
        server::{CallerHandler, CallerResponse, JobRequest},
    },
    goldcreststall_core::{
        error::{ErrorKind, OutcomeClass},
        ids::{LocalTime, RequestKey},
        traffic::{RequestSpec, RoutingView, SendOutcome, TargetKey},
    },
    goldcreststall_targets::transport::{
        RequestBody, SendError, TargetEndpoint, TargetRequest, TargetResponse, TargetTransport,
    },
    http::{HeaderMap, Method},
    slog::{Logger, info},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// Handles requests of callers: claims their keys, sends them to targets and forwards the responses.
pub struct RequestRouter {
    claims: Arc<RequestClaims>,
    clock: BootClock,
    control: ControlHandle,
    draining: AtomicBool,
    scheduler: Arc<RequestScheduler>,
    job_handler: JobRequestHandler,
    logger: Logger,
    metrics: EntryMetrics,
    transport: Arc<dyn TargetTransport>,
}

/// The parts of a request that all attempts share.
struct RoutedRequest {
    headers: HeaderMap,
    key: Option<RequestKey>,
    method: Method,
    path: String,
    service: String,
    spec: RequestSpec,
    organisation: String,
}

impl RequestRouter {
    /// Creates a router that is not draining.
    pub fn new(
        control: ControlHandle,
        scheduler: Arc<RequestScheduler>,
        transport: Arc<dyn TargetTransport>,
        metrics: EntryMetrics,
        logger: Logger,
    ) -> Self {
        let claims = RequestClaims::new(control.clone());
        let job_handler = JobRequestHandler::new(control.clone(), logger.clone());
        Self {
            claims,
            clock: BootClock,
            control,
            draining: AtomicBool::new(false),
            scheduler,
            job_handler,
            logger,
            metrics,
            transport,
        }
    }

    /// Refuses queued requests, and reports this entry host as unhealthy, so that the load balancer sends no more.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.scheduler.drain();
    }

    /// Waits for a limited time until the keys of refused requests are released.
    pub async fn finish_releases(&self) {
        let complete = self.claims.finish_releases().await;
        info!(self.logger, "drain: claims of refused requests are released"; "complete" => complete);
    }

    async fn route(&self, request: CallerRequest) -> Result<CallerResponse, RequestError> {
        let deadline = self.clock.now() + request.deadline;
        let view = self.control.view().ok_or(ErrorKind::NotReady)?;
        let spec = request_spec(&view, &request, deadline)?;
        let routed = RoutedRequest {
            headers: request.headers,
            key: request.key,
            method: request.method,
            path: request.path,
            service: request.service.to_string(),
            spec,
            organisation: request.organisation.to_string(),
        };
        let remaining = Duration::from_millis(request.deadline.0);
        let body = tokio::time::timeout(remaining, read_body(request.body, &request.connection));
        let body = body.await.map_err(|_| ErrorKind::DeadlineUnreachable)??;
        // Queued before the key is claimed: a request that is refused at once needs no claim, so a flood causes no
        // appends to the log.
        let queued = self.scheduler.enqueue(spec)?;
        if spec.idempotent {
            return self.send_with_retries(&routed, queued, None, body).await;
        }
        let mut key = self
            .claims
            .claim(routed.key.as_ref(), spec.deadline)
            .await?;
        let result = self
            .send_with_retries(&routed, queued, Some(&mut key), body)
            .await;
        if let Err(error) = &result
            && error.kind.response().class == OutcomeClass::NotRun
        {
            key.release().await;
        }
        result
    }

    /// Sends a request until it gets a response or must not be retried.
    async fn send_with_retries(
        &self,
        routed: &RoutedRequest,
        queued: QueuedRequest,
        mut key: Option<&mut ClaimedKey>,
        body: RequestBody,
    ) -> Result<CallerResponse, RequestError> {
        let (mut queued, mut body) = (queued, body);
        let mut unknown = None;
        let mut attempts = 0;
        loop {
            attempts += 1;
            let retry_body = body.try_clone();
            let sent = self.send_once(routed, queued, key.as_deref_mut(), body);
            let error = match sent.await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let retry = self.can_retry(routed, error.kind, attempts);
            let reported = prefer_unknown(&mut unknown, error);
            let Some(retry_body) = retry_body.filter(|_| retry) else {
                return Err(reported);
            };
            info!(self.logger, "route: a request is sent again"; "service" => &routed.service, "tenant" => &routed.organisation, "reason" => %reported.kind, "attempts" => attempts);
            body = retry_body;
            queued = self
                .scheduler
                .enqueue(routed.spec)
                .map_err(|kind| prefer_unknown(&mut unknown, kind.into()))?;
        }
    }

    /// Only an idempotent request is retried, within its retry budget.
    fn can_retry(&self, routed: &RoutedRequest, kind: ErrorKind, attempts: u32) -> bool {
        let failed_at_target = matches!(
            kind,
            ErrorKind::AnswerTruncated
                | ErrorKind::ConnectFailed
                | ErrorKind::ConnectionLost
                | ErrorKind::TargetRefused
        );
        failed_at_target && self.scheduler.allow_retry(&routed.spec, attempts)
    }

    async fn send_once(
        &self,
        routed: &RoutedRequest,
        queued: QueuedRequest,
        key: Option<&mut ClaimedKey>,
        body: RequestBody,
    ) -> Result<CallerResponse, RequestError> {
        let mut slot = queued.wait().await?;
        let view = self.control.view().ok_or(ErrorKind::NotReady)?;
        let target = slot.assignment.target;
        let endpoint = target_endpoint(&view, target).ok_or(ErrorKind::NoTarget)?;
        info!(self.logger, "route: a request is sent to a target"; "service" => &routed.service, "tenant" => &routed.organisation, "target" => %endpoint.host, "key" => routed.key.as_ref().map(ToString::to_string));
        let sent = self.clock.now();
        // If the process was frozen after the claim or the choice of the target, the deadline may have passed.
        if sent >= routed.spec.deadline {
            return Err(ErrorKind::DeadlineUnreachable.into());
        }
        let request = TargetRequest {
            body,
            headers: routed.headers.clone(),
            method: routed.method.clone(),
            path: routed.path.clone(),
        };
        let remaining = Duration::from_millis(routed.spec.deadline.since(sent).0);
        slot.mark_sent();
        if let Some(key) = key {
            key.mark_sent();
        }
        let exchange = self.transport.send(&endpoint, request);
        match tokio::time::timeout(remaining, exchange).await {
            Ok(Ok(response)) => {
                self.record_leaving(response.leaving, &view, target);
                Ok(forward_response(
                    response,
                    slot,
                    &endpoint,
                    sent,
                    routed.spec.deadline,
                ))
            }
            Ok(Err(error)) => {
                self.record_leaving(error.leaving, &view, target);
                Err(self.handle_send_error(error, slot, &endpoint))
            }
            Err(_) => {
                slot.finish(SendOutcome::Unknown);
                Err(ErrorKind::DeadlineAfterSend.into())
            }
        }
    }

    fn record_leaving(&self, leaving: bool, view: &RoutingView, target: TargetKey) {
        let notice = leaving.then(|| view.leaving_notice(target)).flatten();
        if let Some(notice) = notice {
            info!(self.logger, "route: a target announces that it is leaving"; "target" => %notice.host);
            self.scheduler.mark_leaving(&notice);
        }
    }

    fn handle_send_error(
        &self,
        error: SendError,
        slot: AssignedSlot,
        endpoint: &TargetEndpoint,
    ) -> RequestError {
        let not_run = error.kind.response().class == OutcomeClass::NotRun;
        slot.finish(if not_run {
            SendOutcome::NotRun
        } else {
            SendOutcome::Unknown
        });
        info!(self.logger, "route: an exchange with a target failed"; "target" => %endpoint.host, "reason" => %error.kind, "detail" => &error.reason);
        RequestError::new(error.kind, error.reason)
    }
}

#[async_trait::async_trait]
impl CallerHandler for RequestRouter {
    async fn forward(&self, request: CallerRequest) -> Result<CallerResponse, RequestError> {
        let arrived = self.clock.now();
        let service = request.service.to_string();
        let organisation = request.organisation.to_string();
        let result = self.route(request).await;
        match &result {
            Ok(_) => self.metrics.count_request(&service, "done"),
            Err(error) => {
                let response = error.kind.response();
                self.metrics
                    .count_request(&service, response.class.as_str());
                info!(self.logger, "admit: a request is refused"; "service" => &service, "tenant" => &organisation, "outcome" => response.class.as_str(), "reason" => response.reason);
            }
        }
        let elapsed = self.clock.now().since(arrived);
        self.metrics.response_ms.record(elapsed.0, &[]);
        result
    }

    async fn issue_key(&self) -> Result<RequestKey, RequestError> {
        if !self.healthy() {
            return Err(ErrorKind::NotReady.into());
        }
        Ok(self.claims.issue())
    }

    async fn job(&self, request: JobRequest) -> Result<Bytes, RequestError> {
        if self.control.view().is_none() {
            return Err(ErrorKind::NotReady.into());
        }
        self.job_handler.respond(request).await
    }

    fn healthy(&self) -> bool {
        !self.draining.load(Ordering::Acquire) && self.control.view().is_some()
    }

    fn has_state(&self) -> bool {
        self.control.view().is_some()
    }

    fn record_intake(&self, figures: IntakeFigures) {
        self.metrics.record_intake(figures);
    }

    fn metrics(&self) -> String {
        if let Some(position) = self.control.peer_state().content().position() {
            self.metrics.ledger_offset.record(position.next.0, &[]);
        }
        self.metrics.text()
    }
}

fn forward_response(
    response: TargetResponse,
    slot: AssignedSlot,
    endpoint: &TargetEndpoint,
    sent: LocalTime,
    deadline: LocalTime,
) -> CallerResponse {
    let mut headers = response.headers;
    strip_connection_headers(&mut headers);
    if let Ok(value) = endpoint.host.as_str().parse() {
        headers.insert(TARGET, value);
    }
    CallerResponse {
        body: Box::pin(SlotHoldingBody::new(
            response.body,
            slot,
            sent,
            deadline,
            response.status,
        )),
        headers,
        status: response.status,
    }
}

fn request_spec(
    view: &RoutingView,
    request: &CallerRequest,
    deadline: LocalTime,
) -> Result<RequestSpec, RequestError> {
    let service = view
        .service(&request.service)
        .ok_or(ErrorKind::UnknownService)?;
    let organisation = view.organisation(&request.organisation).ok_or_else(|| {
        let detail = format!("tenant \"{}\" is not configured", request.organisation);
        RequestError::new(ErrorKind::InvalidRequest, detail)
    })?;
    Ok(RequestSpec {
        deadline,
        idempotent: request.idempotent,
        service,
        organisation,
        urgency: request.urgency,
    })
}

/// Returns the error to respond with. Once an attempt may have run, the response must not say that the request did not
/// run, even if a later attempt was refused.
fn prefer_unknown(unknown: &mut Option<RequestError>, error: RequestError) -> RequestError {
    if error.kind.response().class == OutcomeClass::Unknown {
        *unknown = Some(error.clone());
    }
    unknown.clone().unwrap_or(error)
}

fn target_endpoint(view: &RoutingView, target: TargetKey) -> Option<TargetEndpoint> {
    let target = view.target_at(target)?;
    Some(TargetEndpoint {
        address: target.address.parse().ok()?,
        connections: target.connections,
        host: target.name.clone(),
        incarnation: target.incarnation,
    })
}

fn strip_connection_headers(headers: &mut HeaderMap) {
    headers.remove(http::header::CONNECTION);
    headers.remove(http::header::TRANSFER_ENCODING);
    headers.remove("keep-alive");
}
