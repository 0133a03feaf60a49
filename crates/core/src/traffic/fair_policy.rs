use {
    super::{
        Assignment, LeavingNotice, MAX_RETRIES, OrganisationKey, PeerDemand, Refusal,
        RequestHandle, RequestSpec, RoutingView, SendOutcome, TargetKey, TrafficPolicy, Urgency,
        class_queue::QueueEntry, service_queue::ServiceQueue, target_pool::TargetPool,
    },
    crate::{
        error::ErrorKind,
        ids::{EntryName, LocalTime, Millis},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Interval of the check for organisations that no longer send requests.
const SWEEP_INTERVAL: Millis = Millis(1_000);

/// Admits requests that can complete in time, shares slots between classes and organisations, and learns the
/// concurrency limits of targets.
///
/// The cost of a decision grows with the logarithm of the number of queued requests and of organisations and does
/// not depend on the number of targets. A new view or new digests take time linear in the number of targets.
#[derive(Debug)]
pub struct FairPolicy {
    draining: bool,
    // Requests are kept in B-trees because a sorted vector moves thousands of rows for one removal: with a
    // vector for `in_flight`, a decision at 1,400 targets of one service took 9.5 µs instead of 1.3 µs.
    in_flight: BTreeMap<RequestHandle, SentRequest>,
    latest_starts: BTreeSet<(LocalTime, RequestHandle)>,
    /// Requests queued or in flight, indexed by organisation.
    loads: Vec<u32>,
    queued: BTreeMap<RequestHandle, QueuedRequest>,
    refusals: Vec<Refusal>,
    sequence: u64,
    services: Vec<ServiceQueue>,
    last_sweep: LocalTime,
    targets: TargetPool,
    view: Arc<RoutingView>,
}

#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    /// Class in which the request is queued; `spec` has its urgency before a demotion.
    class: Urgency,
    latest_start: LocalTime,
    sequence: u64,
    spec: RequestSpec,
}

#[derive(Clone, Copy, Debug)]
struct SentRequest {
    /// Slot time that was charged when the request was sent, in milliseconds.
    charged: f64,
    /// Class in which the request was queued; `spec` has its urgency before a demotion.
    class: Urgency,
    sent: LocalTime,
    spec: RequestSpec,
    target: TargetKey,
}

impl FairPolicy {
    /// Creates the policy of an entry host. It refuses all requests until it has a view.
    pub fn new(entry: EntryName) -> Self {
        Self {
            draining: false,
            in_flight: BTreeMap::new(),
            latest_starts: BTreeSet::new(),
            loads: Vec::new(),
            queued: BTreeMap::new(),
            refusals: Vec::new(),
            sequence: 0,
            services: Vec::new(),
            last_sweep: LocalTime(0),
            targets: TargetPool::new(entry),
            view: Arc::default(),
        }
    }

    fn weight(&self, organisation: OrganisationKey) -> u32 {
        let organisation = self.view.organisations.get(usize::from(organisation.0));
        organisation.map_or(1, |organisation| organisation.weight)
    }

    /// Checks whether the organisation may have one more request queued or in flight at this entry host.
    fn check_quota(&self, organisation: OrganisationKey) -> Result<(), ErrorKind> {
        let index = usize::from(organisation.0);
        let max_requests = self
            .view
            .organisations
            .get(index)
            .and_then(|row| row.max_requests);
        let load = self.loads.get(index).copied().unwrap_or_default();
        if max_requests.is_some_and(|max_requests| load >= max_requests) {
            return Err(ErrorKind::QuotaExceeded);
        }
        Ok(())
    }

    fn add_load(&mut self, organisation: OrganisationKey) {
        let index = usize::from(organisation.0);
        if self.loads.len() <= index {
            self.loads.resize(index + 1, 0);
        }
        self.loads[index] += 1;
    }

    fn remove_load(&mut self, organisation: OrganisationKey) {
        if let Some(load) = self.loads.get_mut(usize::from(organisation.0)) {
            *load = load.saturating_sub(1);
        }
    }

    fn dequeue(&mut self, handle: RequestHandle) -> Option<QueuedRequest> {
        let request = self.queued.remove(&handle)?;
        self.remove_load(request.spec.organisation);
        self.latest_starts.remove(&(request.latest_start, handle));
        let queued = &self.queued;
        let service = &mut self.services[usize::from(request.spec.service.0)];
        service.remove(request.class, request.spec.organisation, |entry| {
            is_live(queued, entry)
        });
        Some(request)
    }

    fn refuse(&mut self, handle: RequestHandle, kind: ErrorKind) {
        if self.dequeue(handle).is_some() {
            self.refusals.push(Refusal { kind, handle });
        }
    }

    fn refuse_late(&mut self, now: LocalTime) {
        while let Some((latest_start, handle)) = self.latest_starts.first().copied() {
            if latest_start >= now {
                return;
            }
            self.refuse(handle, ErrorKind::DeadlineUnreachable);
        }
    }

    fn refuse_retired(&mut self) {
        let services = &self.services;
        let queued = self.queued.iter();
        let retired: Vec<RequestHandle> = queued
            .filter(|(_, request)| services[usize::from(request.spec.service.0)].retired)
            .map(|(handle, _)| *handle)
            .collect();
        for handle in retired {
            self.refuse(handle, ErrorKind::UnknownService);
        }
    }

    /// Assigns the next request of a service, if there is one and a target is open.
    fn assign_next(&mut self, now: LocalTime, index: usize, random: u64) -> Option<Assignment> {
        let queued = &self.queued;
        let service = &mut self.services[index];
        if service.len() == 0 || !self.targets.has_open(now, index) {
            return None;
        }
        let charged = service.expected_slot_time();
        let entry = service.pop(now, |entry| is_live(queued, entry))?;
        let request = self.queued.remove(&entry.handle)?;
        let latest_start = (request.latest_start, entry.handle);
        self.latest_starts.remove(&latest_start);
        let idempotent = request.spec.idempotent;
        let Some(target) = self.targets.start(now, index, idempotent, random) else {
            let service = &mut self.services[index];
            let organisation = request.spec.organisation;
            service.finish(now, request.class, organisation, charged, 0.0);
            self.remove_load(organisation);
            self.refusals.push(Refusal {
                kind: ErrorKind::NoTarget,
                handle: entry.handle,
            });
            return None;
        };
        let sent = SentRequest {
            charged,
            class: request.class,
            sent: now,
            spec: request.spec,
            target,
        };
        self.in_flight.insert(entry.handle, sent);
        Some(Assignment {
            target,
            handle: entry.handle,
        })
    }
}

impl TrafficPolicy for FairPolicy {
    fn update_view(&mut self, now: LocalTime, view: Arc<RoutingView>) {
        let count = view.services.len().max(self.services.len());
        self.services.resize_with(count, ServiceQueue::default);
        for (index, service) in self.services.iter_mut().enumerate() {
            let row = view.services.get(index);
            service.max_queue = row.map_or(0, |row| row.max_queue);
            service.retired = row.is_none_or(|row| row.retired);
            service.set_weights(&view.organisations);
        }
        self.targets.update_view(now, Arc::clone(&view));
        self.view = view;
        self.refuse_retired();
    }

    fn offer(
        &mut self,
        now: LocalTime,
        handle: RequestHandle,
        spec: RequestSpec,
    ) -> Result<(), ErrorKind> {
        let index = usize::from(spec.service.0);
        let weight = self.weight(spec.organisation);
        if self.queued.contains_key(&handle) || self.in_flight.contains_key(&handle) {
            return Err(ErrorKind::InvalidRequest);
        }
        self.check_quota(spec.organisation)?;
        let service = self.services.get_mut(index);
        let service = service.ok_or(ErrorKind::UnknownService)?;
        if service.retired {
            return Err(ErrorKind::UnknownService);
        }
        if spec.deadline <= now {
            return Err(ErrorKind::DeadlineUnreachable);
        }
        if self.targets.usable(index) == 0 {
            return Err(ErrorKind::NoTarget);
        }
        let has_open_target = self.targets.has_open(now, index);
        if self.draining && (!has_open_target || service.len() > 0) {
            return Err(ErrorKind::Draining);
        }
        let capacity = self.targets.capacity(index);
        let admission = service.admit(now, &spec, weight, capacity, has_open_target)?;
        service.retry_budget.count_request(now);
        self.sequence += 1;
        let entry = QueueEntry {
            sequence: self.sequence,
            handle,
        };
        service.push(admission.class, spec.organisation, weight, entry);
        let request = QueuedRequest {
            class: admission.class,
            latest_start: admission.latest_start,
            sequence: self.sequence,
            spec,
        };
        self.queued.insert(handle, request);
        self.add_load(spec.organisation);
        self.latest_starts.insert((request.latest_start, handle));
        Ok(())
    }

    fn cancel(&mut self, _now: LocalTime, handle: RequestHandle) -> bool {
        self.dequeue(handle).is_some()
    }

    fn assign(&mut self, now: LocalTime, random: u64) -> Vec<Assignment> {
        self.refuse_late(now);
        let mut assignments = Vec::new();
        let mut random = random;
        for index in 0..self.services.len() {
            while let Some(assignment) = self.assign_next(now, index, random) {
                assignments.push(assignment);
                random = next_random(random);
            }
        }
        assignments
    }

    fn expire(&mut self, now: LocalTime) -> Vec<Refusal> {
        self.refuse_late(now);
        if now.since(self.last_sweep) >= SWEEP_INTERVAL {
            self.last_sweep = now;
            for service in &mut self.services {
                service.expire_inactive(now);
            }
        }
        std::mem::take(&mut self.refusals)
    }

    fn finish(&mut self, now: LocalTime, assignment: Assignment, outcome: SendOutcome) {
        let Some(sent) = self.in_flight.get(&assignment.handle).copied() else {
            return;
        };
        if sent.target != assignment.target {
            return;
        }
        self.in_flight.remove(&assignment.handle);
        self.remove_load(sent.spec.organisation);
        let service = &mut self.services[usize::from(sent.spec.service.0)];
        let urgency = sent.spec.urgency;
        let since_sent = now.since(sent.sent);
        let elapsed = match outcome {
            SendOutcome::Answered { elapsed } => {
                service.times.record(now, urgency, elapsed);
                elapsed
            }
            // A request that was abandoned after more than the mean time would have taken even longer.
            SendOutcome::Unknown if since_sent.0 as f64 > service.times.class_mean(urgency) => {
                service.times.record(now, urgency, since_sent);
                since_sent
            }
            SendOutcome::Failed { .. }
            | SendOutcome::NotSent
            | SendOutcome::NotRun
            | SendOutcome::Unknown => since_sent,
        };
        let uncontended = service.times.uncontended(urgency);
        let organisation = sent.spec.organisation;
        service.finish(
            now,
            sent.class,
            organisation,
            sent.charged,
            elapsed.0 as f64,
        );
        self.targets.finish(now, sent.target, outcome, uncontended);
    }

    fn allow_retry(&mut self, now: LocalTime, spec: &RequestSpec, attempts: u32) -> bool {
        let service = self.services.get_mut(usize::from(spec.service.0));
        let Some(service) = service else {
            return false;
        };
        let remaining = spec.deadline.since(now).0 as f64;
        let in_time = remaining > service.times.class_mean(spec.urgency);
        spec.idempotent && attempts <= MAX_RETRIES && in_time && service.retry_budget.try_spend(now)
    }

    fn mark_leaving(&mut self, _now: LocalTime, notice: &LeavingNotice) {
        self.targets.mark_leaving(notice);
    }

    fn leaving_notices(&self) -> Vec<LeavingNotice> {
        self.targets.leaving_notices()
    }

    fn update_peers(&mut self, now: LocalTime, peers: &[PeerDemand]) {
        self.targets.update_peers(now, peers);
    }

    fn drain(&mut self, now: LocalTime) -> Vec<Refusal> {
        self.draining = true;
        let handles: Vec<RequestHandle> = self.queued.keys().copied().collect();
        for handle in handles {
            self.refuse(handle, ErrorKind::Draining);
        }
        self.expire(now)
    }

    fn demand(&self) -> Vec<u32> {
        let services = self.services.iter();
        services
            .map(|service| service.len() + service.in_flight)
            .collect()
    }
}

fn is_live(queued: &BTreeMap<RequestHandle, QueuedRequest>, entry: QueueEntry) -> bool {
    let request = queued.get(&entry.handle);
    request.is_some_and(|request| request.sequence == entry.sequence)
}

/// Advances the SplitMix64 generator.
fn next_random(random: u64) -> u64 {
    let mut mixed = random.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
