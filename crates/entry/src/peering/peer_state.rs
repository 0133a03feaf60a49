use {
    crate::clock::BootClock,
    goldcreststall_core::{
        collections::SortedMap,
        duties::{Duty, DutyAssignments},
        ids::{EntryId, EntryName, HostName, LocalTime, Millis, ServiceName},
        traffic::{LeavingNotice, PeerDemand, ServiceDemand},
    },
    goldcreststall_peers::{
        decisions::{PeerTable, Receipt},
        wire::{self, Digest, DigestContent, LogPosition},
    },
    parking_lot::Mutex,
    std::sync::Arc,
};

/// Time without a read after which the log counts as out of reach. A read may wait 1 s for entries, and a
/// slow log answers later still.
const LOG_SILENCE: Millis = Millis(4_000);

#[derive(Debug)]
struct PeerStateInner {
    busy: Vec<HostName>,
    content: Arc<DigestContent>,
    demand: Vec<wire::ServiceDemand>,
    draining: bool,
    /// How far the log was applied.
    applied: Option<LogPosition>,
    /// When the last read that reached the end of the log was sent.
    log_read: Option<LocalTime>,
    notices: Vec<LeavingNotice>,
    /// How far the log was applied when the traffic was looked at.
    position: Option<LogPosition>,
    assignments: DutyAssignments,
    table: PeerTable,
}

/// What this entry host tells its peers, and what they told last.
#[derive(Debug)]
pub struct PeerState {
    clock: BootClock,
    /// Number of peers in the settings.
    peers: usize,
    state: Mutex<PeerStateInner>,
}

impl PeerState {
    /// Creates the peer state of an entry host that has heard nobody.
    pub fn new(entry: EntryId, peers: usize) -> Self {
        let state = PeerStateInner {
            busy: Vec::new(),
            content: Arc::default(),
            demand: Vec::new(),
            draining: false,
            applied: None,
            log_read: None,
            notices: Vec::new(),
            position: None,
            assignments: DutyAssignments::new(entry),
            table: PeerTable::default(),
        };
        Self {
            clock: BootClock,
            peers,
            state: Mutex::new(state),
        }
    }

    /// Returns what the peers are told.
    pub fn content(&self) -> Arc<DigestContent> {
        Arc::clone(&self.state.lock().content)
    }

    /// Takes a digest of a peer.
    pub fn receive(&self, digest: Digest) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let eligible = !digest.content.draining() && digest.content.position().is_some();
        let from = digest.from.clone();
        if state.table.receive(now, digest) != Receipt::Stale {
            state.assignments.record_contact(now, &from, eligible);
        }
    }

    /// Sets how far the log was applied. The peers are told with the next [`PeerState::set_traffic`].
    pub fn set_position(&self, position: LogPosition) {
        self.state.lock().applied = Some(position);
    }

    /// Returns how far the log was applied.
    pub fn applied_position(&self) -> Option<LogPosition> {
        self.state.lock().applied
    }

    /// Sets the demand of the services, the leaving notices, and the hosts that take no new work and still
    /// have requests in flight, as they were in a routing view of `position` or later. A position that was
    /// shown with busy hosts of an earlier view would let a peer reboot a host under a request.
    pub fn set_traffic(
        &self,
        demand: Vec<wire::ServiceDemand>,
        notices: Vec<LeavingNotice>,
        busy: Vec<HostName>,
        position: Option<LogPosition>,
    ) {
        let mut state = self.state.lock();
        state.busy = busy;
        state.demand = demand;
        state.notices = notices;
        state.position = position;
        state.rebuild(self.clock.now());
    }

    /// Notes that this entry host is shutting down.
    pub fn drain(&self) {
        let mut state = self.state.lock();
        state.draining = true;
        state.assignments.drain();
        state.rebuild(self.clock.now());
    }

    /// Notes that a read of the log, sent at `sent`, reached its end.
    pub fn log_read(&self, sent: LocalTime) {
        let mut state = self.state.lock();
        state.assignments.record_log_read(sent);
        state.log_read = Some(sent);
        state.rebuild(self.clock.now());
    }

    /// Tells whether the log was read lately, so that a record can be expected to be confirmed.
    pub fn reads_log(&self) -> bool {
        let read = self.state.lock().log_read;
        read.is_some_and(|read| self.clock.now().since(read) < LOG_SILENCE)
    }

    /// Tells whether this entry host is to perform `duty` now.
    pub fn holds(&self, duty: &Duty) -> bool {
        self.state.lock().assignments.holds(self.clock.now(), duty)
    }

    /// Tells whether no entry host has requests in flight on a host that takes no new work.
    ///
    /// Every peer has to be heard and to have applied the log up to `seen`, or it may not know yet that
    /// the host takes no new work.
    pub fn is_idle(&self, host: &HostName, seen: LogPosition) -> bool {
        let now = self.clock.now();
        let state = self.state.lock();
        let digests: Vec<&Digest> = state.table.live_digests(now).collect();
        let knows = |digest: &&Digest| {
            let position = digest.content.position();
            position.is_some_and(|position| position.log == seen.log && position.next >= seen.next)
        };
        let is_busy = |digest: &&Digest| digest.content.busy().binary_search(host).is_ok();
        let own = state.position;
        let own_knows = own.is_some_and(|own| own.log == seen.log && own.next >= seen.next);
        own_knows
            && digests.len() >= self.peers
            && digests.iter().all(knows)
            && !digests.iter().any(is_busy)
            && !state.busy.contains(host)
    }

    /// Returns the positions of the live peers.
    pub fn positions(&self) -> Vec<(EntryName, LogPosition)> {
        self.state.lock().table.positions(self.clock.now())
    }

    /// Returns what each live peer told last.
    pub fn digests(&self) -> Vec<Digest> {
        let state = self.state.lock();
        state
            .table
            .live_digests(self.clock.now())
            .cloned()
            .collect()
    }

    /// Returns the entry host that is to perform `duty`.
    pub fn holder(&self, duty: &Duty) -> Option<EntryName> {
        let state = self.state.lock();
        state.assignments.holder(self.clock.now(), duty).cloned()
    }

    /// Tells whether this entry host is shutting down.
    pub fn is_draining(&self) -> bool {
        self.state.lock().draining
    }

    /// Returns the time since the log was read to its end; `None` when it never was.
    pub fn log_silence(&self) -> Option<Millis> {
        let read = self.state.lock().log_read?;
        Some(self.clock.now().since(read))
    }

    /// Returns the live peers.
    pub fn live_peers(&self) -> Vec<EntryId> {
        let state = self.state.lock();
        state.table.live(self.clock.now()).cloned().collect()
    }

    /// Returns the leaving notices that the live peers told.
    pub fn peer_notices(&self) -> Vec<LeavingNotice> {
        let state = self.state.lock();
        let digests = state.table.live_digests(self.clock.now());
        let notices = digests.flat_map(|digest| digest.content.leaving());
        notices
            .map(|notice| LeavingNotice {
                activation: notice.basis.0,
                host: notice.host.clone(),
                incarnation: notice.incarnation,
            })
            .collect()
    }

    /// Returns the demand of the live peers and of this entry host as last told.
    pub fn demand(&self, own: &EntryName) -> Vec<PeerDemand> {
        let now = self.clock.now();
        let state = self.state.lock();
        let mut entries: SortedMap<EntryName, Vec<ServiceDemand>> = SortedMap::default();
        for (service, rows) in state.table.demand_by_service(now).iter() {
            for row in rows {
                add_demand(&mut entries, &row.entry, service, row.requests);
            }
        }
        for row in state.content.demand() {
            add_demand(&mut entries, own, &row.service, row.requests);
        }
        let entries = entries.iter().map(|(entry, services)| PeerDemand {
            entry: entry.clone(),
            last_contact: now,
            services: services.clone(),
        });
        entries.collect()
    }
}

impl PeerStateInner {
    fn rebuild(&mut self, now: LocalTime) {
        let notices = self.notices.iter().map(|notice| wire::LeavingNotice {
            basis: goldcreststall_core::ledger::LogOffset(notice.activation),
            host: notice.host.clone(),
            incarnation: notice.incarnation,
        });
        // A peer that cannot read the log must not be chosen for duties.
        let abstains = self.draining || !self.assignments.is_eligible(now);
        let content = DigestContent::new(
            self.position,
            self.demand.clone(),
            notices.collect(),
            abstains,
        )
        .with_busy(self.busy.clone());
        if *self.content != content {
            self.content = Arc::new(content);
        }
    }
}

fn add_demand(
    entries: &mut SortedMap<EntryName, Vec<ServiceDemand>>,
    entry: &EntryName,
    service: &ServiceName,
    requests: u32,
) {
    let demand = ServiceDemand {
        requests,
        service: service.clone(),
    };
    match entries.get_mut(entry) {
        Some(services) => services.push(demand),
        None => {
            entries.insert(entry.clone(), vec![demand]);
        }
    }
}
