use {
    crate::{
        delegates::CommandLimiter,
        ports::{HoldCall, RunnerEndpoint, RunnerService},
    },
    async_trait::async_trait,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        owner::{RunName, RunStart, StartResponse},
        runners::HoldResponse,
    },
    slog::{Logger, warn},
    std::{sync::Arc, time::Duration},
};

/// Stops that are sent for a run whose lease is overlong, until one of them is answered.
const MAX_STOP_ATTEMPTS: u32 = 3;
/// Delay after a stop without an answer.
const STOP_RETRY_DELAY: Millis = Millis(100);

/// Stops runs that have begun, or may have, under a longer lease than an owner grants.
///
/// A runner that has restarted under its id executes a start that was meant for its earlier instance, and the deadline on
/// the clock of that one grants the longest lease that it accepts. The owner stops such a run too, and each run whose start
/// got no answer, but may have lost its own lease by then, and a successor that cannot reach the runner would not wait for so
/// long. Therefore the process that has sent the start stops the run as well. A stop is idempotent. It is refused by a runner
/// that has seen a higher token: that of a successor, or one with which the owner has fenced the next instance after its restart
/// was stored.
pub struct GuardedRunners {
    runners: Arc<dyn RunnerService>,
    limiter: CommandLimiter,
    logger: Logger,
}

impl GuardedRunners {
    /// Creates a guard of the starts that `runners` sends. Stops that do not belong to a start in flight are sent as
    /// `limiter` allows.
    pub fn new(runners: Arc<dyn RunnerService>, limiter: CommandLimiter, logger: Logger) -> Self {
        Self {
            runners,
            limiter,
            logger,
        }
    }

    /// Stops a run until a stop is answered; returns whether one was.
    async fn stop_overlong(&self, runner: &RunnerEndpoint, run: &RunName) -> bool {
        for _ in 0..MAX_STOP_ATTEMPTS {
            if self.runners.stop(runner, run).await.is_some() {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(STOP_RETRY_DELAY.0)).await;
        }
        false
    }

    /// Sends a stop of a run whose start got no answer, while the owner, which repeats it, learns of that already.
    fn stop_unanswered(&self, runner: &RunnerEndpoint, run: RunName) {
        let runners = Arc::clone(&self.runners);
        let runner = runner.clone();
        let limiter = self.limiter.clone();
        tokio::spawn(async move {
            let _permit = limiter.acquire(&runner.id).await;
            runners.stop(&runner, &run).await
        });
    }
}

#[async_trait]
impl RunnerService for GuardedRunners {
    async fn hold(&self, runner: &RunnerEndpoint, call: HoldCall) -> Option<HoldResponse> {
        self.runners.hold(runner, call).await
    }

    /// Starts a run, and stops it before the response is returned if its lease is overlong. A run without an answer is
    /// stopped afterwards.
    async fn start(&self, runner: &RunnerEndpoint, start: &RunStart) -> StartResponse {
        let response = self.runners.start(runner, start).await;
        let run = RunName {
            name: start.name,
            run: start.run,
        };
        if response == StartResponse::Unknown {
            self.stop_unanswered(runner, run);
        } else if response.is_overlong(start.deadline_ms) {
            let stopped = self.stop_overlong(runner, &run).await;
            warn!(self.logger, "runner: a run began under an overlong lease"; "runner" => &runner.id,
                "id" => %run.name, "run" => run.run, "deadline_ms" => start.deadline_ms,
                "answer" => ?response, "stopped" => stopped);
        }
        response
    }

    async fn stop(&self, runner: &RunnerEndpoint, run: &RunName) -> Option<u64> {
        self.runners.stop(runner, run).await
    }

    async fn pace(&self, runner: &RunnerEndpoint, run: &RunName, percent: u32) -> bool {
        self.runners.pace(runner, run, percent).await
    }
}
