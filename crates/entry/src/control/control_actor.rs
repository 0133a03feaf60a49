use {
    super::{
        append_queue::QueuedRecord,
        control_messages::{
            AbandonRecord, AppliedPosition, ApplyEntries, CaughtUp, DutyRound, EncodeState,
            EncodedStateReply, EntriesReply, FetchLedger, FleetHosts, GetPosition, LoadState,
            PlanDuties, ProposeRecord, ReadHosts, ReadState, StateOrigin, UpdateHosts,
        },
        proposal_table::ProposalTable,
        view_builder::build_view,
    },
    crate::{
        clock::BootClock,
        duty::{DutyInput, DutyPlan, DutyPlanner, WorkerPoller},
        peering::PeerState,
    },
    bytes::Bytes,
    goldcreststall_core::{
        claims::{CLAIM_MAX_AGE, ClaimRecord},
        collections::SortedMap,
        ids::{DataCentre, EntryId, LocalTime, LogTime, Millis, RecordId},
        ledger::{
            Author, FleetState, LedgerRecord, LogEntry, LogIdentity, LogOffset, RecordBody,
            Rejection, decode_records, encode_state,
        },
        traffic::RoutingView,
    },
    goldcreststall_peers::{decisions::LogEntryBuffer, wire::StoredLogEntry},
    goldcreststall_platform::{hosts::HostListing, log::RawEntry},
    kameo::{
        Actor,
        actor::ActorRef,
        error::Infallible,
        message::{Context, Message},
    },
    slog::{Logger, error, info, warn},
    std::sync::Arc,
    tokio::sync::{mpsc, watch},
    uuid::Uuid,
};

/// How long the records of a plan are waited for before the duties are planned anew.
const DUTY_RECORD_WAIT: Millis = Millis(3_000);

/// What the actor is built from.
pub struct ControlArgs {
    /// Records to append.
    pub(super) appends: mpsc::UnboundedSender<QueuedRecord>,
    /// What the peers are told.
    pub peer_state: Arc<PeerState>,
    /// Data centre of this entry host.
    pub data_centre: DataCentre,
    /// This run of the entry host.
    pub entry: EntryId,
    /// Number of entry hosts of the fleet.
    pub entry_count: u32,
    /// Logger.
    pub logger: Logger,
    /// Where the routing view is published.
    pub view: watch::Sender<Option<Arc<RoutingView>>>,
}

/// Owns the folded state of the fleet.
pub struct ControlActor {
    args: ControlArgs,
    /// When the last entry was applied.
    applied: LocalTime,
    clock: BootClock,
    /// Records of duties that were not read back yet.
    duty_records: SortedMap<RecordId, LocalTime>,
    hosts: HostListing,
    /// Whether there is any state: the log was reached once, or a state was loaded.
    known: bool,
    planner: DutyPlanner,
    proposals: ProposalTable,
    ready: bool,
    buffer: LogEntryBuffer,
    /// Whether the log holds entries that this version cannot read.
    stuck: bool,
    state: FleetState,
    /// Whether the configuration, the hosts or the list changed since the view was built.
    view_stale: bool,
}

impl Actor for ControlActor {
    type Args = ControlArgs;
    type Error = Infallible;

    async fn on_start(args: ControlArgs, _actor: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            args,
            applied: LocalTime(0),
            clock: BootClock,
            duty_records: SortedMap::default(),
            hosts: HostListing::default(),
            known: false,
            planner: DutyPlanner::default(),
            proposals: ProposalTable::default(),
            ready: false,
            buffer: LogEntryBuffer::new(LogIdentity(0), LogOffset(0)),
            state: FleetState::default(),
            view_stale: true,
            stuck: false,
        })
    }
}

impl ControlActor {
    fn apply_raw(&mut self, raw: RawEntry) {
        // The log and a peer may deliver the same entries.
        if self.stuck || raw.offset != self.state.next() {
            return;
        }
        let records = match decode_records(&raw.payload) {
            Ok(records) => records,
            Err(error) => {
                // Skipping the entry would let this state diverge from the others.
                error!(self.args.logger, "ledger: an entry cannot be read; the fold stops"; "offset" => raw.offset.0, "error" => %error);
                self.stuck = true;
                return;
            }
        };
        let entry = LogEntry {
            offset: raw.offset,
            records,
            time: raw.time,
        };
        let stored = StoredLogEntry {
            bytes: Bytes::from(raw.payload),
            offset: raw.offset,
            time: raw.time,
        };
        self.buffer.push(self.state.log(), stored);
        self.applied = self.clock.now();
        let results = self.state.apply(&entry);
        for (record, result) in entry.records.iter().zip(results) {
            self.settle(entry.offset.0, record, result);
        }
    }

    fn settle(&mut self, offset: u64, record: &LedgerRecord, result: Result<(), Rejection>) {
        self.duty_records.remove(&record.id);
        let shown = matches!(
            record.body,
            RecordBody::Config(_) | RecordBody::Membership(_)
        );
        self.view_stale |= shown && result.is_ok();
        if let Err(rejection) = result
            && rejection != Rejection::Duplicate
        {
            info!(self.args.logger, "ledger: a record was ignored"; "offset" => offset, "author" => &record.author.0, "reason" => %rejection);
        }
        // A proposer that sent the record again learns what became of the first copy.
        let first = self.state.outcome(record.id);
        let result = first.map_or(result, |outcome| outcome.result);
        let taken = self.proposals.settle(record.id, result);
        if !taken && result.is_ok() {
            self.release(record);
        }
    }

    /// Gives back a claim whose request was refused before the claim was read back.
    fn release(&mut self, record: &LedgerRecord) {
        let RecordBody::Claim(ClaimRecord::Claim { holder, key }) = &record.body else {
            return;
        };
        let release = ClaimRecord::Release {
            holder: holder.clone(),
            key: *key,
        };
        info!(self.args.logger, "claim: a late claim is released"; "key" => %Uuid::from_u128(*key));
        self.append(RecordBody::Claim(release), CLAIM_MAX_AGE);
    }

    fn append(&mut self, body: RecordBody, wait: Millis) -> RecordId {
        let record = LedgerRecord {
            author: Author(self.args.entry.to_string()),
            body,
            id: RecordId(Uuid::now_v7().as_u128()),
        };
        let queued = QueuedRecord {
            give_up: self.clock.now() + wait,
            record,
        };
        let id = queued.record.id;
        // The queue ends only at shutdown.
        let _ = self.args.appends.send(queued);
        id
    }

    /// Publishes the routing view if something that it shows has changed. Claims and jobs do not, and there
    /// are many of them.
    fn publish(&mut self) {
        if !self.ready || !self.view_stale {
            return;
        }
        self.view_stale = false;
        let previous = self.args.view.borrow().clone().unwrap_or_default();
        let view = build_view(&previous, &self.state, &self.hosts, &self.args);
        let view = Arc::new(view);
        self.args.view.send_if_modified(|published| {
            let changed = published.as_ref() != Some(&view);
            *published = Some(view);
            changed
        });
    }

    /// Plans the duties, unless records of an earlier plan are still on their way.
    fn plan_duties(&mut self, poller: &WorkerPoller) -> DutyPlan {
        let now = self.clock.now();
        self.duty_records
            .retain(|_, sent| now.since(*sent) < DUTY_RECORD_WAIT);
        if !self.ready || self.stuck || !self.duty_records.is_empty() {
            return DutyPlan::default();
        }
        let workers = poller.workers(&self.state, &self.hosts);
        let mut plan = self.planner.plan(&DutyInput {
            peer_state: &self.args.peer_state,
            entry: &self.args.entry.name,
            hosts: &self.hosts,
            local_time: now,
            log_time: self.state.time() + now.since(self.applied),
            state: &self.state,
            workers: &workers,
        });
        for body in std::mem::take(&mut plan.records) {
            let id = self.append(body, DUTY_RECORD_WAIT);
            self.duty_records.insert(id, now);
        }
        plan
    }

    fn position(&self) -> AppliedPosition {
        AppliedPosition {
            known: self.known,
            log: self.state.log(),
            next: self.state.next(),
            time: (self.hosts.observed > LogTime(0))
                .then(|| self.hosts.observed.max(self.state.time())),
        }
    }

    /// Tells the peers how far this entry host has come.
    fn show_position(&self) {
        if self.known {
            self.args
                .peer_state
                .set_position(self.position().position());
        }
    }
}

impl Message<ApplyEntries> for ControlActor {
    type Reply = AppliedPosition;

    async fn handle(
        &mut self,
        message: ApplyEntries,
        _context: &mut Context<Self, AppliedPosition>,
    ) -> AppliedPosition {
        if !self.known {
            self.state = FleetState::new(message.log);
            self.known = true;
        }
        if self.state.log() != message.log {
            error!(self.args.logger, "ledger: the log is another one; its entries are ignored"; "log" => message.log.0);
            return self.position();
        }
        let before = self.state.config.version();
        for raw in message.entries {
            self.apply_raw(raw);
        }
        let after = self.state.config.version();
        if before != after {
            info!(self.args.logger, "ledger: a configuration is in force"; "version" => after.0);
        }
        // A record that is older than twice the age of a claim is not accepted any more.
        let oldest = self.state.time() - CLAIM_MAX_AGE - CLAIM_MAX_AGE;
        self.proposals.forget_before(oldest);
        self.publish();
        self.show_position();
        self.position()
    }
}

impl Message<CaughtUp> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, _message: CaughtUp, _context: &mut Context<Self, ()>) {
        if !self.ready {
            info!(self.args.logger, "ledger: the state is complete"; "offset" => self.state.next().0);
            self.ready = true;
        }
        self.publish();
    }
}

impl Message<LoadState> for ControlActor {
    type Reply = AppliedPosition;

    async fn handle(
        &mut self,
        message: LoadState,
        _context: &mut Context<Self, AppliedPosition>,
    ) -> AppliedPosition {
        let fresh = !self.known;
        let same_log = self.state.log() == message.state.log();
        // A state with a lower offset would revert what is in force.
        if fresh || (same_log && message.state.next() > self.state.next()) {
            info!(self.args.logger, "ledger: a state was loaded"; "offset" => message.state.next().0);
            self.state = *message.state;
            self.view_stale = true;
            self.known = true;
            // A peer's state is in force there, so requests are served by it until the log is back.
            self.ready |= message.origin == StateOrigin::Peer;
            self.publish();
            self.show_position();
        } else {
            warn!(self.args.logger, "ledger: an older state was not loaded"; "offset" => message.state.next().0);
        }
        self.position()
    }
}

impl Message<UpdateHosts> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, message: UpdateHosts, _context: &mut Context<Self, ()>) {
        if message.listing.observed >= self.hosts.observed {
            self.view_stale |= self.hosts.hosts != message.listing.hosts;
            self.hosts = message.listing;
            self.publish();
        }
    }
}

impl Message<ProposeRecord> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, message: ProposeRecord, _context: &mut Context<Self, ()>) {
        self.proposals.wait(message.record.id, message.result);
        let queued = QueuedRecord {
            give_up: message.give_up,
            record: message.record,
        };
        let _ = self.args.appends.send(queued);
    }
}

impl Message<AbandonRecord> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, message: AbandonRecord, _context: &mut Context<Self, ()>) {
        self.proposals.abandon(message.id);
    }
}

impl Message<ReadState> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, message: ReadState, _context: &mut Context<Self, ()>) {
        (message.read)(&self.state, &self.hosts);
    }
}

impl Message<GetPosition> for ControlActor {
    type Reply = AppliedPosition;

    async fn handle(
        &mut self,
        _message: GetPosition,
        _context: &mut Context<Self, AppliedPosition>,
    ) -> AppliedPosition {
        self.position()
    }
}

impl Message<FetchLedger> for ControlActor {
    type Reply = EntriesReply;

    async fn handle(
        &mut self,
        message: FetchLedger,
        _context: &mut Context<Self, EntriesReply>,
    ) -> EntriesReply {
        EntriesReply(self.buffer.respond(message.fetch))
    }
}

impl Message<EncodeState> for ControlActor {
    type Reply = Option<EncodedStateReply>;

    async fn handle(
        &mut self,
        _message: EncodeState,
        _context: &mut Context<Self, Option<EncodedStateReply>>,
    ) -> Option<EncodedStateReply> {
        let position = self.position().position();
        self.known.then(|| EncodedStateReply {
            hosts: self.hosts.clone(),
            position,
            state: Bytes::from(encode_state(&self.state)),
        })
    }
}

impl Message<ReadHosts> for ControlActor {
    type Reply = FleetHosts;

    async fn handle(
        &mut self,
        _message: ReadHosts,
        _context: &mut Context<Self, FleetHosts>,
    ) -> FleetHosts {
        let pools = self.state.config.fleet().pools.iter();
        FleetHosts {
            hosts: self.hosts.clone(),
            pools: pools.map(|pool| pool.name.clone()).collect(),
        }
    }
}

impl Message<PlanDuties> for ControlActor {
    type Reply = DutyRound;

    async fn handle(
        &mut self,
        message: PlanDuties,
        _context: &mut Context<Self, DutyRound>,
    ) -> DutyRound {
        DutyRound {
            plan: self.plan_duties(&message.poller),
            poller: message.poller,
        }
    }
}
