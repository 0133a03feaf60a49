use {
    super::{
        CommandLimiter, DelegateOrder, DelegateOutcome, DelegateRegistry, OrderBody,
        bypass_table::BypassTable,
    },
    crate::ports::{HoldCall, RunnerEndpoint, RunnerService},
    async_trait::async_trait,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        owner::{RunName, RunStart, StartResponse},
        runners::HoldResponse,
    },
    goldcreststall_entry::clock::BootClock,
    parking_lot::Mutex,
    std::{sync::Arc, time::Duration},
};

/// Longest wait for the outcome of a command, beyond the wait that a hold call asks for. The delegate itself waits a
/// little less for the runner.
const OUTCOME_TIMEOUT: Millis = Millis(750);

/// How the attempt to execute a command through a delegate ended.
enum DelegateAttempt {
    /// The delegate has executed it.
    Executed(DelegateOutcome),
    /// The delegate is in contact, but has not answered in time. Sending the command again would add to the load that
    /// delays it.
    Late,
    /// The connection ended or the delegate is silent; it may execute the command.
    Lost,
    /// The delegate has not executed it and never will.
    NotSent,
}

/// Sends commands to runners through their delegates, and itself where no delegate answers.
pub struct DelegatedRunners {
    direct: Arc<dyn RunnerService>,
    registry: DelegateRegistry,
    limiter: CommandLimiter,
    bypasses: Mutex<BypassTable>,
}

impl DelegatedRunners {
    /// Creates a service that prefers the delegates in `registry` to `direct`, and that sends at most as many commands
    /// directly as `limiter` allows.
    pub fn new(
        direct: Arc<dyn RunnerService>,
        registry: DelegateRegistry,
        limiter: CommandLimiter,
    ) -> Self {
        Self {
            direct,
            registry,
            limiter,
            bypasses: Mutex::default(),
        }
    }

    /// Sends a hold call, a stop or a pace through the runner's delegate, unless the runner is called directly.
    async fn delegate_or_bypass(
        &self,
        runner: &RunnerEndpoint,
        body: OrderBody,
        wait: Millis,
    ) -> DelegateAttempt {
        if self.bypasses.lock().contains(&runner.id, BootClock.now()) {
            return DelegateAttempt::NotSent;
        }
        self.delegate(runner, body, wait).await
    }

    /// Notes whether the runner answered the way that a command took: without an answer the next one takes the other.
    fn record_path(&self, runner: &RunnerEndpoint, direct: bool, answered: bool) {
        if answered {
            return;
        }
        let mut bypasses = self.bypasses.lock();
        if direct {
            bypasses.remove(&runner.id);
        } else {
            bypasses.insert(&runner.id, BootClock.now());
        }
    }

    async fn hold_directly(&self, runner: &RunnerEndpoint, call: HoldCall) -> Option<HoldResponse> {
        if !self.registry.is_lease_held() {
            return None;
        }
        let response = self.direct.hold(runner, call).await;
        self.record_path(runner, true, response.is_some());
        response
    }

    async fn stop_directly(&self, runner: &RunnerEndpoint, run: &RunName) -> Option<u64> {
        let _permit = self.limiter.acquire(&runner.id).await;
        if !self.registry.is_lease_held() {
            return None;
        }
        let clock_ms = self.direct.stop(runner, run).await;
        self.record_path(runner, true, clock_ms.is_some());
        clock_ms
    }

    async fn pace_directly(&self, runner: &RunnerEndpoint, run: &RunName, percent: u32) -> bool {
        let _permit = self.limiter.acquire(&runner.id).await;
        self.registry.is_lease_held() && self.direct.pace(runner, run, percent).await
    }

    async fn delegate(
        &self,
        runner: &RunnerEndpoint,
        body: OrderBody,
        wait: Millis,
    ) -> DelegateAttempt {
        let order = DelegateOrder {
            runner: runner.clone(),
            body,
        };
        let Some(outcome) = self.registry.send(order) else {
            return DelegateAttempt::NotSent;
        };
        let timeout = Duration::from_millis(OUTCOME_TIMEOUT.0 + wait.0);
        match tokio::time::timeout(timeout, outcome).await {
            Ok(Ok(DelegateOutcome::Expired)) => DelegateAttempt::NotSent,
            Ok(Ok(outcome)) => DelegateAttempt::Executed(outcome),
            Ok(Err(_)) => DelegateAttempt::Lost,
            Err(_) => DelegateAttempt::Late,
        }
    }

    /// Sends a start without a delegate. If the delegate may have sent it as well, only an acceptance tells for certain
    /// where the run is: the delegate's command may still arrive after this one was refused.
    async fn start_directly(
        &self,
        runner: &RunnerEndpoint,
        start: &RunStart,
        may_be_sent: bool,
    ) -> StartResponse {
        let _permit = self.limiter.acquire(&runner.id).await;
        if !self.registry.is_lease_held() {
            return if may_be_sent {
                StartResponse::Unknown
            } else {
                StartResponse::NotSent
            };
        }
        let response = self.direct.start(runner, start).await;
        match response {
            StartResponse::Begun(_) | StartResponse::Fenced => response,
            _ if may_be_sent => StartResponse::Unknown,
            _ => response,
        }
    }
}

#[async_trait]
impl RunnerService for DelegatedRunners {
    async fn hold(&self, runner: &RunnerEndpoint, call: HoldCall) -> Option<HoldResponse> {
        let attempt = self.delegate_or_bypass(runner, OrderBody::Hold(call), call.wait);
        match attempt.await {
            DelegateAttempt::Executed(DelegateOutcome::Hold(response)) => {
                self.record_path(runner, false, response.is_some());
                response
            }
            DelegateAttempt::Late => None,
            _ => self.hold_directly(runner, call).await,
        }
    }

    async fn start(&self, runner: &RunnerEndpoint, start: &RunStart) -> StartResponse {
        let body = OrderBody::Start(start.clone());
        match self.delegate(runner, body, Millis(0)).await {
            DelegateAttempt::Executed(DelegateOutcome::Start(response)) => response,
            DelegateAttempt::Late => StartResponse::Unknown,
            DelegateAttempt::NotSent => self.start_directly(runner, start, false).await,
            _ => self.start_directly(runner, start, true).await,
        }
    }

    async fn stop(&self, runner: &RunnerEndpoint, run: &RunName) -> Option<u64> {
        let attempt = self.delegate_or_bypass(runner, OrderBody::Stop(*run), Millis(0));
        match attempt.await {
            DelegateAttempt::Executed(DelegateOutcome::Stop(clock_ms)) => {
                self.record_path(runner, false, clock_ms.is_some());
                clock_ms
            }
            DelegateAttempt::Late => None,
            _ => self.stop_directly(runner, run).await,
        }
    }

    async fn pace(&self, runner: &RunnerEndpoint, run: &RunName, percent: u32) -> bool {
        let attempt = self.delegate_or_bypass(runner, OrderBody::Pace(*run, percent), Millis(0));
        match attempt.await {
            DelegateAttempt::Executed(DelegateOutcome::Pace(accepted)) => accepted,
            DelegateAttempt::Late => false,
            _ => self.pace_directly(runner, run, percent).await,
        }
    }
}
