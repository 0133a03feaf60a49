use {
    super::{
        PolicyGate,
        body_reader::read_body,
        counted_body::CountedBody,
        job_intake::JobIntake,
        policy_gate::{AssignedSlot, QueuedRequest},
    },
    crate::{
        clock::BootClock,
        control::{ControlHandle, ProposeError},
        metrics::EntryMetrics,
    },
    bytes::Bytes,
    goldcreststall_callers::{
        request::{CallerRequest, RequestError, TARGET},
        server::{CallerAnswer, CallerHandler, JobRequest},
    },
    goldcreststall_core::{
        claims::{CLAIM_MAX_AGE, ClaimRecord, IssuedKeys, KeyUse},
        error::{ErrorKind, OutcomeClass},
        ids::{LocalTime, Millis, RequestKey},
        ledger::{RecordBody, Rejection},
        traffic::{RequestSpec, RoutingView, SendOutcome, TargetKey},
    },
    goldcreststall_targets::transport::{
        RequestBody, SendError, TargetAnswer, TargetEndpoint, TargetRequest, TargetTransport,
    },
    http::{HeaderMap, Method},
    parking_lot::Mutex,
    slog::{Logger, info},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio_util::task::TaskTracker,
};

/// Longest wait for a claim to be read back from the log.
const CLAIM_WAIT: Millis = Millis(3_000);
/// Longest time by which a refusal is held back for the release of its claim.
const RELEASE_WAIT: Millis = Millis(1_000);

/// Longest wait at shutdown for releases of claims to be read back from the log.
const LAST_RELEASES_WAIT: Millis = Millis(5_000);

/// Takes each request from its arrival to its answer.
pub struct RequestRouter {
    clock: BootClock,
    control: ControlHandle,
    draining: AtomicBool,
    gate: Arc<PolicyGate>,
    issued: Mutex<IssuedKeys>,
    jobs: JobIntake,
    logger: Logger,
    metrics: EntryMetrics,
    /// Releases of claims that were not read back yet.
    releases: TaskTracker,
    transport: Arc<dyn TargetTransport>,
}

/// What stays the same over the attempts of one request.
struct RoutedRequest {
    headers: HeaderMap,
    key: Option<RequestKey>,
    method: Method,
    path: String,
    service: String,
    spec: RequestSpec,
    tenant: String,
}

impl RequestRouter {
    /// Creates a router.
    pub fn new(
        control: ControlHandle,
        gate: Arc<PolicyGate>,
        transport: Arc<dyn TargetTransport>,
        metrics: EntryMetrics,
        logger: Logger,
    ) -> Self {
        let issued = IssuedKeys::new(control.entry().clone());
        let jobs = JobIntake::new(control.clone(), logger.clone());
        Self {
            clock: BootClock,
            control,
            draining: AtomicBool::new(false),
            gate,
            issued: Mutex::new(issued),
            jobs,
            logger,
            metrics,
            releases: TaskTracker::new(),
            transport,
        }
    }

    /// Refuses queued requests, and tells the balancer to send no more.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::Release);
        self.gate.drain();
    }

    /// Waits until the keys of refused requests are free again, or for `LAST_RELEASES_WAIT`. A key that stays
    /// claimed would make every other entry host answer `unknown` to a request that did not run.
    pub async fn finish_releases(&self) {
        self.releases.close();
        let limit = Duration::from_millis(LAST_RELEASES_WAIT.0);
        let finished = tokio::time::timeout(limit, self.releases.wait());
        let complete = finished.await.is_ok();
        info!(self.logger, "drain: claims of refused requests are released"; "complete" => complete);
    }

    async fn route(&self, request: CallerRequest) -> Result<CallerAnswer, RequestError> {
        let deadline = self.clock.now() + request.deadline;
        let view = self.control.view().ok_or(ErrorKind::NotReady)?;
        let spec = spec(&view, &request, deadline)?;
        let routed = RoutedRequest {
            headers: request.headers,
            key: request.key,
            method: request.method,
            path: request.path,
            service: request.service.to_string(),
            spec,
            tenant: request.tenant.to_string(),
        };
        let left = Duration::from_millis(request.deadline.0);
        let body = tokio::time::timeout(left, read_body(request.body));
        let body = body.await.map_err(|_| ErrorKind::DeadlineUnreachable)??;
        // A request that is refused at once needs no claim, so a flood costs no appends.
        let queued = self.gate.enqueue(spec)?;
        self.claim(&routed).await?;
        let result = self.attempt(&routed, queued, body).await;
        if let Err(error) = &result {
            self.give_back(&routed, error.kind).await;
        }
        result
    }

    /// Makes sure that a non-idempotent request is sent by nobody else.
    async fn claim(&self, routed: &RoutedRequest) -> Result<(), RequestError> {
        if routed.spec.idempotent {
            return Ok(());
        }
        match &routed.key {
            None => Err(ErrorKind::KeyMissing.into()),
            Some(RequestKey::Issued { issuer, number }) => {
                let used = self.issued.lock().take(self.clock.now(), issuer, *number);
                key_use(used)
            }
            Some(RequestKey::Caller(key)) => self.claim_in_log(*key, routed.spec.deadline).await,
        }
    }

    async fn claim_in_log(&self, key: u128, deadline: LocalTime) -> Result<(), RequestError> {
        if !self.control.log_is_up() {
            return Err(ErrorKind::StoreUnavailable.into());
        }
        // Waiting longer would leave the caller no time to go elsewhere.
        let deadline = deadline.min(self.clock.now() + CLAIM_WAIT);
        let take = ClaimRecord::Take {
            holder: self.control.entry().clone(),
            key,
        };
        let proposed = self.control.propose(RecordBody::Claim(take), deadline);
        proposed.await.map_err(|error| claim_error(error).into())
    }

    /// Frees the key of a request that did not run, so that it can be sent through another entry host.
    async fn give_back(&self, routed: &RoutedRequest, kind: ErrorKind) {
        if routed.spec.idempotent || kind.answer().class != OutcomeClass::NotRun {
            return;
        }
        match &routed.key {
            Some(RequestKey::Issued { number, .. }) => {
                self.issued.lock().give_back(self.clock.now(), *number);
            }
            Some(RequestKey::Caller(key)) => self.release(*key).await,
            None => {}
        }
    }

    /// Releases a claim. The caller may send its request elsewhere as soon as it is answered, so the answer
    /// waits a while for the release to be in the log.
    async fn release(&self, key: u128) {
        let release = ClaimRecord::Release {
            holder: self.control.entry().clone(),
            key,
        };
        let control = self.control.clone();
        let deadline = self.clock.now() + CLAIM_MAX_AGE;
        let released = self.releases.spawn(async move {
            // A release that is lost leaves the key claimed, which is safe.
            let _ = control.propose(RecordBody::Claim(release), deadline).await;
        });
        let wait = Duration::from_millis(RELEASE_WAIT.0);
        let _ = tokio::time::timeout(wait, released).await;
    }

    async fn attempt(
        &self,
        routed: &RoutedRequest,
        queued: QueuedRequest,
        body: RequestBody,
    ) -> Result<CallerAnswer, RequestError> {
        let mut body = Some(body);
        let mut queued = Some(queued);
        let mut attempts = 0;
        loop {
            attempts += 1;
            let place = match queued.take() {
                Some(queued) => queued,
                None => self.gate.enqueue(routed.spec)?,
            };
            let spare = body.as_ref().and_then(RequestBody::try_clone);
            let current = body.take().ok_or(ErrorKind::ConnectFailed)?;
            let error = match self.attempt_once(routed, place, current).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            body = spare;
            if body.is_none() || !self.may_repeat(routed, error.kind, attempts) {
                return Err(error);
            }
            info!(self.logger, "route: a request is sent again"; "service" => &routed.service, "tenant" => &routed.tenant, "reason" => %error.kind, "attempts" => attempts);
        }
    }

    /// Only an idempotent request is sent again, within its retry budget.
    fn may_repeat(&self, routed: &RoutedRequest, kind: ErrorKind, attempts: u32) -> bool {
        let sent_to_target = matches!(
            kind,
            ErrorKind::AnswerTruncated
                | ErrorKind::ConnectFailed
                | ErrorKind::ConnectionLost
                | ErrorKind::TargetRefused
        );
        sent_to_target && self.gate.allow_retry(&routed.spec, attempts)
    }

    async fn attempt_once(
        &self,
        routed: &RoutedRequest,
        queued: QueuedRequest,
        body: RequestBody,
    ) -> Result<CallerAnswer, RequestError> {
        let mut slot = queued.wait().await?;
        let view = self.control.view().ok_or(ErrorKind::NotReady)?;
        let target = slot.assignment.target;
        let endpoint = endpoint(&view, target).ok_or(ErrorKind::NoTarget)?;
        info!(self.logger, "route: a request goes to a target"; "service" => &routed.service, "tenant" => &routed.tenant, "target" => %endpoint.host, "key" => routed.key.as_ref().map(ToString::to_string));
        let sent = self.clock.now();
        // A process that was frozen since the claim or the choice of target finds its deadline passed.
        if sent >= routed.spec.deadline {
            return Err(ErrorKind::DeadlineUnreachable.into());
        }
        let request = TargetRequest {
            body,
            headers: routed.headers.clone(),
            method: routed.method.clone(),
            path: routed.path.clone(),
        };
        let left = Duration::from_millis(routed.spec.deadline.since(sent).0);
        slot.mark_sent();
        let exchange = self.transport.send(&endpoint, request);
        match tokio::time::timeout(left, exchange).await {
            Ok(Ok(answer)) => {
                self.note_leaving(answer.leaving, &view, target);
                Ok(pass_on(answer, slot, &endpoint, sent, routed.spec.deadline))
            }
            Ok(Err(error)) => {
                self.note_leaving(error.leaving, &view, target);
                Err(self.fail(error, slot, &endpoint))
            }
            Err(_) => {
                slot.finish(SendOutcome::Unknown);
                Err(ErrorKind::DeadlineAfterSend.into())
            }
        }
    }

    fn note_leaving(&self, leaving: bool, view: &RoutingView, target: TargetKey) {
        let mark = leaving.then(|| view.leaving_mark(target)).flatten();
        if let Some(mark) = mark {
            info!(self.logger, "route: a target says that it is leaving"; "target" => %mark.host);
            self.gate.mark_leaving(&mark);
        }
    }

    fn fail(
        &self,
        error: SendError,
        slot: AssignedSlot,
        endpoint: &TargetEndpoint,
    ) -> RequestError {
        let not_run = error.kind.answer().class == OutcomeClass::NotRun;
        slot.finish(if not_run {
            SendOutcome::NotRun
        } else {
            SendOutcome::Unknown
        });
        info!(self.logger, "route: a target gave no answer"; "target" => %endpoint.host, "reason" => %error.kind, "detail" => &error.reason);
        RequestError::new(error.kind, error.reason)
    }
}

#[async_trait::async_trait]
impl CallerHandler for RequestRouter {
    async fn forward(&self, request: CallerRequest) -> Result<CallerAnswer, RequestError> {
        let arrived = self.clock.now();
        let service = request.service.to_string();
        let tenant = request.tenant.to_string();
        let result = self.route(request).await;
        match &result {
            Ok(_) => self.metrics.count_request(&service, "done"),
            Err(error) => {
                let row = error.kind.answer();
                self.metrics.count_request(&service, row.class.as_str());
                info!(self.logger, "admit: a request is refused"; "service" => &service, "tenant" => &tenant, "outcome" => row.class.as_str(), "reason" => row.reason);
            }
        }
        let took = self.clock.now().since(arrived);
        self.metrics.answer_ms.record(took.0, &[]);
        result
    }

    async fn issue_key(&self) -> Result<RequestKey, RequestError> {
        if !self.healthy() {
            return Err(ErrorKind::NotReady.into());
        }
        Ok(self.issued.lock().issue(self.clock.now()))
    }

    async fn job(&self, request: JobRequest) -> Result<Bytes, RequestError> {
        if self.control.view().is_none() {
            return Err(ErrorKind::NotReady.into());
        }
        self.jobs.answer(request).await
    }

    fn healthy(&self) -> bool {
        !self.draining.load(Ordering::Acquire) && self.control.view().is_some()
    }

    fn metrics(&self) -> String {
        if let Some(position) = self.control.board().content().position() {
            self.metrics.ledger_offset.record(position.next.0, &[]);
        }
        self.metrics.text()
    }
}

fn pass_on(
    answer: TargetAnswer,
    slot: AssignedSlot,
    endpoint: &TargetEndpoint,
    sent: LocalTime,
    deadline: LocalTime,
) -> CallerAnswer {
    let mut headers = answer.headers;
    strip_connection_headers(&mut headers);
    if let Ok(value) = endpoint.host.as_str().parse() {
        headers.insert(TARGET, value);
    }
    CallerAnswer {
        body: Box::pin(CountedBody::new(
            answer.body,
            slot,
            sent,
            deadline,
            answer.status,
        )),
        headers,
        status: answer.status,
    }
}

fn spec(
    view: &RoutingView,
    request: &CallerRequest,
    deadline: LocalTime,
) -> Result<RequestSpec, RequestError> {
    let service = view
        .service(&request.service)
        .ok_or(ErrorKind::UnknownService)?;
    let tenant = view.tenant(&request.tenant).ok_or_else(|| {
        let detail = format!("tenant \"{}\" is not configured", request.tenant);
        RequestError::new(ErrorKind::InvalidRequest, detail)
    })?;
    Ok(RequestSpec {
        deadline,
        idempotent: request.idempotent,
        service,
        tenant,
        urgency: request.urgency,
    })
}

fn key_use(used: KeyUse) -> Result<(), RequestError> {
    match used {
        KeyUse::First => Ok(()),
        KeyUse::Repeated => Err(ErrorKind::KeyClaimed.into()),
        KeyUse::Expired => Err(ErrorKind::KeyExpired.into()),
        KeyUse::Foreign => Err(ErrorKind::KeyForeign.into()),
    }
}

fn claim_error(error: ProposeError) -> ErrorKind {
    match error {
        ProposeError::Rejected(Rejection::KeyClaimed) => ErrorKind::KeyClaimed,
        ProposeError::Rejected(Rejection::KeyTooOld) => ErrorKind::KeyExpired,
        ProposeError::Rejected(Rejection::KeyTooNew) => ErrorKind::InvalidRequest,
        ProposeError::Rejected(_) | ProposeError::Unconfirmed => ErrorKind::StoreUnavailable,
    }
}

fn endpoint(view: &RoutingView, target: TargetKey) -> Option<TargetEndpoint> {
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
