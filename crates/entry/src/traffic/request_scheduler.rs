use {
    crate::clock::BootClock,
    goldcreststall_core::{
        collections::SortedMap,
        error::ErrorKind,
        ids::{HostName, Millis},
        traffic::{
            Assignment, LeavingNotice, PeerDemand, Refusal, RequestHandle, RequestSpec,
            RoutingView, SendOutcome, TargetKey, TrafficPolicy,
        },
    },
    parking_lot::Mutex,
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// Time between two checks of queued requests for expired deadlines.
const EXPIRY_INTERVAL: Millis = Millis(10);

type Waiter = oneshot::Sender<Result<AssignedSlot, ErrorKind>>;

struct SchedulerState {
    /// Number of requests in flight per target.
    in_flight: SortedMap<TargetKey, u32>,
    policy: Box<dyn TrafficPolicy>,
    random: StdRng,
    view: Arc<RoutingView>,
    waiters: SortedMap<RequestHandle, Waiter>,
}

/// Owns the traffic policy and passes its decisions to the waiting requests.
pub struct RequestScheduler {
    clock: BootClock,
    next_handle: AtomicU64,
    state: Mutex<SchedulerState>,
}

/// A slot at a target. Dropping it reports an unknown outcome if the request was sent, and releases the slot unused
/// otherwise.
pub struct AssignedSlot {
    /// The decision of the policy: the request and its target.
    pub assignment: Assignment,
    finished: bool,
    scheduler: Arc<RequestScheduler>,
    sent: bool,
}

/// A request in the queue. Dropping it removes the request from the queue.
pub struct QueuedRequest {
    slot_receiver: oneshot::Receiver<Result<AssignedSlot, ErrorKind>>,
    handle: QueuedHandle,
}

struct QueuedHandle {
    scheduler: Arc<RequestScheduler>,
    handle: RequestHandle,
}

impl RequestScheduler {
    /// Creates a scheduler; `seed` initialises the random choice between equal targets.
    pub fn new(policy: Box<dyn TrafficPolicy>, seed: u64) -> Arc<Self> {
        let state = SchedulerState {
            in_flight: SortedMap::default(),
            policy,
            random: StdRng::seed_from_u64(seed),
            view: Arc::default(),
            waiters: SortedMap::default(),
        };
        Arc::new(Self {
            clock: BootClock,
            next_handle: AtomicU64::new(0),
            state: Mutex::new(state),
        })
    }

    /// Refuses queued requests whose deadlines have expired, until the scheduler is dropped.
    pub async fn run_expiry(scheduler: std::sync::Weak<Self>) {
        loop {
            tokio::time::sleep(Duration::from_millis(EXPIRY_INTERVAL.0)).await;
            let Some(scheduler) = scheduler.upgrade() else {
                return;
            };
            let mut state = scheduler.state.lock();
            scheduler.dispatch_assignments(&mut state);
        }
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    /// An error kind of the class `NotRun`, if the policy refuses the request.
    pub fn enqueue(self: &Arc<Self>, spec: RequestSpec) -> Result<QueuedRequest, ErrorKind> {
        let handle = RequestHandle(self.next_handle.fetch_add(1, Ordering::Relaxed));
        let (sender, slot_receiver) = oneshot::channel();
        self.offer(handle, spec, sender)?;
        let handle = QueuedHandle {
            scheduler: Arc::clone(self),
            handle,
        };
        Ok(QueuedRequest {
            slot_receiver,
            handle,
        })
    }

    /// Replaces the routing view; has no effect if `view` is the current one.
    pub fn update_view(self: &Arc<Self>, view: Arc<RoutingView>) {
        let mut state = self.state.lock();
        if Arc::ptr_eq(&state.view, &view) {
            return;
        }
        state.view = Arc::clone(&view);
        state.policy.update_view(self.clock.now(), view);
        self.dispatch_assignments(&mut state);
    }

    /// Marks an incarnation of a host as leaving, so that it gets no new requests.
    pub fn mark_leaving(&self, notice: &LeavingNotice) {
        let mut state = self.state.lock();
        state.policy.mark_leaving(self.clock.now(), notice);
    }

    /// Returns the leaving notices that are in effect.
    pub fn leaving_notices(&self) -> Vec<LeavingNotice> {
        self.state.lock().policy.leaving_notices()
    }

    /// Replaces the known demand of the entry hosts.
    pub fn update_peers(self: &Arc<Self>, peers: &[PeerDemand]) {
        let mut state = self.state.lock();
        state.policy.update_peers(self.clock.now(), peers);
        self.dispatch_assignments(&mut state);
    }

    /// Returns whether a request may be retried after `attempts` attempts; if so, charges its retry budget.
    pub fn allow_retry(&self, spec: &RequestSpec, attempts: u32) -> bool {
        let mut state = self.state.lock();
        state.policy.allow_retry(self.clock.now(), spec, attempts)
    }

    /// Refuses all queued requests as not run; later ones are admitted only if a slot is free.
    pub fn drain(&self) {
        let mut state = self.state.lock();
        let refusals = state.policy.drain(self.clock.now());
        refuse(&mut state, refusals);
    }

    /// Returns the hosts that take no new work and still have requests of this entry host in flight.
    pub fn busy_hosts(&self) -> Vec<HostName> {
        let state = self.state.lock();
        let targets = state.in_flight.iter();
        let targets = targets.filter_map(|(key, _)| state.view.target_at(*key));
        let draining = targets.filter(|target| target.leaving || !target.present);
        draining.map(|target| target.name.clone()).collect()
    }

    /// Returns the number of queued and in-flight requests of each service, in the order of the view.
    pub fn demand(&self) -> Vec<u32> {
        self.state.lock().policy.demand()
    }

    fn offer(
        self: &Arc<Self>,
        handle: RequestHandle,
        spec: RequestSpec,
        waiter: Waiter,
    ) -> Result<(), ErrorKind> {
        let mut state = self.state.lock();
        state.policy.offer(self.clock.now(), handle, spec)?;
        state.waiters.insert(handle, waiter);
        self.dispatch_assignments(&mut state);
        Ok(())
    }

    /// Refuses expired requests and assigns slots to waiting ones. The slot of a request that no longer waits is
    /// released unused.
    fn dispatch_assignments(self: &Arc<Self>, state: &mut SchedulerState) {
        let now = self.clock.now();
        let refusals = state.policy.expire(now);
        refuse(state, refusals);
        let random = state.random.next_u64();
        for assignment in state.policy.assign(now, random) {
            state.add_in_flight(assignment.target);
            let slot = AssignedSlot {
                assignment,
                finished: false,
                scheduler: Arc::clone(self),
                sent: false,
            };
            let waiter = state.waiters.remove(&assignment.handle);
            let undelivered = match waiter {
                Some(waiter) => waiter.send(Ok(slot)).err().and_then(Result::ok),
                None => Some(slot),
            };
            if let Some(mut slot) = undelivered {
                // The lock is held here, so dropping the slot must not report to the scheduler.
                slot.finished = true;
                state.remove_in_flight(assignment.target);
                state.policy.finish(now, assignment, SendOutcome::NotSent);
            }
        }
    }

    fn finish(self: &Arc<Self>, assignment: Assignment, outcome: SendOutcome) {
        let mut state = self.state.lock();
        state.remove_in_flight(assignment.target);
        state.policy.finish(self.clock.now(), assignment, outcome);
        self.dispatch_assignments(&mut state);
    }
}

impl SchedulerState {
    fn add_in_flight(&mut self, target: TargetKey) {
        match self.in_flight.get_mut(&target) {
            Some(count) => *count += 1,
            None => {
                self.in_flight.insert(target, 1);
            }
        }
    }

    fn remove_in_flight(&mut self, target: TargetKey) {
        let Some(count) = self.in_flight.get_mut(&target) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.in_flight.remove(&target);
        }
    }
}

/// Sends each refusal to its waiting request.
fn refuse(state: &mut SchedulerState, refusals: Vec<Refusal>) {
    for refusal in refusals {
        if let Some(waiter) = state.waiters.remove(&refusal.handle) {
            // Nobody receives the refusal if the caller has disconnected.
            let _ = waiter.send(Err(refusal.kind));
        }
    }
}

impl QueuedRequest {
    /// Waits for a slot at a target.
    ///
    /// # Errors
    /// An error kind of the class `NotRun`.
    pub async fn wait(self) -> Result<AssignedSlot, ErrorKind> {
        let result = self.slot_receiver.await;
        drop(self.handle);
        result.unwrap_or(Err(ErrorKind::Draining))
    }
}

impl AssignedSlot {
    /// Records that the request is about to be sent.
    pub fn mark_sent(&mut self) {
        self.sent = true;
    }

    /// Releases the slot and reports how the exchange ended.
    pub fn finish(mut self, outcome: SendOutcome) {
        self.finished = true;
        self.scheduler.finish(self.assignment, outcome);
    }
}

impl Drop for AssignedSlot {
    fn drop(&mut self) {
        if !self.finished {
            self.finished = true;
            let outcome = if self.sent {
                SendOutcome::Unknown
            } else {
                SendOutcome::NotSent
            };
            self.scheduler.finish(self.assignment, outcome);
        }
    }
}

impl Drop for QueuedHandle {
    fn drop(&mut self) {
        let mut state = self.scheduler.state.lock();
        if state.waiters.remove(&self.handle).is_some() {
            state.policy.cancel(self.scheduler.clock.now(), self.handle);
        }
    }
}
