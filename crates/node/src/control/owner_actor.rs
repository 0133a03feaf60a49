use {
    super::{
        ControlEvent,
        command_executor::CommandExecutor,
        owner_term::{OwnerTerm, QueuedCall},
    },
    crate::{
        election::OwnerLease,
        journal::BatchOutcome,
        metrics::NodeMetrics,
        ports::{AdviceService, HostService, PlatformStore, RunnerService},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{
        owner::{CallResponse, JobCall, JobMemoryLimit, OwnerCommand, OwnerState, WaveRequest},
        routes::{FleetRules, ServiceBounds},
        runners::RunnerReport,
    },
    goldcreststall_entry::clock::{BootClock, wall_time},
    kameo::{
        Actor,
        actor::{ActorRef, WeakActorRef},
        message::{Context, Message},
    },
    slog::{Logger, info},
    std::{convert::Infallible, sync::Arc},
    tokio::sync::oneshot,
};

/// How long the store may fail to take a batch before submissions are refused.
const STORE_FAILURE_TIMEOUT: Millis = Millis(900);

/// Arguments of [`OwnerActor`]: its settings and the services that it uses.
#[derive(Clone)]
pub struct ActorArgs {
    /// Commands may be sent only while this lease is held.
    pub lease: OwnerLease,
    /// Bounds of the deployment.
    pub bounds: ServiceBounds,
    /// Bytes per second that this host's link carries.
    pub link_rate: u64,
    /// Limit on the memory that jobs hold.
    pub job_memory: JobMemoryLimit,
    /// Log of decisions.
    pub logger: Logger,
    /// How long the maintenance of a host takes.
    pub maintenance: Millis,
    /// Longest lease that a runner accepts.
    pub max_lease: Millis,
    /// Counters and histograms.
    pub metrics: Arc<NodeMetrics>,
    /// The advice service.
    pub advice: Arc<dyn AdviceService>,
    /// The runners.
    pub runners: Arc<dyn RunnerService>,
    /// The host service.
    pub hosts: Arc<dyn HostService>,
    /// The store.
    pub store: Arc<dyn PlatformStore>,
}

/// Holds the owner's state while this process is the owner.
pub struct OwnerActor {
    pub(super) args: ActorArgs,
    pub(super) actor: WeakActorRef<Self>,
    pub(super) rules: Arc<FleetRules>,
    pub(super) term: Option<OwnerTerm>,
    /// The newest request of each wave, sorted by number.
    pub(super) waves: Vec<WaveRequest>,
    /// The newest list of runners of this term. It may arrive before the store was read, and arrives again only after
    /// a change.
    pub(super) runners: Option<Vec<RunnerReport>>,
}

impl Actor for OwnerActor {
    type Args = ActorArgs;
    type Error = Infallible;

    async fn on_start(args: ActorArgs, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            actor: actor.downgrade(),
            args,
            rules: Arc::default(),
            term: None,
            waves: Vec::new(),
            runners: None,
        })
    }
}

impl Message<ControlEvent> for OwnerActor {
    type Reply = ();

    async fn handle(&mut self, event: ControlEvent, _context: &mut Context<Self, ()>) {
        let now = BootClock.now();
        self.handle_event(event, now);
        self.run_commands(now);
    }
}

impl OwnerActor {
    fn handle_event(&mut self, event: ControlEvent, now: LocalTime) {
        match event {
            ControlEvent::AdviceReceived {
                token,
                command,
                response,
            } => {
                if let Some(state) = self.state_of_term(token) {
                    state.advice_received(&command, response, now);
                }
            }
            ControlEvent::BatchEnded {
                token,
                batch,
                outcome,
                journal,
            } => {
                let Some(term) = self.term.as_mut().filter(|term| term.token == token) else {
                    return;
                };
                if outcome == BatchOutcome::Fenced {
                    self.end_term("a newer owner writes");
                    return;
                }
                term.store_failing_since = None;
                term.journal = Some(journal);
                if let Some(state) = &mut term.state {
                    state.batch_stored(batch, now);
                }
            }
            ControlEvent::Call { call, reply } => self.handle_call(call, reply, now),
            ControlEvent::TermEnded => self.end_term("the election ended it"),
            ControlEvent::Elected(token) => self.start_term(token, now),
            ControlEvent::HostAnswered {
                token,
                host,
                response,
            } => {
                let is_newest_owner = self
                    .state_of_term(token)
                    .is_none_or(|state| state.host_answered(&host, response, now));
                if !is_newest_owner {
                    self.end_term("the host service has seen a newer owner");
                }
            }
            ControlEvent::HostsListed(reports) => {
                let maintenance = self.args.maintenance;
                if let Some(state) = self.state() {
                    state.hosts_listed(reports, now, maintenance);
                }
            }
            ControlEvent::HoldAnswered {
                token,
                runner,
                sent,
                last_seen,
                response,
            } => {
                if let Some(state) = self.state_of_term(token) {
                    match response {
                        Some(lists) => state.hold_answered(runner, sent, last_seen, lists, now),
                        None => state.hold_missed(runner, now),
                    }
                }
            }
            ControlEvent::Restored {
                token,
                records,
                journal,
            } => self.handle_restored(token, records, journal, now),
            ControlEvent::Rules(rules) => {
                self.rules = Arc::clone(&rules);
                if let Some(state) = self.state() {
                    state.set_rules(rules);
                }
            }
            ControlEvent::RunnersListed(reports) => {
                self.runners = Some(reports.clone());
                if let Some(state) = self.state() {
                    state.runners_listed(reports, now);
                }
            }
            ControlEvent::StartAnswered {
                token,
                command,
                response,
            } => {
                let is_newest_owner = self
                    .state_of_term(token)
                    .is_none_or(|state| state.start_answered(&command, response, now));
                if !is_newest_owner {
                    self.end_term("a runner has seen a newer owner");
                }
            }
            ControlEvent::StopAnswered {
                token,
                command,
                clock_ms,
            } => {
                if let Some(state) = self.state_of_term(token) {
                    state.stop_answered(&command, clock_ms, now);
                }
            }
            ControlEvent::StoreFailing(token) => self.handle_store_failing(token, now),
            ControlEvent::TextsRead {
                token,
                texts,
                complete,
            } => {
                if let Some(state) = self.state_of_term(token) {
                    state.texts_restored(texts, complete);
                }
            }
            ControlEvent::Tick => {}
            ControlEvent::Wave(request) => {
                self.record_wave(request.clone());
                if let Some(state) = self.state() {
                    state.wave_requested(request, now);
                }
            }
        }
    }

    /// Records a request for later terms. The operator may replace one, and all are read again after records have expired.
    fn record_wave(&mut self, request: WaveRequest) {
        let number = |wave: &WaveRequest| wave.number;
        match self.waves.binary_search_by_key(&request.number, number) {
            Ok(index) => self.waves[index] = request,
            Err(index) => self.waves.insert(index, request),
        }
    }

    fn state(&mut self) -> Option<&mut OwnerState> {
        self.term.as_mut()?.state.as_mut()
    }

    fn state_of_term(&mut self, token: u64) -> Option<&mut OwnerState> {
        let term = self.term.as_mut().filter(|term| term.token == token)?;
        term.state.as_mut()
    }

    fn end_term(&mut self, reason: &'static str) {
        self.runners = None;
        if let Some(term) = self.term.take() {
            self.args.lease.resign(term.token);
            self.args.metrics.record_job_bytes(0);
            info!(self.args.logger, "owner: the term has ended"; "token" => term.token,
                "why" => reason);
        }
    }

    pub(super) fn handle_call(
        &mut self,
        call: JobCall,
        reply: oneshot::Sender<CallResponse>,
        now: LocalTime,
    ) {
        // Without a lease there may be a newer owner, with jobs and cancellations that are unknown here.
        let lease_held = self.args.lease.is_held();
        let Some(term) = self.term.as_mut().filter(|_| lease_held) else {
            // The caller's entry host turns this into a refusal: nothing was done.
            let _ = reply.send(CallResponse::Unavailable);
            return;
        };
        let Some(state) = &mut term.state else {
            term.queued_calls.push_back(QueuedCall {
                arrived: now,
                call,
                reply,
            });
            return;
        };
        // A known job may be stored, so that its repeated submission must not be refused.
        let submitted = call.submitted_id();
        let is_submission = submitted.is_some_and(|id| !state.knows_job(id));
        let failing_too_long = |since: LocalTime| now.since(since) > STORE_FAILURE_TIMEOUT;
        if is_submission && term.store_failing_since.is_some_and(failing_too_long) {
            let _ = reply.send(CallResponse::Unavailable);
            return;
        }
        let call_id = term.waiting.add(reply);
        state.call(call_id, call, now);
    }

    fn handle_store_failing(&mut self, token: u64, now: LocalTime) {
        let Some(term) = self.term.as_mut().filter(|term| term.token == token) else {
            return;
        };
        let since = *term.store_failing_since.get_or_insert(now);
        if now.since(since) > STORE_FAILURE_TIMEOUT
            && let Some(state) = &mut term.state
        {
            state.refuse_unsent();
        }
    }

    /// Makes the decisions that are due, executes their commands and stores their records.
    fn run_commands(&mut self, now: LocalTime) {
        let lease_held = self.args.lease.is_held();
        let Some(term) = &mut self.term else {
            return;
        };
        let Some(state) = &mut term.state else {
            term.refuse_overdue(now);
            return;
        };
        state.record_renewal(self.args.lease.newest_token(term.token));
        if lease_held {
            state.tick(now, wall_time().0);
        }
        for event in state.take_events() {
            info!(self.args.logger, "owner: {}", event.event;
                "token" => term.token, "id" => event.subject, "inputs" => event.detail);
        }
        self.args
            .metrics
            .count_waits(&mut term.counted_waits, state.wait_counts());
        self.args
            .metrics
            .count_refusals(&mut term.counted_refusals, state.refusal_counts());
        self.args.metrics.record_job_bytes(state.job_bytes());
        if let Some(reports) = state.take_organisation_reports(now) {
            self.args.metrics.set_organisations(&reports);
        }
        let executor = CommandExecutor {
            actor: self.actor.clone(),
            args: self.args.clone(),
            token: term.token,
            reports: term.reports.clone(),
            limiter: term.limiter.clone(),
            waiting_starts: term.waiting_starts.clone(),
            host_limiter: Arc::clone(&term.host_limiter),
            stop: term.stop.clone(),
        };
        for command in state.take_commands() {
            match command {
                OwnerCommand::Reply { call_id, response } => term.waiting.send(call_id, response),
                command => executor.execute(command, state, now),
            }
        }
        if let Some(journal) = term.journal.take() {
            term.journal = executor.store_next(journal, state);
        }
    }
}
