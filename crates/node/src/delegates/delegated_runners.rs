use {
    super::{
        DelegateOrder, DelegateOutcome, DelegateRegistry, OrderBody,
        unreached_runners::UnreachedRunners,
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
    unreached: Mutex<UnreachedRunners>,
}

impl DelegatedRunners {
    /// Creates a service that prefers the delegates in `registry` to `direct`.
    pub fn new(direct: Arc<dyn RunnerService>, registry: DelegateRegistry) -> Self {
        Self {
            direct,
            registry,
            unreached: Mutex::default(),
        }
    }

    /// Returns the service that sends commands without a delegate; `None` when this process may send none.
    fn direct_service(&self) -> Option<&dyn RunnerService> {
        self.registry.is_lease_held().then_some(&*self.direct)
    }

    /// Returns whether the owner calls the runner itself, because its delegate did not reach it.
    fn is_unreached(&self, runner: &RunnerEndpoint) -> bool {
        self.unreached.lock().contains(&runner.id, BootClock.now())
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
        let Some(direct) = self.direct_service() else {
            return if may_be_sent {
                StartResponse::Unknown
            } else {
                StartResponse::NotSent
            };
        };
        let response = direct.start(runner, start).await;
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
        let direct = self.is_unreached(runner);
        let response = if direct {
            self.direct_service()?.hold(runner, call).await
        } else {
            let body = OrderBody::Hold(call);
            match self.delegate(runner, body, call.wait).await {
                DelegateAttempt::Executed(DelegateOutcome::Hold(response)) => response,
                DelegateAttempt::Late => None,
                _ => return self.direct_service()?.hold(runner, call).await,
            }
        };
        if response.is_none() {
            let mut unreached = self.unreached.lock();
            unreached.record_silence(&runner.id, direct, BootClock.now());
        }
        response
    }

    async fn start(&self, runner: &RunnerEndpoint, start: &RunStart) -> StartResponse {
        let body = OrderBody::Start(start.clone());
        match self.delegate(runner, body, Millis(0)).await {
            DelegateAttempt::NotSent
            | DelegateAttempt::Executed(DelegateOutcome::Start(StartResponse::NotSent)) => {
                self.start_directly(runner, start, false).await
            }
            DelegateAttempt::Executed(DelegateOutcome::Start(response)) => response,
            DelegateAttempt::Late => StartResponse::Unknown,
            _ => self.start_directly(runner, start, true).await,
        }
    }

    async fn stop(&self, runner: &RunnerEndpoint, run: &RunName) -> Option<u64> {
        // Only hold calls tell that a delegate does not reach a runner: a stop may also fail because the runner takes no
        // further connection, and then the hold calls must keep theirs.
        if self.is_unreached(runner) {
            return self.direct_service()?.stop(runner, run).await;
        }
        let body = OrderBody::Stop(*run);
        match self.delegate(runner, body, Millis(0)).await {
            DelegateAttempt::Executed(DelegateOutcome::Stop(clock_ms)) => clock_ms,
            DelegateAttempt::Late => None,
            _ => self.direct_service()?.stop(runner, run).await,
        }
    }

    async fn pace(&self, runner: &RunnerEndpoint, run: &RunName, percent: u32) -> bool {
        let body = OrderBody::Pace(*run, percent);
        match self.delegate(runner, body, Millis(0)).await {
            DelegateAttempt::Executed(DelegateOutcome::Pace(accepted)) => accepted,
            DelegateAttempt::Late => false,
            _ => match self.direct_service() {
                Some(direct) => direct.pace(runner, run, percent).await,
                None => false,
            },
        }
    }
}
