use {
    super::{ApiAction, ApiHead, ApiRequest, ApiResponse, OwnerClient, PresentedKey, text_start},
    crate::{feeds::StoreContact, metrics::NodeMetrics},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::{JobId, JobSpec, SpecError},
        owner::{CallResponse, JobCall},
        records::JobSubmission,
        routes::{CallLimits, CallOrigin, CallRefusal, CheckedCall, FleetRules, RouteRule},
    },
    goldcreststall_entry::clock::{BootClock, wall_time},
    slog::{Logger, info, warn},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::sync::watch,
};

/// Time after which a caller may retry while there is no owner: elections take about this long.
const RETRY_AFTER_NO_OWNER: Millis = Millis(1_000);
/// Time after which a caller may retry while keys cannot be verified: another entry host may reach the store.
const RETRY_AFTER_UNVERIFIED: Millis = Millis(1_000);
/// Time after which a caller may retry a job that cannot be run at all.
const RETRY_AFTER_UNSUPPORTED: Millis = Millis(60_000);
/// Part of a caller's timeout that is kept for sending the response.
const RESPONSE_MARGIN: Millis = Millis(150);
/// Time between two probes of an owner that is unreachable.
const PROBE_INTERVAL: Millis = Millis(300);
/// Timeout of a caller that does not name one.
const DEFAULT_TIMEOUT: Millis = Millis(3_000);

/// Handles the job requests of callers on one entry host.
pub struct JobApi {
    owner_client: OwnerClient,
    draining: AtomicBool,
    /// Longest silence of the store after which keys are still accepted; `None` for no limit.
    silence_limit: Option<(StoreContact, Millis)>,
    logger: Logger,
    has_advice: bool,
    metrics: Arc<NodeMetrics>,
    rules: watch::Receiver<Option<Arc<FleetRules>>>,
}

impl JobApi {
    /// Creates a job API that sends calls to the owner through `owner_client`; `has_advice` tells whether the platform
    /// has an advice service.
    pub fn new(
        owner_client: OwnerClient,
        rules: watch::Receiver<Option<Arc<FleetRules>>>,
        has_advice: bool,
        metrics: Arc<NodeMetrics>,
        logger: Logger,
    ) -> Self {
        Self {
            owner_client,
            draining: AtomicBool::new(false),
            silence_limit: None,
            logger,
            has_advice,
            metrics,
            rules,
        }
    }

    /// Refuses calls that need a key while the store has been silent for longer than `limit`.
    pub fn with_silence_limit(self, contact: StoreContact, limit: Millis) -> Self {
        Self {
            silence_limit: Some((contact, limit)),
            ..self
        }
    }

    /// Returns whether the configuration may be too old to tell which keys are valid.
    fn is_stale(&self) -> bool {
        let now = BootClock.now();
        let is_silent = |(contact, limit): &(StoreContact, Millis)| contact.is_silent(*limit, now);
        self.silence_limit.as_ref().is_some_and(is_silent)
    }

    /// Returns whether the load balancer should send new callers here. While keys cannot be verified, other entry hosts
    /// serve them better, unless some queues need no key.
    pub fn is_ready(&self) -> bool {
        let is_stale = self.is_stale();
        let serves = |rules: &Arc<FleetRules>| {
            !is_stale || rules.organisations.is_none() || !rules.public_routes.is_empty()
        };
        let has_rules = self.rules.borrow().as_ref().is_some_and(serves);
        has_rules && self.owner_client.can_reach_owner() && !self.draining.load(Ordering::Relaxed)
    }

    /// Probes the owner while it is unreachable, until the process ends; logs when calls that need a key are refused.
    pub async fn probe_owner_loop(&self) {
        let mut was_stale = false;
        loop {
            tokio::time::sleep(Duration::from_millis(PROBE_INTERVAL.0)).await;
            let ready = self.is_ready();
            self.owner_client.probe_owner().await;
            if ready != self.is_ready() {
                info!(self.logger, "call: readiness has changed"; "ready" => !ready);
            }
            let is_stale = self.rules.borrow().is_some() && self.is_stale();
            if is_stale != was_stale {
                warn!(self.logger, "config: whether keys can be verified has changed";
                    "verified" => !is_stale);
                was_stale = is_stale;
            }
        }
    }

    /// Makes the load balancer send new callers elsewhere; requests are still handled.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the limits on calls that are in force.
    pub fn limits(&self) -> CallLimits {
        let rules = self.rules.borrow();
        rules.as_ref().map(|rules| rules.limits).unwrap_or_default()
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.metrics.text()
    }

    /// Returns the counters of this entry host.
    pub fn node_metrics(&self) -> &NodeMetrics {
        &self.metrics
    }

    /// Returns the refusal of a request that its head decides: there is no configuration, no such queue, or no valid key.
    /// Its body need not be read then.
    pub fn refuse_early(&self, head: &ApiHead) -> Option<ApiResponse> {
        let rules = self.rules.borrow().clone();
        let refusal = match &rules {
            None => ApiResponse::Unavailable(RETRY_AFTER_NO_OWNER),
            Some(rules) => self.check_head(rules, head).err()?,
        };
        self.record_response(head, rules.as_deref(), &refusal, Millis(0));
        Some(refusal)
    }

    /// Handles a request and returns its response. The head is checked again: the configuration may have changed while
    /// the body was read.
    pub async fn respond(&self, request: ApiRequest) -> ApiResponse {
        let started = BootClock.now();
        let head = request.head.clone();
        let rules = self.rules.borrow().clone();
        let response = match &rules {
            None => ApiResponse::Unavailable(RETRY_AFTER_NO_OWNER),
            Some(rules) => self.route(rules, request).await,
        };
        let elapsed = BootClock.now().since(started);
        self.record_response(&head, rules.as_deref(), &response, elapsed);
        response
    }

    fn record_response(
        &self,
        head: &ApiHead,
        rules: Option<&FleetRules>,
        response: &ApiResponse,
        elapsed: Millis,
    ) {
        self.metrics.count_response(response.name(), elapsed.0);
        let is_query_result = matches!(response, ApiResponse::State(_) | ApiResponse::Pending(_));
        if !is_query_result {
            let version = rules.map(|rules| rules.version);
            let (host, path) = (text_start(&head.host), text_start(&head.path));
            info!(self.logger, "call: answered"; "host" => host, "id" => path,
                "config" => ?version, "answer" => ?response, "took_ms" => elapsed.0);
        }
    }

    async fn route(&self, rules: &FleetRules, request: ApiRequest) -> ApiResponse {
        let checked = match self.check_head(rules, &request.head) {
            Ok(checked) => checked,
            Err(refusal) => return refusal,
        };
        let CheckedCall {
            route,
            job_path,
            origin,
        } = checked;
        let caller_timeout = request.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let timeout = Millis(
            caller_timeout
                .0
                .min(route.timeout.0)
                .saturating_sub(RESPONSE_MARGIN.0),
        );
        let is_query = matches!(request.action, ApiAction::Query);
        if job_path.is_empty() && is_query {
            let call = JobCall::Pending(route.name.clone());
            return self.call_owner(call, timeout).await;
        }
        let Ok(id) = JobId::try_from(job_path) else {
            return ApiResponse::NoRoute;
        };
        match request.action {
            ApiAction::Cancel => self.call_owner(cancel_call(id, &origin), timeout).await,
            ApiAction::Query => self.call_owner(state_call(id, &origin), timeout).await,
            ApiAction::Submit(Ok(job)) => self.submit(id, route, job, &origin, timeout).await,
            ApiAction::Submit(Err(reason)) => ApiResponse::Invalid(reason),
        }
    }

    fn check_head<'a>(
        &self,
        rules: &'a FleetRules,
        head: &'a ApiHead,
    ) -> Result<CheckedCall<'a>, ApiResponse> {
        let key = head.key.as_ref().map(PresentedKey::as_bytes);
        let checked = rules.check_call(&head.host, &head.path, key, self.is_stale());
        checked.map_err(|refusal| match refusal {
            CallRefusal::NoKey => ApiResponse::Unauthorized,
            CallRefusal::NoRoute => ApiResponse::NoRoute,
            CallRefusal::Unverified => ApiResponse::Unverified(RETRY_AFTER_UNVERIFIED),
        })
    }

    async fn submit(
        &self,
        id: JobId,
        route: &RouteRule,
        job: JobSpec,
        origin: &CallOrigin,
        timeout: Millis,
    ) -> ApiResponse {
        let spec_check = job.check().and_then(|()| job.check_stored_size());
        let advice_check = if route.advice.is_some() && !self.has_advice {
            Err(SpecError::Unsupported(
                "a queue with advice, without an advice service,",
            ))
        } else {
            Ok(())
        };
        match spec_check.and(advice_check) {
            Ok(()) => {
                let queue = route.clone();
                let submission = Box::new(JobSubmission {
                    queue,
                    job,
                    accepted_ms: wall_time().0,
                    organisation: None,
                });
                let call = match origin {
                    CallOrigin::Open | CallOrigin::Public => JobCall::Submit(id, submission),
                    CallOrigin::Organisation(name) => {
                        JobCall::SubmitFor(id, submission, name.to_string())
                    }
                };
                self.call_owner(call, timeout).await
            }
            Err(error @ SpecError::Unsupported(_)) => {
                info!(self.logger, "call: a job cannot be run"; "id" => %id, "why" => %error);
                ApiResponse::Unavailable(RETRY_AFTER_UNSUPPORTED)
            }
            Err(error) => ApiResponse::Invalid(error.to_string()),
        }
    }

    async fn call_owner(&self, call: JobCall, timeout: Millis) -> ApiResponse {
        let has_organisation = matches!(call, JobCall::SubmitFor(..));
        match self.owner_client.call(call, timeout).await {
            CallResponse::Accepted => ApiResponse::Accepted,
            CallResponse::Busy(after) if has_organisation => ApiResponse::PoolFull(after),
            CallResponse::Busy(after) => ApiResponse::Unavailable(after),
            CallResponse::Gone => ApiResponse::Gone,
            CallResponse::OverRate(after) => ApiResponse::OverRate(after),
            CallResponse::Pending(count) => ApiResponse::Pending(count),
            CallResponse::State(phase) => ApiResponse::State(phase),
            CallResponse::Unavailable => ApiResponse::Unavailable(RETRY_AFTER_NO_OWNER),
            CallResponse::Unknown => ApiResponse::Unknown,
        }
    }
}

/// Returns the organisation of a call, as its job's owner compares it; `None` without a key.
fn caller_name(origin: &CallOrigin) -> Option<String> {
    match origin {
        CallOrigin::Open | CallOrigin::Public => None,
        CallOrigin::Organisation(name) => Some(name.to_string()),
    }
}

fn cancel_call(id: JobId, origin: &CallOrigin) -> JobCall {
    match origin {
        CallOrigin::Open => JobCall::Cancel(id),
        _ => JobCall::CancelFor(id, caller_name(origin)),
    }
}

fn state_call(id: JobId, origin: &CallOrigin) -> JobCall {
    match origin {
        CallOrigin::Open => JobCall::State(id),
        _ => JobCall::StateFor(id, caller_name(origin)),
    }
}
