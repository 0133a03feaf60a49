use {
    super::{
        ControlEvent,
        actor_events::send_event,
        owner_actor::{ActorArgs, OwnerActor},
        waiting_starts::WaitingStarts,
        wave_reports::WaveReports,
    },
    crate::{
        delegates::CommandLimiter,
        journal::JobJournal,
        ports::{HoldCall, RunnerEndpoint},
    },
    goldcreststall_core::ids::LocalTime,
    goldcreststall_dispatch::{
        owner::{
            AdviceCommand, HostResponse, OwnerCommand, OwnerState, RunCommand, StartCommand,
            StartResponse,
        },
        runners::RunnerKey,
    },
    kameo::actor::WeakActorRef,
    slog::{info, warn},
    std::sync::Arc,
    tokio::sync::Semaphore,
    tokio_util::sync::CancellationToken,
};

/// Executes the commands of one term, each in its own task except the reports of waves, which are stored in order.
pub(super) struct CommandExecutor {
    pub(super) actor: WeakActorRef<OwnerActor>,
    pub(super) args: ActorArgs,
    pub(super) token: u64,
    pub(super) reports: WaveReports,
    pub(super) limiter: CommandLimiter,
    pub(super) waiting_starts: WaitingStarts,
    pub(super) host_limiter: Arc<Semaphore>,
    pub(super) stop: CancellationToken,
}

impl CommandExecutor {
    pub(super) fn execute(&self, command: OwnerCommand, state: &OwnerState, now: LocalTime) {
        match command {
            OwnerCommand::Hold {
                runner,
                deadline_ms,
                last_seen,
                wait,
            } => {
                let call = HoldCall {
                    deadline_ms,
                    last_seen,
                    wait,
                };
                self.hold(state, runner, call, now);
            }
            OwnerCommand::Advise(command) => self.advise(state, command),
            OwnerCommand::Start(command) => self.start(state, command),
            OwnerCommand::Stop(command) => self.stop(state, command),
            OwnerCommand::Withdraw(name) => {
                self.waiting_starts.remove(&name);
            }
            OwnerCommand::Pace(command, percent) => self.pace(state, command, percent),
            OwnerCommand::MoveHost { host, pool } => self.move_host(host, pool),
            OwnerCommand::MaintainHost { host, wave } => self.maintain(host, wave),
            OwnerCommand::ReportWave { wave, completed } => self.reports.report(wave, completed),
            OwnerCommand::Reply { .. } => {}
        }
    }

    fn endpoint(&self, state: &OwnerState, runner: RunnerKey) -> Option<RunnerEndpoint> {
        let report = state.runner_report(runner)?;
        Some(RunnerEndpoint {
            address: report.address,
            id: report.id.clone(),
            token: state.command_token(runner)?,
            data_centre: report.data_centre.clone(),
        })
    }

    fn hold(&self, state: &OwnerState, runner: RunnerKey, call: HoldCall, sent: LocalTime) {
        let Some(endpoint) = self.endpoint(state, runner) else {
            return;
        };
        let service = Arc::clone(&self.args.runners);
        let actor = self.actor.clone();
        let token = self.token;
        self.args.metrics.count_command("hold");
        tokio::spawn(async move {
            let response = service.hold(&endpoint, call).await;
            let event = ControlEvent::HoldAnswered {
                token,
                runner,
                sent,
                last_seen: call.last_seen,
                response,
            };
            send_event(&actor, event).await;
        });
    }

    fn advise(&self, state: &OwnerState, command: AdviceCommand) {
        let service = Arc::clone(&self.args.advice);
        let actor = self.actor.clone();
        let token = self.token;
        let ids = command
            .runners
            .iter()
            .map(|runner| state.runner_address(*runner));
        let ids: Vec<String> = ids.flatten().map(|(id, _)| id.to_owned()).collect();
        self.args.metrics.count_command("advise");
        tokio::spawn(async move {
            let response = service.advise(command.name, &ids).await;
            let event = ControlEvent::AdviceReceived {
                token,
                command,
                response,
            };
            send_event(&actor, event).await;
        });
    }

    fn start(&self, state: &OwnerState, command: StartCommand) {
        let Some(endpoint) = self.endpoint(state, command.runner) else {
            return;
        };
        let service = Arc::clone(&self.args.runners);
        let actor = self.actor.clone();
        let token = self.token;
        let limiter = self.limiter.clone();
        let lease = self.args.lease.clone();
        let waiting_starts = self.waiting_starts.clone();
        waiting_starts.add(command.run_name());
        self.args.metrics.count_command("start");
        tokio::spawn(async move {
            let _permit = limiter.acquire(&endpoint.id).await;
            // The lease may have ended, or the run been stopped, while the command waited for the permit.
            let is_wanted = waiting_starts.remove(&command.run_name());
            let response = if is_wanted && lease.is_held() {
                service.start(&endpoint, &command.run_start()).await
            } else {
                StartResponse::NotSent
            };
            let event = ControlEvent::StartAnswered {
                token,
                command: Box::new(command),
                response,
            };
            send_event(&actor, event).await;
        });
    }

    fn stop(&self, state: &OwnerState, command: RunCommand) {
        let Some(endpoint) = self.endpoint(state, command.runner) else {
            return;
        };
        let service = Arc::clone(&self.args.runners);
        let actor = self.actor.clone();
        let token = self.token;
        self.waiting_starts.remove(&command.run_name());
        self.args.metrics.count_command("stop");
        tokio::spawn(async move {
            let clock_ms = service.stop(&endpoint, &command.run_name()).await;
            let event = ControlEvent::StopAnswered {
                token,
                command,
                clock_ms,
            };
            send_event(&actor, event).await;
        });
    }

    fn pace(&self, state: &OwnerState, command: RunCommand, percent: u32) {
        let Some(endpoint) = self.endpoint(state, command.runner) else {
            return;
        };
        let service = Arc::clone(&self.args.runners);
        let logger = self.args.logger.clone();
        self.args.metrics.count_command("pace");
        tokio::spawn(async move {
            if !service.pace(&endpoint, &command.run_name(), percent).await {
                warn!(logger, "owner: a command to change the pace was lost";
                    "id" => %command.name, "run" => command.run, "percent" => percent);
            }
        });
    }

    fn move_host(&self, host: String, pool: String) {
        let service = Arc::clone(&self.args.hosts);
        let actor = self.actor.clone();
        let token = self.token;
        let logger = self.args.logger.clone();
        let lease = self.args.lease.clone();
        let limiter = Arc::clone(&self.host_limiter);
        self.args.metrics.count_command("move");
        tokio::spawn(async move {
            let sending = async {
                // Fails only for a closed semaphore, and this one is never closed.
                let _permit = limiter.acquire().await.ok();
                service.move_host(&host, &pool, token).await
            };
            let response = lease.run_while_held(sending).await;
            let response = response.unwrap_or(HostResponse::Unknown);
            info!(logger, "owner: the host service answered a move command"; "id" => &host,
                "pool" => pool, "answer" => ?response);
            send_host_answered(&actor, token, host, response).await;
        });
    }

    fn maintain(&self, host: String, wave: u64) {
        let service = Arc::clone(&self.args.hosts);
        let actor = self.actor.clone();
        let token = self.token;
        let logger = self.args.logger.clone();
        let lease = self.args.lease.clone();
        let limiter = Arc::clone(&self.host_limiter);
        self.args.metrics.count_command("maintain");
        tokio::spawn(async move {
            let sending = async {
                // Fails only for a closed semaphore, and this one is never closed.
                let _permit = limiter.acquire().await.ok();
                service.maintain(&host, wave, token).await
            };
            let response = lease.run_while_held(sending).await;
            let response = response.unwrap_or(HostResponse::Unknown);
            info!(logger, "owner: the host service answered a maintenance command";
                "id" => &host, "wave" => wave, "answer" => ?response);
            send_host_answered(&actor, token, host, response).await;
        });
    }

    /// Starts to store the next batch of records. Returns the journal when no batch is waiting.
    pub(super) fn store_next(
        &self,
        mut journal: Box<JobJournal>,
        state: &mut OwnerState,
    ) -> Option<Box<JobJournal>> {
        let Some(batch) = state.take_batch() else {
            return Some(journal);
        };
        let actor = self.actor.clone();
        let token = self.token;
        let stop = self.stop.clone();
        self.args.metrics.count_command("append");
        tokio::spawn(async move {
            let on_failure = || {
                let actor = actor.clone();
                tokio::spawn(
                    async move { send_event(&actor, ControlEvent::StoreFailing(token)).await },
                );
            };
            let storing = journal.store_batch(&batch.records, on_failure);
            let Some(outcome) = stop.run_until_cancelled(storing).await else {
                return;
            };
            let event = ControlEvent::BatchEnded {
                token,
                batch: batch.id,
                outcome,
                journal,
            };
            send_event(&actor, event).await;
        });
        None
    }
}

async fn send_host_answered(
    actor: &WeakActorRef<OwnerActor>,
    token: u64,
    host: String,
    response: HostResponse,
) {
    let event = ControlEvent::HostAnswered {
        token,
        host,
        response,
    };
    send_event(actor, event).await;
}
