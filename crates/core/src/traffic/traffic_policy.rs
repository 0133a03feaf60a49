use {
    super::{RoutingView, ServiceKey, TargetKey, TenantKey},
    crate::{
        error::ErrorKind,
        ids::{HostName, LocalTime, Millis},
    },
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, sync::Arc},
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
pub struct Ticket(pub u64);

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
    pub tenant: TenantKey,
    /// Class of the request.
    pub urgency: Urgency,
}

/// A request that is to be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// Where the request goes.
    pub target: TargetKey,
    /// The request.
    pub ticket: Ticket,
}

/// A queued request that will not be served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why; always of the class not run.
    pub kind: ErrorKind,
    /// The request.
    pub ticket: Ticket,
}

/// How a request that was sent ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendOutcome {
    /// The whole answer arrived.
    Answered {
        /// Time between sending and the end of the answer.
        took: Millis,
    },
    /// The request was not run: no connection, or the target said so.
    NotRun,
    /// The outcome is unknown.
    Unknown,
}

/// Decides which requests are admitted, in which order they are served, and by which target.
pub trait TrafficPolicy: Send {
    /// Replaces the view of services, targets and tenants. Queued requests and counts are kept.
    fn update_view(&mut self, now: LocalTime, view: Arc<RoutingView>);

    /// Admits a request to the queue.
    ///
    /// # Errors
    /// A kind of the class not run.
    fn offer(&mut self, now: LocalTime, ticket: Ticket, spec: RequestSpec)
    -> Result<(), ErrorKind>;

    /// Takes a request out of the queue; false when it is not queued any more.
    fn cancel(&mut self, now: LocalTime, ticket: Ticket) -> bool;

    /// Returns the requests that are to be sent now. `random` decides between equal targets.
    fn assign(&mut self, now: LocalTime, random: u64) -> Vec<Assignment>;

    /// Returns the queued requests that can no longer be served in time.
    fn expire(&mut self, now: LocalTime) -> Vec<Refusal>;

    /// Reports the end of an assignment.
    fn finish(&mut self, now: LocalTime, assignment: Assignment, outcome: SendOutcome);

    /// Decides whether a request may be sent again, and pays for it from the retry budget.
    fn allow_retry(&mut self, now: LocalTime, spec: &RequestSpec, attempts: u32) -> bool;

    /// Marks a target as leaving, before the view says so.
    fn mark_leaving(&mut self, now: LocalTime, host: &HostName);

    /// Returns queued and in-flight requests of each service, indexed by [`ServiceKey`].
    fn demand(&self) -> Vec<u32>;
}

/// First come, first served, to a random target with a free slot.
#[derive(Debug, Default)]
pub struct QueuePolicy {
    in_flight: Vec<u32>,
    queue: VecDeque<(Ticket, RequestSpec)>,
    view: Arc<RoutingView>,
}

impl QueuePolicy {
    fn choose(&self, service: ServiceKey, random: u64) -> Option<TargetKey> {
        let targets = self.view.targets.iter().enumerate();
        let free: Vec<usize> = targets
            .filter(|(_, target)| target.service == service && !target.leaving)
            .filter(|(index, target)| self.in_flight[*index] < target.slots)
            .map(|(index, _)| index)
            .collect();
        let count = u64::try_from(free.len()).ok().filter(|count| *count > 0)?;
        let index = free[usize::try_from(random % count).ok()?];
        Some(TargetKey(u32::try_from(index).ok()?))
    }
}

impl TrafficPolicy for QueuePolicy {
    fn update_view(&mut self, _now: LocalTime, view: Arc<RoutingView>) {
        self.in_flight.resize(view.targets.len(), 0);
        self.view = view;
    }

    fn offer(
        &mut self,
        now: LocalTime,
        ticket: Ticket,
        spec: RequestSpec,
    ) -> Result<(), ErrorKind> {
        if spec.deadline <= now {
            return Err(ErrorKind::DeadlineUnreachable);
        }
        self.queue.push_back((ticket, spec));
        Ok(())
    }

    fn cancel(&mut self, _now: LocalTime, ticket: Ticket) -> bool {
        let before = self.queue.len();
        self.queue.retain(|(queued, _)| *queued != ticket);
        self.queue.len() < before
    }

    fn assign(&mut self, _now: LocalTime, random: u64) -> Vec<Assignment> {
        let mut assignments = Vec::new();
        let queued = std::mem::take(&mut self.queue);
        for (ticket, spec) in queued {
            match self.choose(spec.service, random) {
                Some(target) => {
                    self.in_flight[target.0 as usize] += 1;
                    assignments.push(Assignment { target, ticket });
                }
                None => self.queue.push_back((ticket, spec)),
            }
        }
        assignments
    }

    fn expire(&mut self, now: LocalTime) -> Vec<Refusal> {
        let mut refusals = Vec::new();
        self.queue.retain(|(ticket, spec)| {
            let live = spec.deadline > now;
            if !live {
                refusals.push(Refusal {
                    kind: ErrorKind::DeadlineUnreachable,
                    ticket: *ticket,
                });
            }
            live
        });
        refusals
    }

    fn finish(&mut self, _now: LocalTime, assignment: Assignment, _outcome: SendOutcome) {
        if let Some(count) = self.in_flight.get_mut(assignment.target.0 as usize) {
            *count = count.saturating_sub(1);
        }
    }

    fn allow_retry(&mut self, _now: LocalTime, spec: &RequestSpec, attempts: u32) -> bool {
        spec.idempotent && attempts < 3
    }

    fn mark_leaving(&mut self, _now: LocalTime, _host: &HostName) {}

    fn demand(&self) -> Vec<u32> {
        vec![0; self.view.services.len()]
    }
}
