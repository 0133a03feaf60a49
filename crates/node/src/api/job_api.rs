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

/// When a caller should come back while there is no owner: elections take about this long.
const RETRY_NO_OWNER: Millis = Millis(1_000);
/// When a caller should come back with a job that cannot be run at all.
const RETRY_UNSUPPORTED: Millis = Millis(60_000);
/// Kept of a caller's time for the way back.
const ANSWER_RESERVE: Millis = Millis(150);
/// Time between two tries of the way to an owner that is not reached.
const PROBE_PERIOD: Millis = Millis(300);
/// How long a caller is taken to wait when it does not say so.
const DEFAULT_TIMEOUT: Millis = Millis(3_000);

/// Answers callers on one entry host.
pub struct JobApi {
    owner_client: OwnerClient,
    draining: AtomicBool,
    logger: Logger,
    has_advice: bool,
    metrics: Arc<NodeMetrics>,
    rules: watch::Receiver<Option<Arc<FleetRules>>>,
}

impl JobApi {
    /// Creates a job API that passes calls on by `owner_client`; `has_advice` tells whether there is an advice service.
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

    /// Returns whether new callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let has_rules = self.rules.borrow().is_some();
        has_rules && self.owner_client.reaches_owner() && !self.draining.load(Ordering::Relaxed)
    }

    /// Tries the way to the owner while it is not reached, until the process ends.
    pub async fn keep_reach(&self) {
        loop {
            tokio::time::sleep(Duration::from_millis(PROBE_PERIOD.0)).await;
            let ready = self.is_ready();
            self.owner_client.probe_owner().await;
            if ready != self.is_ready() {
                info!(self.logger, "call: readiness has changed"; "ready" => !ready);
            }
        }
    }

    /// Lets the load balancer send new callers elsewhere; calls are still answered.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the limits of calls in force.
    pub fn limits(&self) -> CallLimits {
        let rules = self.rules.borrow();
        rules.as_ref().map(|rules| rules.limits).unwrap_or_default()
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn metrics(&self) -> String {
        self.metrics.text()
    }

    /// Answers a call.
    pub async fn respond(&self, call: ApiRequest) -> ApiResponse {
        let began = BootClock.now();
        let (host, path) = (call.host.clone(), call.path.clone());
        let rules = self.rules.borrow().clone();
        let version = rules.as_ref().map(|rules| rules.version);
        let response = match rules {
            None => ApiResponse::Unavailable(RETRY_NO_OWNER),
            Some(rules) => self.route(&rules, call).await,
        };
        let took = BootClock.now().since(began);
        self.metrics.count_response(response.name(), took.0);
        let looks = matches!(response, ApiResponse::State(_) | ApiResponse::Pending(_));
        if !looks {
            info!(self.logger, "call: answered"; "host" => host, "id" => path,
                "config" => ?version, "answer" => ?response, "took_ms" => took.0);
        }
        response
    }

    async fn route(&self, rules: &FleetRules, call: ApiRequest) -> ApiResponse {
        let Some((route, rest)) = rules.route(&call.host, &call.path) else {
            return ApiResponse::NoRoute;
        };
        let timeout = call.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let limit = Millis(
            timeout
                .0
                .min(route.timeout.0)
                .saturating_sub(ANSWER_RESERVE.0),
        );
        let look = matches!(call.action, ApiAction::Look);
        if rest.is_empty() && look {
            let call = JobCall::Pending(route.name.clone());
            return self.ask(call, limit).await;
        }
        let Ok(id) = JobId::try_from(rest) else {
            return ApiResponse::NoRoute;
        };
        match call.action {
            ApiAction::Cancel => self.ask(JobCall::Cancel(id), limit).await,
            ApiAction::Look => self.ask(JobCall::State(id), limit).await,
            ApiAction::Submit(Ok(job)) => self.submit(id, route, job, limit).await,
            ApiAction::Submit(Err(why)) => ApiResponse::Invalid(why),
        }
    }

    async fn submit(
        &self,
        id: JobId,
        route: &RouteRule,
        job: JobSpec,
        limit: Millis,
    ) -> ApiResponse {
        let checked = job.check();
        let advised = if route.advice.is_some() && !self.has_advice {
            Err(SpecError::Unsupported(
                "a queue with advice, without an advice service,",
            ))
        } else {
            Ok(())
        };
        match checked.and(advised) {
            Ok(()) => {
                let queue = route.clone();
                let submission = Box::new(JobSubmission {
                    queue,
                    job,
                    accepted_ms: wall_time().0,
                });
                self.ask(JobCall::Submit(id, submission), limit).await
            }
            Err(error @ SpecError::Unsupported(_)) => {
                info!(self.logger, "call: a job cannot be run"; "id" => %id, "why" => %error);
                ApiResponse::Unavailable(RETRY_UNSUPPORTED)
            }
            Err(error) => ApiResponse::Invalid(error.to_string()),
        }
    }

    async fn ask(&self, call: JobCall, limit: Millis) -> ApiResponse {
        match self.owner_client.ask(call, limit).await {
            CallResponse::Accepted => ApiResponse::Accepted,
            CallResponse::Busy(after) => ApiResponse::Unavailable(after),
            CallResponse::Gone => ApiResponse::Gone,
            CallResponse::Pending(count) => ApiResponse::Pending(count),
            CallResponse::State(phase) => ApiResponse::State(phase),
            CallResponse::Unavailable => ApiResponse::Unavailable(RETRY_NO_OWNER),
            CallResponse::Unknown => ApiResponse::Unknown,
        }
    }
}
