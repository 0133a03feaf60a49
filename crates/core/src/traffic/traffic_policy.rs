use {
    super::{LeavingNotice, OrganisationKey, PeerDemand, RoutingView, ServiceKey, TargetKey},
    crate::{
        error::ErrorKind,
        ids::{LocalTime, Millis},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// How soon a caller needs its response; the most urgent class is the smallest value.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Urgency {
    /// A person waits for the response.
    Urgent,
    /// The default class.
    Normal,
    /// Work that may wait until the end of the night.
    Overnight,
}

/// Identity of a request within one traffic policy.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestHandle(pub u64);

/// Properties of a request that the policy decides by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestSpec {
    /// Time by which the response has to be complete.
    pub deadline: LocalTime,
    /// Whether the request may be sent again after an unknown outcome.
    pub idempotent: bool,
    /// Service that the request is for.
    pub service: ServiceKey,
    /// Organisation that sends the request.
    pub organisation: OrganisationKey,
    /// Urgency class of the request.
    pub urgency: Urgency,
}

/// A request that is to be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// Target that the request is sent to.
    pub target: TargetKey,
    /// The request.
    pub handle: RequestHandle,
}

/// A queued request that is not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason; its outcome class is always `NotRun`.
    pub kind: ErrorKind,
    /// The request.
    pub handle: RequestHandle,
}

/// How a request that was sent ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The complete response arrived.
    Answered {
        /// Time between sending and the end of the response.
        elapsed: Millis,
    },
    /// The complete response arrived and reports a failure of the target (status 500 to 599, except "not run").
    Failed {
        /// Time between sending and the end of the response.
        elapsed: Millis,
    },
    /// The slot was released before the request was sent, for example because the caller disconnected. This outcome
    /// says nothing about the target.
    NotSent,
    /// The request was not run: the connection failed, or the target reported it as not run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

/// Decides which requests are admitted, in which order they are served, and by which target.
pub trait TrafficPolicy: Send {
    /// Replaces the view of services, targets and organisations. Queued requests and counts are kept, so each
    /// view has to be built from the previous one with [`RoutingView::next`].
    fn update_view(&mut self, now: LocalTime, view: Arc<RoutingView>);

    /// Admits a request to the queue.
    ///
    /// # Errors
    /// An error kind with the outcome class `NotRun`.
    fn offer(
        &mut self,
        now: LocalTime,
        handle: RequestHandle,
        spec: RequestSpec,
    ) -> Result<(), ErrorKind>;

    /// Removes a request from the queue; returns false when it is no longer queued.
    fn cancel(&mut self, now: LocalTime, handle: RequestHandle) -> bool;

    /// Returns the requests to send now. `random` chooses between targets.
    fn assign(&mut self, now: LocalTime, random: u64) -> Vec<Assignment>;

    /// Removes and returns the queued requests that can no longer be served in time.
    fn expire(&mut self, now: LocalTime) -> Vec<Refusal>;

    /// Records the end of an assignment.
    fn finish(&mut self, now: LocalTime, assignment: Assignment, outcome: SendOutcome);

    /// Decides whether a request may be sent again, and if so charges the retry budget.
    /// `attempts` is the number of times that it has been sent so far.
    fn allow_retry(&mut self, now: LocalTime, spec: &RequestSpec, attempts: u32) -> bool;

    /// Marks an incarnation of a host as leaving, before the view shows it.
    fn mark_leaving(&mut self, now: LocalTime, notice: &LeavingNotice);

    /// Returns the notices that still apply to hosts in the view, for the digests to peers.
    fn leaving_notices(&self) -> Vec<LeavingNotice>;

    /// Replaces the demand of the entry hosts, including the digest that this one sent last, and
    /// divides the slots again. Peers without a digest for longer than `DEMAND_TIMEOUT` no longer count. It
    /// is called every 200 ms, even without a new digest.
    fn update_peers(&mut self, now: LocalTime, peers: &[PeerDemand]);

    /// Starts the graceful shutdown and returns all queued requests as refused. From then on, a request
    /// is only admitted when a slot is free for it.
    fn drain(&mut self, now: LocalTime) -> Vec<Refusal>;

    /// Returns the number of queued and in-flight requests of each service, indexed by [`ServiceKey`].
    fn demand(&self) -> Vec<u32>;
}
