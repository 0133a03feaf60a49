use {
    crate::clock::BootClock,
    goldcreststall_core::{
        collections::SortedMap,
        duties::{Duty, DutyAssignments},
        ids::{EntryId, EntryName, HostName, LocalTime, Millis, ServiceName},
        traffic::{LeavingNotice, PeerDemand, ServiceDemand},
    },
    goldcreststall_peers::{
        decisions::{PeerTable, ReceiveResult},
        wire::{self, Digest, DigestContent, LogPosition},
    },
    parking_lot::Mutex,
    std::sync::Arc,
};

/// Time without a completed read after which the log counts as unreachable. A read may wait 500 ms for entries, and a
/// slow log service takes longer still.
const LOG_CONTACT_TIMEOUT: Millis = Millis(4_000);

#[derive(Debug)]
struct PeerStateInner {
    busy: Vec<HostName>,
    content: Arc<DigestContent>,
    demand: Vec<wire::ServiceDemand>,
    draining: bool,
    /// Log position up to which entries have been applied.
    applied: Option<LogPosition>,
    /// When the last read that reached the end of the log was started.
    log_read: Option<LocalTime>,
    notices: Vec<LeavingNotice>,
    /// Applied log position when the demand, notices and busy hosts were read.
    traffic_position: Option<LogPosition>,
    assignments: DutyAssignments,
    table: PeerTable,
}

/// What this entry host sends to its peers, and the last digest of each of them.
#[derive(Debug)]
pub struct PeerState {
    clock: BootClock,
    /// Number of peers in the settings.
    peer_count: usize,
    state: Mutex<PeerStateInner>,
}

impl PeerState {
    /// Creates the peer state of an entry host that has not heard from any peer.
    pub fn new(entry: EntryId, peer_count: usize) -> Self {
        let state = PeerStateInner {
            busy: Vec::new(),
            content: Arc::default(),
            demand: Vec::new(),
            draining: false,
            applied: None,
            log_read: None,
            notices: Vec::new(),
            traffic_position: None,
            assignments: DutyAssignments::new(entry),
            table: PeerTable::default(),
        };
        Self {
            clock: BootClock,
            peer_count,
            state: Mutex::new(state),
        }
    }

    /// Returns the content of the digest that is sent to the peers.
    pub fn content(&self) -> Arc<DigestContent> {
        Arc::clone(&self.state.lock().content)
    }

    /// Handles a digest of a peer. A late or repeated one is ignored.
    pub fn receive(&self, digest: Digest) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let eligible = !digest.content.draining() && digest.content.position().is_some();
        let from = digest.from.clone();
        if state.table.receive(now, digest) != ReceiveResult::Stale {
            state.assignments.record_contact(now, &from, eligible);
        }
    }

    /// Sets the applied log position. The next [`PeerState::set_traffic`] publishes it to the peers.
    pub fn set_position(&self, position: LogPosition) {
        self.state.lock().applied = Some(position);
    }

    /// Returns the applied log position; `None` before there is a state.
    pub fn applied_position(&self) -> Option<LogPosition> {
        self.state.lock().applied
    }

    /// Sets the demand of the services, the leaving notices, and the busy hosts, which take no new work and still have
    /// requests in flight. All of them must come from a routing view of `position` or later: if a position were
    /// published with the busy hosts of an earlier view, a peer could reboot a host that still handles a request.
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
        state.traffic_position = position;
        state.rebuild(self.clock.now());
    }

    /// Marks this entry host as shutting down, so that it holds no duty any more.
    pub fn drain(&self) {
        let mut state = self.state.lock();
        state.draining = true;
        state.assignments.drain();
        state.rebuild(self.clock.now());
    }

    /// Records that a read of the log, started at `sent`, reached the end of the log.
    pub fn record_log_read(&self, sent: LocalTime) {
        let mut state = self.state.lock();
        state.assignments.record_log_read(sent);
        state.log_read = Some(sent);
        state.rebuild(self.clock.now());
    }

    /// Returns whether the log was read recently, so that a proposed record is likely to be confirmed.
    pub fn reads_log(&self) -> bool {
        let last_read = self.state.lock().log_read;
        last_read.is_some_and(|last_read| self.clock.now().since(last_read) < LOG_CONTACT_TIMEOUT)
    }

    /// Returns whether this entry host holds `duty` now.
    pub fn holds(&self, duty: &Duty) -> bool {
        self.state.lock().assignments.holds(self.clock.now(), duty)
    }

    /// Returns whether no entry host has requests in flight on a host that takes no new work.
    ///
    /// Every peer has to be live and to have applied the log up to `seen`; otherwise it may not know yet that the host
    /// takes no new work.
    pub fn is_idle(&self, host: &HostName, seen: LogPosition) -> bool {
        let now = self.clock.now();
        let state = self.state.lock();
        let digests: Vec<&Digest> = state.table.live_digests(now).collect();
        let has_applied = |digest: &&Digest| {
            let position = digest.content.position();
            position.is_some_and(|position| position.log == seen.log && position.next >= seen.next)
        };
        let is_busy = |digest: &&Digest| digest.content.busy().binary_search(host).is_ok();
        let local = state.traffic_position;
        let local_has_applied =
            local.is_some_and(|local| local.log == seen.log && local.next >= seen.next);
        local_has_applied
            && digests.len() >= self.peer_count
            && digests.iter().all(has_applied)
            && !digests.iter().any(is_busy)
            && !state.busy.contains(host)
    }

    /// Returns the applied log positions of the live peers.
    pub fn positions(&self) -> Vec<(EntryName, LogPosition)> {
        self.state.lock().table.positions(self.clock.now())
    }

    /// Returns the last digest of each live peer.
    pub fn digests(&self) -> Vec<Digest> {
        let state = self.state.lock();
        state
            .table
            .live_digests(self.clock.now())
            .cloned()
            .collect()
    }

    /// Returns the time since the last digest of a peer; `None` before the first one.
    pub fn silence(&self, peer: &EntryName) -> Option<Millis> {
        self.state.lock().table.silence(self.clock.now(), peer)
    }

    /// Returns the entry host that holds `duty`; `None` if there is none.
    pub fn holder(&self, duty: &Duty) -> Option<EntryName> {
        let state = self.state.lock();
        state.assignments.holder(self.clock.now(), duty).cloned()
    }

    /// Returns whether this entry host is shutting down.
    pub fn is_draining(&self) -> bool {
        self.state.lock().draining
    }

    /// Returns the time since the last read that reached the end of the log; `None` before the first one.
    pub fn log_silence(&self) -> Option<Millis> {
        let last_read = self.state.lock().log_read?;
        Some(self.clock.now().since(last_read))
    }

    /// Returns the names and incarnations of the live peers.
    pub fn live_peers(&self) -> Vec<EntryId> {
        let state = self.state.lock();
        state.table.live(self.clock.now()).cloned().collect()
    }

    /// Returns the leaving notices from the digests of the live peers.
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

    /// Returns the last published demand of the live peers and of this entry host, whose name is `local`.
    pub fn demand(&self, local: &EntryName) -> Vec<PeerDemand> {
        let now = self.clock.now();
        let state = self.state.lock();
        let mut services_by_entry: SortedMap<EntryName, Vec<ServiceDemand>> = SortedMap::default();
        for (service, rows) in state.table.demand_by_service(now).iter() {
            for row in rows {
                add_demand(&mut services_by_entry, &row.entry, service, row.requests);
            }
        }
        for row in state.content.demand() {
            add_demand(&mut services_by_entry, local, &row.service, row.requests);
        }
        let demand = services_by_entry
            .iter()
            .map(|(entry, services)| PeerDemand {
                entry: entry.clone(),
                last_contact: now,
                services: services.clone(),
            });
        demand.collect()
    }
}

impl PeerStateInner {
    fn rebuild(&mut self, now: LocalTime) {
        let notices = self.notices.iter().map(|notice| wire::LeavingNotice {
            basis: goldcreststall_core::ledger::LogOffset(notice.activation),
            host: notice.host.clone(),
            incarnation: notice.incarnation,
        });
        // An entry host that cannot read the log must not be given duties.
        let is_ineligible = self.draining || !self.assignments.is_eligible(now);
        let content = DigestContent::new(
            self.traffic_position,
            self.demand.clone(),
            notices.collect(),
            is_ineligible,
        )
        .with_busy(self.busy.clone());
        if *self.content != content {
            self.content = Arc::new(content);
        }
    }
}

fn add_demand(
    services_by_entry: &mut SortedMap<EntryName, Vec<ServiceDemand>>,
    entry: &EntryName,
    service: &ServiceName,
    requests: u32,
) {
    let demand = ServiceDemand {
        requests,
        service: service.clone(),
    };
    match services_by_entry.get_mut(entry) {
        Some(services) => services.push(demand),
        None => {
            services_by_entry.insert(entry.clone(), vec![demand]);
        }
    }
}
