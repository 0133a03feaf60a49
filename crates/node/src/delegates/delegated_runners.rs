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
    /// Runners whose delegates get no answer to hold calls.
    hold_bypasses: Mutex<BypassTable>,
    /// Runners whose delegates get no answer to starts or stops. Hold calls may still be answered, on a connection that is
    /// open already, and must keep it then.
    command_bypasses: Mutex<BypassTable>,
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
            hold_bypasses: Mutex::default(),
            command_bypasses: Mutex::default(),
        }
    }

    /// Returns the service that sends commands without a delegate; `None` when this process may send none.
    fn direct_service(&self) -> Option<&dyn RunnerService> {
        self.registry.is_lease_held().then_some(&*self.direct)
    }

    fn bypasses_holds(&self, runner: &RunnerEndpoint) -> bool {
        let bypasses = self.hold_bypasses.lock();
        bypasses.contains(&runner.id, BootClock.now())
    }

    fn bypasses_commands(&self, runner: &RunnerEndpoint) -> bool {
        let bypasses = self.command_bypasses.lock();
        bypasses.contains(&runner.id, BootClock.now()) || self.bypasses_holds(runner)
    }

    /// Records that the delegate got no answer to a start or stop.
    fn bypass_commands(&self, runner: &RunnerEndpoint) {
        let mut bypasses = self.command_bypasses.lock();
        bypasses.insert(&runner.id, BootClock.now());
    }

    async fn hold_directly(&self, runner: &RunnerEndpoint, call: HoldCall) -> Option<HoldResponse> {
        let response = self.direct_service()?.hold(runner, call).await;
        if response.is_none() {
            self.hold_bypasses.lock().remove(&runner.id);
        }
        response
    }

    async fn stop_directly(&self, runner: &RunnerEndpoint, run: &RunName) -> Option<u64> {
        let _permit = self.limiter.acquire(&runner.id).await;
        let clock_ms = self.direct_service()?.stop(runner, run).await;
        if clock_ms.is_none() {
            self.command_bypasses.lock().remove(&runner.id);
        }
        clock_ms
    }

    async fn pace_directly(&self, runner: &RunnerEndpoint, run: &RunName, percent: u32) -> bool {
        let _permit = self.limiter.acquire(&runner.id).await;
        match self.direct_service() {
            Some(direct) => direct.pace(runner, run, percent).await,
            None => false,
        }
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
        let Some(direct) = self.direct_service() else {
            return if may_be_sent {
                StartResponse::Unknown
            } else {
                StartResponse::NotSent
            };
        };
        let response = direct.start(runner, start).await;
        if response == StartResponse::Unknown {
            self.command_bypasses.lock().remove(&runner.id);
        }
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
        if self.bypasses_holds(runner) {
            return self.hold_directly(runner, call).await;
        }
        let body = OrderBody::Hold(call);
        let response = match self.delegate(runner, body, call.wait).await {
            DelegateAttempt::Executed(DelegateOutcome::Hold(response)) => response,
            DelegateAttempt::Late => None,
            _ => return self.hold_directly(runner, call).await,
        };
        if response.is_none() {
            let mut bypasses = self.hold_bypasses.lock();
            bypasses.insert(&runner.id, BootClock.now());
        }
        response
    }

    async fn start(&self, runner: &RunnerEndpoint, start: &RunStart) -> StartResponse {
        if self.bypasses_commands(runner) {
            return self.start_directly(runner, start, false).await;
        }
        let body = OrderBody::Start(start.clone());
        match self.delegate(runner, body, Millis(0)).await {
            DelegateAttempt::NotSent
            | DelegateAttempt::Executed(DelegateOutcome::Start(StartResponse::NotSent)) => {
                self.start_directly(runner, start, false).await
            }
            DelegateAttempt::Executed(DelegateOutcome::Start(response)) => {
                if response == StartResponse::Unknown {
                    self.bypass_commands(runner);
                }
                response
            }
            DelegateAttempt::Late => StartResponse::Unknown,
            _ => self.start_directly(runner, start, true).await,
        }
    }

    async fn stop(&self, runner: &RunnerEndpoint, run: &RunName) -> Option<u64> {
        if self.bypasses_commands(runner) {
            return self.stop_directly(runner, run).await;
        }
        let body = OrderBody::Stop(*run);
        let clock_ms = match self.delegate(runner, body, Millis(0)).await {
            DelegateAttempt::Executed(DelegateOutcome::Stop(clock_ms)) => clock_ms,
            DelegateAttempt::Late => return None,
            _ => return self.stop_directly(runner, run).await,
        };
        if clock_ms.is_none() {
            self.bypass_commands(runner);
        }
        clock_ms
    }

    async fn pace(&self, runner: &RunnerEndpoint, run: &RunName, percent: u32) -> bool {
        if self.bypasses_holds(runner) {
            return self.pace_directly(runner, run, percent).await;
        }
        let body = OrderBody::Pace(*run, percent);
        match self.delegate(runner, body, Millis(0)).await {
            DelegateAttempt::Executed(DelegateOutcome::Pace(accepted)) => accepted,
            DelegateAttempt::Late => false,
            _ => self.pace_directly(runner, run, percent).await,
        }
    }
}
