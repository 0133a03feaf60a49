use {
    super::{
        DEMAND_TIMEOUT, LeavingNotice, PeerDemand, RoutingView, SendOutcome, SlotSplit, TargetKey,
        open_targets::OpenTargets, target_state::TargetState,
    },
    crate::{
        collections::SortedMap,
        ids::{EntryName, HostName, LocalTime},
    },
    std::sync::Arc,
};

/// Most notices kept for hosts that the view does not show.
const MAX_ABSENT_NOTICES: usize = 4_096;
/// Fractional part of the golden ratio; its multiples spread evenly over 0..1.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// The targets as one entry host may use them.
#[derive(Debug)]
pub struct TargetPool {
    entry: EntryName,
    notices: SortedMap<HostName, LeavingNotice>,
    peers: Vec<PeerDemand>,
    services: Vec<ServiceTargets>,
    states: Vec<TargetState>,
    view: Arc<RoutingView>,
}

/// The targets of one service.
#[derive(Debug, Default)]
struct ServiceTargets {
    capacity: u32,
    far: OpenTargets,
    near: OpenTargets,
    probes: SortedMap<(LocalTime, u32), ()>,
    usable: u32,
}

impl TargetPool {
    /// Returns the empty pool of an entry host.
    pub fn new(entry: EntryName) -> Self {
        Self {
            entry,
            notices: SortedMap::default(),
            peers: Vec::new(),
            services: Vec::new(),
            states: Vec::new(),
            view: Arc::default(),
        }
    }

    /// Returns the requests that this entry host may have in flight at a service.
    pub fn capacity(&self, service: usize) -> u32 {
        self.services[service].capacity
    }

    /// Returns the number of targets that are not leaving.
    pub fn usable(&self, service: usize) -> u32 {
        self.services[service].usable
    }

    /// Tells whether a request to the service can be sent now.
    pub fn has_open(&self, now: LocalTime, service: usize) -> bool {
        let targets = &self.services[service];
        let open = targets.near.len() + targets.far.len() > 0;
        open || (targets.all_failing() && targets.probe(now).is_some())
    }

    /// Chooses a target and counts the request at it.
    pub fn start(
        &mut self,
        now: LocalTime,
        service: usize,
        idempotent: bool,
        random: u64,
    ) -> Option<TargetKey> {
        let targets = &self.services[service];
        // A probe may fail, so that it is made with a request that may be sent again.
        let may_probe = idempotent || targets.all_failing();
        let probe = targets.probe(now).filter(|_| may_probe);
        let index = match probe {
            Some(index) => {
                self.states[index as usize].start_probe(now);
                index
            }
            None => self.draw(service, random)?,
        };
        self.states[index as usize].in_flight += 1;
        self.refresh(index);
        Some(TargetKey {
            generation: self.states[index as usize].generation,
            index,
        })
    }

    /// Reports the end of a request; `uncontended` is the service time without load, if known.
    pub fn finish(
        &mut self,
        now: LocalTime,
        key: TargetKey,
        outcome: SendOutcome,
        uncontended: Option<f64>,
    ) {
        let index = key.index as usize;
        let known = self.states.get(index);
        if known.is_none_or(|state| state.generation != key.generation) {
            return;
        }
        let service = usize::from(self.states[index].service);
        let may_exclude = self.services[service].may_exclude();
        let state = &mut self.states[index];
        state.in_flight = state.in_flight.saturating_sub(1);
        match outcome {
            SendOutcome::Answered { took } => {
                let ratio = uncontended.map(|time| took.0.max(1) as f64 / time.max(1.0));
                state.learn_answer(now, took, ratio);
            }
            SendOutcome::NotSent => {}
            SendOutcome::NotRun => {
                state.learn_refusal(now);
                state.learn_failure(now, may_exclude);
            }
            SendOutcome::Failed { .. } | SendOutcome::Unknown => {
                state.learn_failure(now, may_exclude);
            }
        }
        self.update_allowed(index);
        self.refresh(key.index);
    }

    /// Takes over a new view. Counts and learned values of targets that keep their key are kept.
    pub fn update_view(&mut self, now: LocalTime, view: Arc<RoutingView>) {
        self.view = view;
        let view = Arc::clone(&self.view);
        self.states.truncate(view.targets.len());
        for (index, target) in view.targets.iter().enumerate() {
            let fresh = || TargetState::new(target.generation, target.service.0, target.slots);
            match self.states.get_mut(index) {
                None => self.states.push(fresh()),
                Some(state) if state.generation != target.generation => *state = fresh(),
                Some(state) => state.declare(target.slots),
            }
            self.states[index].near = Some(&target.data_centre) == view.data_centre.as_ref();
        }
        self.remove_void_notices();
        self.split_slots(now);
    }

    /// Takes over the latest digests and splits the slots anew.
    pub fn update_peers(&mut self, now: LocalTime, peers: &[PeerDemand]) {
        self.peers = peers.to_vec();
        for state in &mut self.states {
            state.raise_limit();
        }
        self.split_slots(now);
    }

    /// Keeps a notice and closes the targets that it covers.
    pub fn mark_leaving(&mut self, notice: &LeavingNotice) {
        let known = self.notices.get(&notice.host);
        if known.is_none_or(|known| known < notice) {
            self.notices.insert(notice.host.clone(), notice.clone());
        }
        let view = Arc::clone(&self.view);
        for key in view.targets_of(&notice.host) {
            let target = &view.targets[key.index as usize];
            let state = &mut self.states[key.index as usize];
            if notice.covers(target.incarnation, target.activation) && state.usable {
                state.usable = false;
                self.services[usize::from(state.service)].usable -= 1;
                self.refresh(key.index);
            }
        }
        self.remove_void_notices();
    }

    /// Returns the notices of hosts that the view shows.
    pub fn leaving_notices(&self) -> Vec<LeavingNotice> {
        let notices = self.notices.values();
        notices
            .filter(|notice| self.view.target(&notice.host).is_some())
            .cloned()
            .collect()
    }

    fn draw(&self, service: usize, random: u64) -> Option<u32> {
        let targets = &self.services[service];
        let drawn = targets.near.draw(random);
        let (first, second) = drawn.or_else(|| targets.far.draw(random))?;
        let cost = |index: u32| self.states[index as usize].cost();
        Some(if cost(second) < cost(first) {
            second
        } else {
            first
        })
    }

    fn has_notice(&self, index: usize) -> bool {
        let target = &self.view.targets[index];
        let notice = self.notices.get(&target.name);
        notice.is_some_and(|notice| notice.covers(target.incarnation, target.activation))
    }

    fn remove_void_notices(&mut self) {
        let view = &self.view;
        let mut absent = 0;
        self.notices.retain(|host, notice| match view.target(host) {
            Some(key) => {
                let target = &view.targets[key.index as usize];
                notice.covers(target.incarnation, target.activation)
            }
            None => {
                absent += 1;
                absent <= MAX_ABSENT_NOTICES
            }
        });
    }

    fn split_slots(&mut self, now: LocalTime) {
        let view = Arc::clone(&self.view);
        let mut entries: Vec<&PeerDemand> = self
            .peers
            .iter()
            .filter(|row| row.entry != self.entry && now.since(row.last_contact) <= DEMAND_TIMEOUT)
            .collect();
        entries.sort_by(|left, right| left.entry.cmp(&right.entry));
        let own = entries.partition_point(|peer| peer.entry < self.entry);
        let own_digest = self.peers.iter().find(|peer| peer.entry == self.entry);
        let mut demands = vec![vec![0; entries.len() + 1]; view.services.len()];
        for (place, peer) in entries.iter().enumerate() {
            let place = place + usize::from(place >= own);
            fill_demand(&view, peer, place, &mut demands);
        }
        if let Some(digest) = own_digest {
            fill_demand(&view, digest, own, &mut demands);
        }
        let mut splits: Vec<SlotSplit> = Vec::new();
        for demands in &mut demands {
            // A request that arrives before the next digest needs a slot to go to.
            demands[own] = demands[own].max(1);
            splits.push(SlotSplit::new(demands));
        }
        for index in view.present_targets() {
            let target = &view.targets[index];
            let split = &mut splits[usize::from(target.service.0)];
            let shares = split.next_target(target.slots);
            self.states[index].share = shares[own];
            self.states[index].share_start = shares[..own].iter().sum();
        }
        self.rebuild();
    }

    fn rebuild(&mut self) {
        self.services.clear();
        let count = self.view.services.len();
        self.services.resize_with(count, ServiceTargets::default);
        for index in 0..self.states.len() {
            let target = &self.view.targets[index];
            let usable = target.present && !target.leaving && !self.has_notice(index);
            self.update_allowed(index);
            let state = &mut self.states[index];
            state.counted = 0;
            state.open_place = None;
            state.probe_listed = None;
            state.usable = usable;
            self.services[usize::from(state.service)].usable += u32::from(usable);
            self.refresh(index as u32);
        }
    }

    fn update_allowed(&mut self, index: usize) {
        let target = &self.view.targets[index];
        let phase = (index as f64 * GOLDEN).fract();
        self.states[index].update_allowed(target.connections, phase);
    }

    /// Brings the lists of the service in line with the state of a target.
    fn refresh(&mut self, index: u32) {
        let state = &mut self.states[index as usize];
        let targets = &mut self.services[usize::from(state.service)];
        let counted = state.countable();
        targets.capacity = targets.capacity + counted - state.counted;
        state.counted = counted;
        let probe = state.probe_due.filter(|_| state.usable);
        if probe != state.probe_listed {
            if let Some(listed) = state.probe_listed {
                targets.probes.remove(&(listed, index));
            }
            if let Some(due) = probe {
                targets.probes.insert((due, index), ());
            }
            state.probe_listed = probe;
        }
        let list = if state.near {
            &mut targets.near
        } else {
            &mut targets.far
        };
        match (state.is_open(), state.open_place) {
            (true, None) => state.open_place = Some(list.add(index)),
            (false, Some(place)) => {
                state.open_place = None;
                if let Some(moved) = list.remove(place) {
                    self.states[moved as usize].open_place = Some(place);
                }
            }
            _ => {}
        }
    }
}

/// Enters the demand of one entry host into the lists of the services.
fn fill_demand(view: &RoutingView, peer: &PeerDemand, place: usize, demands: &mut [Vec<u32>]) {
    for demand in &peer.services {
        if let Some(key) = view.service(&demand.service) {
            demands[usize::from(key.0)][place] = demand.requests;
        }
    }
}

impl ServiceTargets {
    fn all_failing(&self) -> bool {
        self.usable as usize <= self.probes.len()
    }

    /// Failures of most targets at once are not the fault of one target.
    fn may_exclude(&self) -> bool {
        2 * (self.probes.len() + 1) <= self.usable as usize
    }

    fn probe(&self, now: LocalTime) -> Option<u32> {
        let ((due, index), ()) = self.probes.first()?;
        (*due <= now).then_some(*index)
    }
}
