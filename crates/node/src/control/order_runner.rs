use {
    super::{
        ControlEvent,
        owner_actor::{ActorParts, OwnerActor, tell},
        start_gates::StartGates,
        wave_reports::WaveReports,
    },
    crate::{
        journal::JobJournal,
        ports::{HoldCall, RunnerPeer},
    },
    goldcreststall_core::ids::LocalTime,
    goldcreststall_dispatch::{
        owner::{
            AdviceOrder, HostAnswer, OwnerOrder, OwnerState, RunOrder, StartAnswer, StartOrder,
        },
        runners::RunnerKey,
    },
    kameo::actor::WeakActorRef,
    slog::{info, warn},
    std::sync::Arc,
};

/// Carries out the orders of one term, each in a task of its own but for the reports of waves.
pub(super) struct OrderRunner {
    pub(super) own: WeakActorRef<OwnerActor>,
    pub(super) parts: ActorParts,
    pub(super) token: u64,
    pub(super) reports: WaveReports,
    pub(super) gates: StartGates,
}

impl OrderRunner {
    /// Carries out an order.
    pub(super) fn run(&self, order: OwnerOrder, state: &OwnerState, now: LocalTime) {
        match order {
            OwnerOrder::Hold {
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
            OwnerOrder::Advise(order) => self.advise(state, order),
            OwnerOrder::Start(order) => self.start(state, order),
            OwnerOrder::Stop(order) => self.stop(state, order),
            OwnerOrder::Pace(order, percent) => self.pace(state, order, percent),
            OwnerOrder::MoveHost { host, pool } => self.move_host(host, pool),
            OwnerOrder::MaintainHost { host, wave } => self.maintain(host, wave),
            OwnerOrder::ReportWave { wave, completed } => self.reports.report(wave, completed),
            OwnerOrder::Reply { .. } => {}
        }
    }

    fn peer(&self, state: &OwnerState, runner: RunnerKey) -> Option<RunnerPeer> {
        let (id, address) = state.runner_address(runner)?;
        Some(RunnerPeer {
            address,
            id: id.to_owned(),
            token: self.token,
        })
    }

    fn hold(&self, state: &OwnerState, runner: RunnerKey, call: HoldCall, sent: LocalTime) {
        let Some(peer) = self.peer(state, runner) else {
            return;
        };
        let service = Arc::clone(&self.parts.runners);
        let own = self.own.clone();
        let token = self.token;
        self.parts.metrics.count_order("hold");
        tokio::spawn(async move {
            let answer = service.hold(&peer, call).await;
            let event = ControlEvent::HoldAnswered {
                token,
                runner,
                sent,
                last_seen: call.last_seen,
                answer,
            };
            tell(&own, event).await;
        });
    }

    fn advise(&self, state: &OwnerState, order: AdviceOrder) {
        let service = Arc::clone(&self.parts.advice);
        let own = self.own.clone();
        let token = self.token;
        let ids = order
            .runners
            .iter()
            .map(|runner| state.runner_address(*runner));
        let ids: Vec<String> = ids.flatten().map(|(id, _)| id.to_owned()).collect();
        self.parts.metrics.count_order("advise");
        tokio::spawn(async move {
            let answer = service.advise(order.name, &ids).await;
            let event = ControlEvent::Advised {
                token,
                order,
                answer,
            };
            tell(&own, event).await;
        });
    }

    fn start(&self, state: &OwnerState, order: StartOrder) {
        let Some(peer) = self.peer(state, order.runner) else {
            return;
        };
        let service = Arc::clone(&self.parts.runners);
        let own = self.own.clone();
        let token = self.token;
        let gates = self.gates.clone();
        let lease = self.parts.lease.clone();
        self.parts.metrics.count_order("start");
        tokio::spawn(async move {
            let _turn = gates.enter(order.runner).await;
            // The lease may have ended while the order waited.
            let answer = if lease.holds() {
                service.start(&peer, &order).await
            } else {
                StartAnswer::NotSent
            };
            let event = ControlEvent::StartAnswered {
                token,
                order: Box::new(order),
                answer,
            };
            tell(&own, event).await;
        });
    }

    fn stop(&self, state: &OwnerState, order: RunOrder) {
        let Some(peer) = self.peer(state, order.runner) else {
            return;
        };
        let service = Arc::clone(&self.parts.runners);
        let own = self.own.clone();
        let token = self.token;
        self.parts.metrics.count_order("stop");
        tokio::spawn(async move {
            let clock_ms = service.stop(&peer, &order).await;
            let event = ControlEvent::StopAnswered {
                token,
                order,
                clock_ms,
            };
            tell(&own, event).await;
        });
    }

    fn pace(&self, state: &OwnerState, order: RunOrder, percent: u32) {
        let Some(peer) = self.peer(state, order.runner) else {
            return;
        };
        let service = Arc::clone(&self.parts.runners);
        let logger = self.parts.logger.clone();
        self.parts.metrics.count_order("pace");
        tokio::spawn(async move {
            if !service.pace(&peer, &order, percent).await {
                warn!(logger, "owner: an order to change the pace was lost";
                    "id" => %order.name, "run" => order.run, "percent" => percent);
            }
        });
    }

    fn move_host(&self, host: String, pool: String) {
        let service = Arc::clone(&self.parts.hosts);
        let own = self.own.clone();
        let token = self.token;
        let logger = self.parts.logger.clone();
        self.parts.metrics.count_order("move");
        tokio::spawn(async move {
            let answer = service.move_host(&host, &pool, token).await;
            info!(logger, "owner: move answered"; "id" => &host, "pool" => pool, "answer" => ?answer);
            host_answered(&own, token, host, answer).await;
        });
    }

    fn maintain(&self, host: String, wave: u64) {
        let service = Arc::clone(&self.parts.hosts);
        let own = self.own.clone();
        let token = self.token;
        let logger = self.parts.logger.clone();
        self.parts.metrics.count_order("maintain");
        tokio::spawn(async move {
            let answer = service.maintain(&host, wave, token).await;
            info!(logger, "owner: maintenance answered"; "id" => &host, "wave" => wave,
                "answer" => ?answer);
            host_answered(&own, token, host, answer).await;
        });
    }

    /// Stores the next batch if one waits; returns the journal when none does.
    pub(super) fn store_next(
        &self,
        mut journal: Box<JobJournal>,
        state: &mut OwnerState,
    ) -> Option<Box<JobJournal>> {
        let Some(batch) = state.take_batch() else {
            return Some(journal);
        };
        let own = self.own.clone();
        let token = self.token;
        self.parts.metrics.count_order("append");
        tokio::spawn(async move {
            let trouble = || {
                let own = own.clone();
                tokio::spawn(async move { tell(&own, ControlEvent::StoreTrouble(token)).await });
            };
            let end = journal.store_batch(&batch.records, trouble).await;
            let event = ControlEvent::BatchEnded {
                token,
                batch: batch.id,
                end,
                journal,
            };
            tell(&own, event).await;
        });
        None
    }
}

async fn host_answered(
    own: &WeakActorRef<OwnerActor>,
    token: u64,
    host: String,
    answer: HostAnswer,
) {
    let event = ControlEvent::HostAnswered {
        token,
        host,
        answer,
    };
    tell(own, event).await;
}
