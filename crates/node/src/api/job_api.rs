use {
    super::{ApiAction, ApiRequest, ApiResponse, OwnerClient},
    crate::metrics::NodeMetrics,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::{JobId, JobSpec, SpecError},
        owner::{CallResponse, JobCall},
        records::JobSubmission,
        routes::{CallLimits, FleetRules, RouteRule},
    },
    goldcreststall_entry::clock::{BootClock, wall_time},
    slog::{Logger, info},
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
            logger,
            has_advice,
            metrics,
            rules,
        }
    }

    /// Returns whether the load balancer should send new callers here.
    pub fn is_ready(&self) -> bool {
        let has_rules = self.rules.borrow().is_some();
        has_rules && self.owner_client.can_reach_owner() && !self.draining.load(Ordering::Relaxed)
    }

    /// Probes the owner while it is unreachable, until the process ends.
    pub async fn probe_owner_loop(&self) {
        loop {
            tokio::time::sleep(Duration::from_millis(PROBE_INTERVAL.0)).await;
            let ready = self.is_ready();
            self.owner_client.probe_owner().await;
            if ready != self.is_ready() {
                info!(self.logger, "call: readiness has changed"; "ready" => !ready);
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

    /// Handles a request and returns its response.
    pub async fn respond(&self, request: ApiRequest) -> ApiResponse {
        let started = BootClock.now();
        let (host, path) = (request.host.clone(), request.path.clone());
        let rules = self.rules.borrow().clone();
        let version = rules.as_ref().map(|rules| rules.version);
        let response = match rules {
            None => ApiResponse::Unavailable(RETRY_AFTER_NO_OWNER),
            Some(rules) => self.route(&rules, request).await,
        };
        let elapsed = BootClock.now().since(started);
        self.metrics.count_response(response.name(), elapsed.0);
        let is_query_result = matches!(response, ApiResponse::State(_) | ApiResponse::Pending(_));
        if !is_query_result {
            info!(self.logger, "call: answered"; "host" => host, "id" => path,
                "config" => ?version, "answer" => ?response, "took_ms" => elapsed.0);
        }
        response
    }

    async fn route(&self, rules: &FleetRules, request: ApiRequest) -> ApiResponse {
        let Some((route, job_path)) = rules.route(&request.host, &request.path) else {
            return ApiResponse::NoRoute;
        };
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
            ApiAction::Cancel => self.call_owner(JobCall::Cancel(id), timeout).await,
            ApiAction::Query => self.call_owner(JobCall::State(id), timeout).await,
            ApiAction::Submit(Ok(job)) => self.submit(id, route, job, timeout).await,
            ApiAction::Submit(Err(reason)) => ApiResponse::Invalid(reason),
        }
    }

    async fn submit(
        &self,
        id: JobId,
        route: &RouteRule,
        job: JobSpec,
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
                self.call_owner(JobCall::Submit(id, submission), timeout)
                    .await
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
