use {
    super::{LeavingNotice, OrganisationKey, PeerDemand, RoutingView, ServiceKey, TargetKey},
    crate::{
        error::ErrorKind,
        ids::{LocalTime, Millis},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// How soon a caller needs its answer; the most urgent class is the smallest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Urgency {
    /// Somebody waits for the answer.
    Urgent,
    /// The usual class.
    Normal,
    /// Work that may wait until the night ends.
    Overnight,
}

/// Identity of a request within one traffic policy.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestHandle(pub u64);

/// What the policy has to know of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestSpec {
    /// When the answer has to be complete.
    pub deadline: LocalTime,
    /// Whether the request may be sent again after an unknown outcome.
    pub idempotent: bool,
    /// The service that is asked.
    pub service: ServiceKey,
    /// Who asks.
    pub organisation: OrganisationKey,
    /// Class of the request.
    pub urgency: Urgency,
}

/// A request that is to be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// Where the request goes.
    pub target: TargetKey,
    /// The request.
    pub handle: RequestHandle,
}

/// A queued request that will not be served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why; always of the class not run.
    pub kind: ErrorKind,
    /// The request.
    pub handle: RequestHandle,
}

/// How a request that was sent ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The whole answer arrived.
    Answered {
        /// Time between sending and the end of the answer.
        took: Millis,
    },
    /// The whole answer arrived and says that the target failed (status 500 to 599, but not run).
    Failed {
        /// Time between sending and the end of the answer.
        took: Millis,
    },
    /// The slot was released before the request was sent, for example because the caller left. It says nothing of the
    /// target.
    NotSent,
    /// The request was not run: no connection, or the target said so.
    NotRun,
    /// The outcome is unknown.
    Unknown,
}

/// Decides which requests are admitted, in which order they are served, and by which target.
pub trait TrafficPolicy: Send {
    /// Replaces the view of services, targets and organisations. Queued requests and counts are kept, for which
    /// each view has to be built from the one before with [`RoutingView::next`].
    fn update_view(&mut self, now: LocalTime, view: Arc<RoutingView>);

    /// Admits a request to the queue.
    ///
    /// # Errors
    /// A kind of the class not run.
    fn offer(
        &mut self,
        now: LocalTime,
        handle: RequestHandle,
        spec: RequestSpec,
    ) -> Result<(), ErrorKind>;

    /// Takes a request out of the queue; false when it is not queued any more.
    fn cancel(&mut self, now: LocalTime, handle: RequestHandle) -> bool;

    /// Returns the requests that are to be sent now. `random` decides between equal targets.
    fn assign(&mut self, now: LocalTime, random: u64) -> Vec<Assignment>;

    /// Returns the queued requests that can no longer be served in time.
    fn expire(&mut self, now: LocalTime) -> Vec<Refusal>;

    /// Reports the end of an assignment.
    fn finish(&mut self, now: LocalTime, assignment: Assignment, outcome: SendOutcome);

    /// Decides whether a request may be sent again, and pays for it from the retry budget.
    /// `attempts` counts how often it was sent so far.
    fn allow_retry(&mut self, now: LocalTime, spec: &RequestSpec, attempts: u32) -> bool;

    /// Marks the run of a host as leaving, before the view says so.
    fn mark_leaving(&mut self, now: LocalTime, notice: &LeavingNotice);

    /// Returns the notices that still hold for hosts in the view, for the digests to peers.
    fn leaving_notices(&self) -> Vec<LeavingNotice>;

    /// Replaces the demand of the entry hosts, including the digest that this one sent last, and
    /// splits the slots anew. Peers that are silent for `DEMAND_TIMEOUT` no longer count. It is called
    /// every 200 ms, also without a new digest.
    fn update_peers(&mut self, now: LocalTime, peers: &[PeerDemand]);

    /// Starts the graceful shutdown: returns all queued requests as refused. From then on, a request
    /// is admitted only when a slot is free for it.
    fn drain(&mut self, now: LocalTime) -> Vec<Refusal>;

    /// Returns queued and in-flight requests of each service, indexed by [`ServiceKey`].
    fn demand(&self) -> Vec<u32>;
}
