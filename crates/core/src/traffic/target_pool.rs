use {
    super::{
        DEMAND_TIMEOUT, LeavingNotice, PeerDemand, RoutingView, SendOutcome, SlotDivision,
        TargetKey, open_targets::OpenTargets, target_state::TargetState,
    },
    crate::{
        collections::SortedMap,
        ids::{EntryName, HostName, LocalTime},
    },
    std::sync::Arc,
};

/// Maximum number of notices kept for hosts that are not in the view.
const MAX_ABSENT_NOTICES: usize = 4_096;
/// Fractional part of the golden ratio; the fractional parts of its multiples are spread evenly over 0..1.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Targets of all services with the limits of this entry host.
#[derive(Debug)]
pub struct TargetPool {
    entry: EntryName,
    notices: SortedMap<HostName, LeavingNotice>,
    peers: Vec<PeerDemand>,
    services: Vec<ServiceTargets>,
    states: Vec<TargetState>,
    view: Arc<RoutingView>,
}

#[derive(Debug, Default)]
struct ServiceTargets {
    capacity: u32,
    remote_targets: OpenTargets,
    local_targets: OpenTargets,
    /// Next probes of the failing targets, by due time and target index.
    probes: SortedMap<(LocalTime, u32), ()>,
    usable: u32,
}

impl TargetPool {
    /// Creates the empty pool of an entry host.
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

    /// Returns the number of requests that this entry host may have in flight at a service.
    pub fn capacity(&self, service: usize) -> u32 {
        self.services[service].capacity
    }

    /// Returns the number of targets of a service that are present and not leaving.
    pub fn usable(&self, service: usize) -> u32 {
        self.services[service].usable
    }

    /// Returns whether a request to the service can be sent now.
    pub fn has_open(&self, now: LocalTime, service: usize) -> bool {
        let targets = &self.services[service];
        let open = targets.local_targets.len() + targets.remote_targets.len() > 0;
        open || (targets.all_failing() && targets.probe(now).is_some())
    }

    /// Picks a target and counts the request there.
    pub fn start(
        &mut self,
        now: LocalTime,
        service: usize,
        idempotent: bool,
        random: u64,
    ) -> Option<TargetKey> {
        let targets = &self.services[service];
        // A probe may fail, so it uses a request that may be sent again.
        let can_probe = idempotent || targets.all_failing();
        let probe = targets.probe(now).filter(|_| can_probe);
        let index = match probe {
            Some(index) => {
                self.states[index as usize].start_probe(now);
                index
            }
            None => self.pick(service, random)?,
        };
        self.states[index as usize].in_flight += 1;
        self.refresh(index);
        Some(TargetKey {
            generation: self.states[index as usize].generation,
            index,
        })
    }

    /// Records the end of a request; `uncontended` is the service time without load in milliseconds, if known.
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
        let can_exclude = self.services[service].can_exclude();
        let state = &mut self.states[index];
        state.in_flight = state.in_flight.saturating_sub(1);
        match outcome {
            SendOutcome::Answered { elapsed } => {
                let ratio = uncontended.map(|time| elapsed.0.max(1) as f64 / time.max(1.0));
                state.record_response(now, elapsed, ratio);
            }
            SendOutcome::NotSent => {}
            SendOutcome::NotRun => {
                state.record_refusal(now);
                state.record_failure(now, can_exclude);
            }
            SendOutcome::Failed { .. } | SendOutcome::Unknown => {
                state.record_failure(now, can_exclude);
            }
        }
        self.update_allowed(index);
        self.refresh(key.index);
    }

    /// Applies a new view. Targets that keep their key keep their counts and learned values.
    pub fn update_view(&mut self, now: LocalTime, view: Arc<RoutingView>) {
        self.view = view;
        let view = Arc::clone(&self.view);
        self.states.truncate(view.targets.len());
        for (index, target) in view.targets.iter().enumerate() {
            let new_state = || TargetState::new(target.generation, target.service.0, target.slots);
            match self.states.get_mut(index) {
                None => self.states.push(new_state()),
                Some(state) if state.generation != target.generation => *state = new_state(),
                Some(state) => state.set_declared_slots(target.slots),
            }
            self.states[index].is_local = Some(&target.data_centre) == view.data_centre.as_ref();
        }
        self.remove_void_notices();
        self.divide_slots(now);
    }

    /// Applies the latest digests and divides the slots again.
    pub fn update_peers(&mut self, now: LocalTime, peers: &[PeerDemand]) {
        self.peers = peers.to_vec();
        for state in &mut self.states {
            state.raise_limit();
        }
        self.divide_slots(now);
    }

    /// Stores a notice and stops using the targets that it covers.
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

    /// Returns the notices for hosts in the view.
    pub fn leaving_notices(&self) -> Vec<LeavingNotice> {
        let notices = self.notices.values();
        notices
            .filter(|notice| self.view.target(&notice.host).is_some())
            .cloned()
            .collect()
    }

    fn pick(&self, service: usize, random: u64) -> Option<u32> {
        let targets = &self.services[service];
        let picked = targets.local_targets.pick_two(random);
        let (first, second) = picked.or_else(|| targets.remote_targets.pick_two(random))?;
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

    fn divide_slots(&mut self, now: LocalTime) {
        let view = Arc::clone(&self.view);
        let mut entries: Vec<&PeerDemand> = self
            .peers
            .iter()
            .filter(|row| row.entry != self.entry && now.since(row.last_contact) <= DEMAND_TIMEOUT)
            .collect();
        entries.sort_by(|left, right| left.entry.cmp(&right.entry));
        let local_position = entries.partition_point(|peer| peer.entry < self.entry);
        let local_digest = self.peers.iter().find(|peer| peer.entry == self.entry);
        let mut demands = vec![vec![0; entries.len() + 1]; view.services.len()];
        for (position, peer) in entries.iter().enumerate() {
            let position = position + usize::from(position >= local_position);
            set_demand(&view, peer, position, &mut demands);
        }
        if let Some(digest) = local_digest {
            set_demand(&view, digest, local_position, &mut demands);
        }
        let mut divisions: Vec<SlotDivision> = Vec::new();
        for demands in &mut demands {
            // A request that arrives before the next digest needs a slot.
            demands[local_position] = demands[local_position].max(1);
            divisions.push(SlotDivision::new(demands));
        }
        for index in view.present_targets() {
            let target = &view.targets[index];
            let division = &mut divisions[usize::from(target.service.0)];
            let shares = division.next_target(target.slots);
            self.states[index].share = shares[local_position];
            self.states[index].share_start = shares[..local_position].iter().sum();
        }
        self.rebuild_services();
    }

    fn rebuild_services(&mut self) {
        self.services.clear();
        let count = self.view.services.len();
        self.services.resize_with(count, ServiceTargets::default);
        for index in 0..self.states.len() {
            let target = &self.view.targets[index];
            let usable = target.present && !target.leaving && !self.has_notice(index);
            self.update_allowed(index);
            let state = &mut self.states[index];
            state.counted_capacity = 0;
            state.open_position = None;
            state.scheduled_probe = None;
            state.usable = usable;
            self.services[usize::from(state.service)].usable += u32::from(usable);
            self.refresh(index as u32);
        }
    }

    fn update_allowed(&mut self, index: usize) {
        let target = &self.view.targets[index];
        let phase = (index as f64 * GOLDEN_RATIO_FRACTION).fract();
        self.states[index].update_allowed(target.connections, phase);
    }

    /// Updates the capacity, probes and open targets of the service from the state of a target.
    fn refresh(&mut self, index: u32) {
        let state = &mut self.states[index as usize];
        let targets = &mut self.services[usize::from(state.service)];
        let capacity = state.capacity();
        targets.capacity = targets.capacity + capacity - state.counted_capacity;
        state.counted_capacity = capacity;
        let probe = state.probe_due.filter(|_| state.usable);
        if probe != state.scheduled_probe {
            if let Some(scheduled) = state.scheduled_probe {
                targets.probes.remove(&(scheduled, index));
            }
            if let Some(due) = probe {
                targets.probes.insert((due, index), ());
            }
            state.scheduled_probe = probe;
        }
        let list = if state.is_local {
            &mut targets.local_targets
        } else {
            &mut targets.remote_targets
        };
        match (state.is_open(), state.open_position) {
            (true, None) => state.open_position = Some(list.add(index)),
            (false, Some(position)) => {
                state.open_position = None;
                if let Some(moved) = list.remove(position) {
                    self.states[moved as usize].open_position = Some(position);
                }
            }
            _ => {}
        }
    }
}

/// Sets the demand of the entry host at `position` for each service.
fn set_demand(view: &RoutingView, peer: &PeerDemand, position: usize, demands: &mut [Vec<u32>]) {
    for demand in &peer.services {
        if let Some(key) = view.service(&demand.service) {
            demands[usize::from(key.0)][position] = demand.requests;
        }
    }
}

impl ServiceTargets {
    fn all_failing(&self) -> bool {
        self.usable as usize <= self.probes.len()
    }

    /// Returns whether another target may be excluded. Simultaneous failures of most targets are not the fault of
    /// individual targets.
    fn can_exclude(&self) -> bool {
        2 * (self.probes.len() + 1) <= self.usable as usize
    }

    fn probe(&self, now: LocalTime) -> Option<u32> {
        let ((due, index), ()) = self.probes.first()?;
        (*due <= now).then_some(*index)
    }
}
