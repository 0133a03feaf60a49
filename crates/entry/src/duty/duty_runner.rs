use {
    super::{DutyCommand, WorkerPoller},
    crate::{
        control::{ControlActor, PlanDuties, ReadHosts},
        peering::PeerState,
    },
    goldcreststall_core::{duties::Duty, ids::Millis},
    goldcreststall_platform::{hosts::HostControl, worker_service::WorkerService},
    kameo::actor::ActorRef,
    slog::{Logger, info, warn},
    std::{sync::Arc, time::Duration},
    tokio::task::JoinSet,
};

const ROUND_INTERVAL: Millis = Millis(500);

/// Periodically plans the duties of this entry host and executes the resulting commands.
pub(crate) struct DutyRunner {
    actor: ActorRef<ControlActor>,
    peer_state: Arc<PeerState>,
    host_control: Arc<dyn HostControl>,
    logger: Logger,
    service: Arc<dyn WorkerService>,
    poller: WorkerPoller,
}

impl DutyRunner {
    pub(crate) fn new(
        actor: ActorRef<ControlActor>,
        peer_state: Arc<PeerState>,
        host_control: Arc<dyn HostControl>,
        service: Arc<dyn WorkerService>,
        logger: Logger,
    ) -> Self {
        let poller = WorkerPoller::new(Arc::clone(&service));
        Self {
            actor,
            peer_state,
            host_control,
            logger,
            service,
            poller,
        }
    }

    /// Runs until the actor ends.
    pub(crate) async fn run(mut self) {
        while let Ok(fleet) = self.actor.ask(ReadHosts).await {
            let holds = |pool| self.peer_state.holds(&Duty::Placement(pool));
            if fleet.pools.into_iter().any(holds) {
                self.poller.poll(&fleet.hosts).await;
            } else {
                self.poller.reset();
            }
            let poller = std::mem::replace(
                &mut self.poller,
                WorkerPoller::new(Arc::clone(&self.service)),
            );
            let Ok(round) = self.actor.ask(PlanDuties { poller }).await else {
                return;
            };
            self.poller = round.poller;
            for line in &round.plan.log_lines {
                info!(self.logger, "{}", line);
            }
            self.execute(round.plan.commands).await;
            tokio::time::sleep(Duration::from_millis(ROUND_INTERVAL.0)).await;
        }
    }

    async fn execute(&self, commands: Vec<DutyCommand>) {
        let mut calls = JoinSet::new();
        for command in commands {
            let host_control = Arc::clone(&self.host_control);
            let service = Arc::clone(&self.service);
            let logger = self.logger.clone();
            calls.spawn(async move {
                if let Err(error) = execute(&*host_control, &*service, &command).await {
                    // The next rounds plan the command again for as long as it is needed.
                    warn!(logger, "place: a command was not carried out"; "command" => ?command, "error" => error);
                }
            });
        }
        calls.join_all().await;
    }
}

async fn execute(
    host_control: &dyn HostControl,
    service: &dyn WorkerService,
    command: &DutyCommand,
) -> Result<(), String> {
    let result = match command {
        DutyCommand::Checkpoint(worker, task) => service.checkpoint(worker, task).await.err(),
        DutyCommand::Fence(worker, task) => service.fence(worker, task).await.err(),
        DutyCommand::Forget(worker, task) => service.forget(worker, task).await.err(),
        DutyCommand::Reboot(host, incarnation) => {
            let rebooted = host_control.reboot(host, *incarnation).await;
            return rebooted.map_err(|error| error.to_string());
        }
        DutyCommand::Start(worker, request) => service.start(worker, request).await.err(),
        DutyCommand::Stop(worker, task) => service.stop(worker, task).await.err(),
        DutyCommand::Throttle(worker, request) => service.throttle(worker, request).await.err(),
    };
    result.map_or(Ok(()), |error| Err(error.to_string()))
}
