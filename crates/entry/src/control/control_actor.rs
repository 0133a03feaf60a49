use {
    super::{
        append_queue::QueuedRecord,
        control_messages::{
            AbandonRecord, AppliedPosition, ApplyEntries, CaughtUp, DutyRound, EncodeState,
            EncodedStateReply, EntriesResult, FetchLedger, FleetHosts, GetPosition, LoadState,
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

/// Maximum time to wait for the records of a plan to be read back before duties are planned again.
const DUTY_RECORD_TIMEOUT: Millis = Millis(3_000);

/// Arguments of [`ControlActor`].
pub struct ControlArgs {
    /// Queue of records to append.
    pub(super) appends: mpsc::UnboundedSender<QueuedRecord>,
    /// State exchanged with the peers.
    pub peer_state: Arc<PeerState>,
    /// Data centre of this entry host.
    pub data_centre: DataCentre,
    /// Name and incarnation of this entry host.
    pub entry: EntryId,
    /// Number of entry hosts in the fleet, including this one.
    pub entry_count: u32,
    /// Place of this entry host among them, from 0 on, in the order of their names.
    pub entry_rank: u32,
    /// Logger.
    pub logger: Logger,
    /// Publishes the routing view; `None` until the state is complete.
    pub view: watch::Sender<Option<Arc<RoutingView>>>,
}

/// Owns the fleet state, which results from applying the log.
pub struct ControlActor {
    args: ControlArgs,
    /// When the last log entry was applied.
    last_applied: LocalTime,
    clock: BootClock,
    /// Records of the last duty plan that have not been read back yet, with the time of the plan.
    duty_records: SortedMap<RecordId, LocalTime>,
    hosts: HostListing,
    /// Whether the log was read at least once or a state was loaded.
    has_state: bool,
    planner: DutyPlanner,
    proposals: ProposalTable,
    ready: bool,
    buffer: LogEntryBuffer,
    /// Set when the log contains an entry that this version cannot decode. No further entries are applied.
    apply_stopped: bool,
    state: FleetState,
    /// Whether the configuration, the membership or the host list has changed since the view was built.
    view_stale: bool,
}

impl Actor for ControlActor {
    type Args = ControlArgs;
    type Error = Infallible;

    async fn on_start(args: ControlArgs, _actor: ActorRef<Self>) -> Result<Self, Infallible> {
        Ok(Self {
            args,
            last_applied: LocalTime(0),
            clock: BootClock,
            duty_records: SortedMap::default(),
            hosts: HostListing::default(),
            has_state: false,
            planner: DutyPlanner::default(),
            proposals: ProposalTable::default(),
            ready: false,
            buffer: LogEntryBuffer::new(LogIdentity(0), LogOffset(0)),
            state: FleetState::default(),
            view_stale: true,
            apply_stopped: false,
        })
    }
}

impl ControlActor {
    fn apply_raw(&mut self, raw: RawEntry) {
        // The log and a peer may both deliver an entry.
        if self.apply_stopped || raw.offset != self.state.next() {
            return;
        }
        let records = match decode_records(&raw.payload) {
            Ok(records) => records,
            Err(error) => {
                // Skipping the entry would make this state diverge from those of the other entry hosts.
                error!(self.args.logger, "ledger: an entry cannot be read; the fold stops"; "offset" => raw.offset.0, "error" => %error);
                self.apply_stopped = true;
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
        self.last_applied = self.clock.now();
        let results = self.state.apply(&entry);
        for (record, result) in entry.records.iter().zip(results) {
            self.resolve(entry.offset.0, record, result);
        }
    }

    fn resolve(&mut self, offset: u64, record: &LedgerRecord, result: Result<(), Rejection>) {
        self.duty_records.remove(&record.id);
        let affects_view = matches!(
            record.body,
            RecordBody::Config(_) | RecordBody::Membership(_)
        );
        self.view_stale |= affects_view && result.is_ok();
        if let Err(rejection) = result
            && rejection != Rejection::Duplicate
        {
            info!(self.args.logger, "ledger: a record was ignored"; "offset" => offset, "author" => &record.author.0, "reason" => %rejection);
        }
        // If the proposer sent the record more than once, it gets the outcome of the first copy.
        let first_outcome = self.state.outcome(record.id);
        let result = first_outcome.map_or(result, |outcome| outcome.result);
        let delivered = self.proposals.resolve(record.id, result);
        if !delivered && result.is_ok() {
            self.release_claim(record);
        }
    }

    /// Releases a claim whose request was refused before the claim was read back from the log.
    fn release_claim(&mut self, record: &LedgerRecord) {
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

    fn append(&mut self, body: RecordBody, timeout: Millis) -> RecordId {
        let record = LedgerRecord {
            author: Author(self.args.entry.to_string()),
            body,
            id: RecordId(Uuid::now_v7().as_u128()),
        };
        let queued = QueuedRecord {
            append_deadline: self.clock.now() + timeout,
            record,
        };
        let id = queued.record.id;
        // The receiver is dropped only at shutdown.
        let _ = self.args.appends.send(queued);
        id
    }

    /// Publishes the routing view if its content has changed. Records of claims and jobs are frequent and never
    /// change it.
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

    /// Plans the duties, unless records of an earlier plan have not been read back yet.
    fn plan_duties(&mut self, poller: &WorkerPoller) -> DutyPlan {
        let now = self.clock.now();
        self.duty_records
            .retain(|_, planned| now.since(*planned) < DUTY_RECORD_TIMEOUT);
        if !self.ready || self.apply_stopped || !self.duty_records.is_empty() {
            return DutyPlan::default();
        }
        let workers = poller.workers(&self.state, &self.hosts);
        let mut plan = self.planner.plan(&DutyInput {
            peer_state: &self.args.peer_state,
            entry: &self.args.entry.name,
            hosts: &self.hosts,
            local_time: now,
            log_time: self.state.time() + now.since(self.last_applied),
            state: &self.state,
            workers: &workers,
        });
        for body in std::mem::take(&mut plan.records) {
            let id = self.append(body, DUTY_RECORD_TIMEOUT);
            self.duty_records.insert(id, now);
        }
        plan
    }

    fn position(&self) -> AppliedPosition {
        AppliedPosition {
            has_state: self.has_state,
            log: self.state.log(),
            next: self.state.next(),
            time: (self.hosts.observed > LogTime(0))
                .then(|| self.hosts.observed.max(self.state.time())),
        }
    }

    /// Passes the applied log position to the peer state, which publishes it with the traffic of a routing view that is
    /// at least as new.
    fn publish_position(&self) {
        if self.has_state {
            self.args
                .peer_state
                .set_position(self.position().log_position());
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
        if !self.has_state {
            self.state = FleetState::new(message.log);
            self.has_state = true;
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
        // A record older than twice the maximum age of a claim is no longer accepted.
        let oldest = self.state.time() - CLAIM_MAX_AGE - CLAIM_MAX_AGE;
        self.proposals.forget_before(oldest);
        self.publish();
        self.publish_position();
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
        let is_first_state = !self.has_state;
        let same_log = self.state.log() == message.state.log();
        // A state with a lower offset would revert changes that are already in force.
        if is_first_state || (same_log && message.state.next() > self.state.next()) {
            info!(self.args.logger, "ledger: a state was loaded"; "offset" => message.state.next().0);
            self.state = *message.state;
            self.view_stale = true;
            self.has_state = true;
            // The peer serves requests by this state, so it is good enough until the log can be read again.
            self.ready |= message.origin == StateOrigin::Peer;
            self.publish();
            self.publish_position();
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
        self.proposals.add_waiter(message.record.id, message.result);
        let queued = QueuedRecord {
            append_deadline: message.append_deadline,
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
    type Reply = EntriesResult;

    async fn handle(
        &mut self,
        message: FetchLedger,
        _context: &mut Context<Self, EntriesResult>,
    ) -> EntriesResult {
        EntriesResult(self.buffer.respond(message.fetch))
    }
}

impl Message<EncodeState> for ControlActor {
    type Reply = Option<EncodedStateReply>;

    async fn handle(
        &mut self,
        _message: EncodeState,
        _context: &mut Context<Self, Option<EncodedStateReply>>,
    ) -> Option<EncodedStateReply> {
        let position = self.position().log_position();
        self.has_state.then(|| EncodedStateReply {
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
