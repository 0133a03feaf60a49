use {
    super::{
        ControlEvent, command_executor::CommandExecutor, owner_term::OwnerTerm,
        wave_reports::WaveReports,
    },
    crate::{
        election::OwnerLease,
        journal::{JobJournal, JournalEnd},
        metrics::NodeMetrics,
        ports::{AdviceService, HostService, PlatformStore, RunnerService},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{
        owner::{CallResponse, JobCall, OwnerCommand, OwnerState, WaveRequest},
        records::StoreRecord,
        routes::FleetRules,
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

/// Time without a stored batch after which submissions are refused.
const STORE_FAILURE_TIMEOUT: Millis = Millis(900);

/// What the actor works with.
#[derive(Clone)]
pub struct ActorParts {
    /// Until when commands may be given.
    pub lease: OwnerLease,
    /// Log of decisions.
    pub logger: Logger,
    /// Time that the maintenance of a host takes.
    pub maintenance: Millis,
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

/// Owns the state of the owner, while this process is it.
pub struct OwnerActor {
    parts: ActorParts,
    actor: WeakActorRef<Self>,
    rules: Arc<FleetRules>,
    term: Option<OwnerTerm>,
    waves: Vec<WaveRequest>,
    /// The newest list of runners of this term; it may come before the store was read, and comes again only
    /// when it has changed.
    runners: Option<Vec<RunnerReport>>,
}

impl Actor for OwnerActor {
    type Args = ActorParts;
    type Error = Infallible;

    async fn on_start(parts: ActorParts, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            actor: actor.downgrade(),
            parts,
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
        self.take(event, now);
        self.act(now);
    }
}

impl OwnerActor {
    fn take(&mut self, event: ControlEvent, now: LocalTime) {
        match event {
            ControlEvent::Advised {
                token,
                command,
                response,
            } => {
                if let Some(state) = self.state_of(token) {
                    state.advice_received(&command, response, now);
                }
            }
            ControlEvent::BatchEnded {
                token,
                batch,
                end,
                journal,
            } => {
                let Some(term) = self.term.as_mut().filter(|term| term.token == token) else {
                    return;
                };
                if end == JournalEnd::Fenced {
                    self.end_term("a newer owner writes");
                    return;
                }
                term.store_failing_since = None;
                term.journal = Some(journal);
                if let Some(state) = &mut term.state {
                    state.batch_stored(batch, now);
                }
            }
            ControlEvent::Call { call, reply } => self.call(call, reply, now),
            ControlEvent::TermEnded => self.end_term("the election says so"),
            ControlEvent::Elected(token) => self.begin_term(token, now),
            ControlEvent::HostAnswered {
                token,
                host,
                response,
            } => {
                let newest = self
                    .state_of(token)
                    .is_none_or(|state| state.host_answered(&host, response, now));
                if !newest {
                    self.end_term("the host service has seen a newer owner");
                }
            }
            ControlEvent::HostsListed(reports) => {
                let maintenance = self.parts.maintenance;
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
                if let Some(state) = self.state_of(token) {
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
            } => self.restored(token, records, journal, now),
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
                let newest = self
                    .state_of(token)
                    .is_none_or(|state| state.start_answered(&command, response, now));
                if !newest {
                    self.end_term("a runner has seen a newer owner");
                }
            }
            ControlEvent::StopAnswered {
                token,
                command,
                clock_ms,
            } => {
                if let Some(state) = self.state_of(token) {
                    state.stop_answered(&command, clock_ms, now);
                }
            }
            ControlEvent::StoreFailing(token) => self.store_failing(token, now),
            ControlEvent::Tick => {}
            ControlEvent::Wave(request) => {
                self.waves.push(request.clone());
                if let Some(state) = self.state() {
                    state.wave_requested(request, now);
                }
            }
        }
    }

    fn state(&mut self) -> Option<&mut OwnerState> {
        self.term.as_mut()?.state.as_mut()
    }

    fn state_of(&mut self, token: u64) -> Option<&mut OwnerState> {
        let term = self.term.as_mut().filter(|term| term.token == token)?;
        term.state.as_mut()
    }

    fn begin_term(&mut self, token: u64, now: LocalTime) {
        let store = Arc::clone(&self.parts.store);
        let logger = self.parts.logger.clone();
        let reports = WaveReports::start(Arc::clone(&store), token, logger.clone());
        self.term = Some(OwnerTerm::new(token, now, reports));
        let actor = self.actor.clone();
        tokio::spawn(async move {
            let begun = JobJournal::begin(store, token, logger).await;
            let event = match begun {
                Some((journal, records)) => ControlEvent::Restored {
                    token,
                    records,
                    journal: Box::new(journal),
                },
                None => ControlEvent::TermEnded,
            };
            send_event(&actor, event).await;
        });
    }

    fn restored(
        &mut self,
        token: u64,
        records: Vec<StoreRecord>,
        journal: Box<JobJournal>,
        now: LocalTime,
    ) {
        let Some(term) = self.term.as_mut().filter(|term| term.token == token) else {
            return;
        };
        let mut state = OwnerState::new(token, Arc::clone(&self.rules), term.began);
        state.restore(records, now, wall_time().0);
        for wave in &self.waves {
            state.wave_requested(wave.clone(), now);
        }
        if let Some(reports) = &self.runners {
            state.runners_listed(reports.clone(), now);
        }
        term.state = Some(state);
        term.journal = Some(journal);
        for (call, reply) in std::mem::take(&mut term.queued_calls) {
            self.call(call, reply, now);
        }
    }

    fn end_term(&mut self, why: &'static str) {
        self.runners = None;
        if let Some(term) = self.term.take() {
            info!(self.parts.logger, "owner: the term has ended"; "token" => term.token, "why" => why);
        }
    }

    fn call(&mut self, call: JobCall, reply: oneshot::Sender<CallResponse>, now: LocalTime) {
        // Without a lease there may be a newer owner, which knows of jobs and cancellations that this one does not.
        let holds = self.parts.lease.is_held();
        let Some(term) = self.term.as_mut().filter(|_| holds) else {
            // The caller's side turns this into a refusal: nothing was done.
            let _ = reply.send(CallResponse::Unavailable);
            return;
        };
        let Some(state) = &mut term.state else {
            term.queued_calls.push((call, reply));
            return;
        };
        let submits = matches!(call, JobCall::Submit(..));
        let troubled = |since: LocalTime| now.since(since) > STORE_FAILURE_TIMEOUT;
        if submits && term.store_failing_since.is_some_and(troubled) {
            let _ = reply.send(CallResponse::Unavailable);
            return;
        }
        let call_id = term.waiting.add(reply);
        state.call(call_id, call, now);
    }

    fn store_failing(&mut self, token: u64, now: LocalTime) {
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

    /// Carries out what is due.
    fn act(&mut self, now: LocalTime) {
        let holds = self.parts.lease.is_held();
        let Some(term) = &mut self.term else {
            return;
        };
        let Some(state) = &mut term.state else {
            return;
        };
        if holds {
            state.tick(now, wall_time().0);
        }
        for event in state.take_events() {
            info!(self.parts.logger, "owner: {}", event.event;
                "token" => term.token, "id" => event.subject, "inputs" => event.detail);
        }
        let runner = CommandExecutor {
            actor: self.actor.clone(),
            parts: self.parts.clone(),
            token: term.token,
            reports: term.reports.clone(),
            limiter: term.limiter.clone(),
        };
        for command in state.take_commands() {
            match command {
                OwnerCommand::Reply { call_id, response } => term.waiting.send(call_id, response),
                command => runner.run(command, state, now),
            }
        }
        if let Some(journal) = term.journal.take() {
            term.journal = runner.store_next(journal, state);
        }
    }
}

/// Tells the actor, unless the process ends.
pub(super) async fn send_event(actor: &WeakActorRef<OwnerActor>, event: ControlEvent) {
    if let Some(actor) = actor.upgrade() {
        // The actor is gone only when the process ends.
        let _ = actor.tell(event).await;
    }
}
