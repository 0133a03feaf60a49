use {
    crate::{
        control::{ControlEvent, OwnerActor},
        election::OwnerLocation,
        links::{LinkError, OwnerLink},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::owner::{CallResponse, JobCall},
    goldcreststall_entry::clock::BootClock,
    kameo::actor::ActorRef,
    parking_lot::Mutex,
    std::time::Duration,
    tokio::sync::{oneshot, watch},
};

/// Longest wait for a change of the owner before a failed call is tried again.
const OWNER_CHANGE_TIMEOUT: Millis = Millis(200);
/// Most attempts of a call that the owner refuses.
const MAX_REFUSED_ATTEMPTS: u32 = 2;
/// How long a call that has reached no owner waits for one. The next owner is elected within this time of the loss of
/// the last one, sooner than a refused caller would retry.
const NO_OWNER_TIMEOUT: Millis = Millis(1_900);
/// Time without a response of the owner after which callers are better served by another entry host. After a change of
/// the owner, the new one is reached sooner than this.
const UNREACHABLE_TIMEOUT: Millis = Millis(1_000);
/// Longest wait for the response to a probe of the owner.
const PROBE_TIMEOUT: Millis = Millis(500);

/// Sends calls to the owner, in this process or on another entry host.
pub struct OwnerClient {
    actor: ActorRef<OwnerActor>,
    link: OwnerLink,
    owner: watch::Receiver<Option<OwnerLocation>>,
    /// When the first call since the last response failed; `None` after a response.
    unreachable_since: Mutex<Option<LocalTime>>,
}

/// How one attempt ended.
enum Attempt {
    /// A response arrived; it may say that the called process is not the owner.
    Answered(CallResponse),
    /// No response arrived, but the owner may have accepted the call.
    Lost,
    /// The call did not reach the owner.
    NotSent,
}

impl OwnerClient {
    /// Creates a client that finds the owner through `owner`: the local `actor`, or another entry host over `link`.
    pub fn new(
        actor: ActorRef<OwnerActor>,
        link: OwnerLink,
        owner: watch::Receiver<Option<OwnerLocation>>,
    ) -> Self {
        Self {
            actor,
            link,
            owner,
            unreachable_since: Mutex::new(None),
        }
    }

    /// Returns whether an owner is known and has not been unreachable for too long.
    pub fn can_reach_owner(&self) -> bool {
        let now = BootClock.now();
        let too_long = |since: LocalTime| now.since(since) > UNREACHABLE_TIMEOUT;
        self.owner.borrow().is_some() && !self.unreachable_since.lock().is_some_and(too_long)
    }

    /// Sends a call without effect to the owner, if the last call got no response.
    pub async fn probe_owner(&self) {
        let location = self.owner.borrow().clone();
        let is_unreachable = self.unreachable_since.lock().is_some();
        if let (Some(location), true) = (location, is_unreachable) {
            // Counts the pending jobs of a queue that does not exist.
            let call = JobCall::Pending(String::new());
            self.attempt(&location, call, BootClock.now() + PROBE_TIMEOUT)
                .await;
        }
    }

    /// Sends a call to the owner and returns its response within about `timeout`. Failed attempts are repeated: calls
    /// name their job, so a repeated one has no further effect.
    pub async fn call(&self, call: JobCall, timeout: Millis) -> CallResponse {
        let started = BootClock.now();
        let deadline = started + timeout;
        let unsent_deadline = deadline.min(started + NO_OWNER_TIMEOUT);
        let is_change = call.is_change();
        let mut lost = false;
        let mut refused_attempts = 0;
        loop {
            if self.owner.borrow().is_none() {
                self.link.discover_owner().await;
            }
            let location = self.owner.borrow().clone();
            if let Some(location) = &location {
                match self.attempt(location, call.clone(), deadline).await {
                    Attempt::Answered(CallResponse::Unavailable) => refused_attempts += 1,
                    // The attempt whose answer was lost may still arrive and be accepted.
                    Attempt::Answered(CallResponse::Busy(_) | CallResponse::OverRate(_))
                        if lost && is_change => {}
                    Attempt::Answered(CallResponse::Unknown) | Attempt::Lost => lost = true,
                    Attempt::Answered(response) => return response,
                    Attempt::NotSent => {}
                }
            }
            // A change that may have been accepted is tried until its deadline, because only a response of an owner
            // tells its outcome.
            let may_be_accepted = lost && is_change;
            let retry_until = if may_be_accepted {
                deadline
            } else {
                unsent_deadline
            };
            let refused = refused_attempts >= MAX_REFUSED_ATTEMPTS && !may_be_accepted;
            if refused || !self.wait_for_owner(location.as_ref(), retry_until).await {
                break;
            }
        }
        if lost && is_change {
            return CallResponse::Unknown;
        }
        CallResponse::Unavailable
    }

    async fn attempt(
        &self,
        location: &OwnerLocation,
        call: JobCall,
        deadline: LocalTime,
    ) -> Attempt {
        let remaining = Duration::from_millis(deadline.since(BootClock.now()).0);
        let exchange = async {
            if location.own {
                return self.call_local(call).await;
            }
            match self.link.call(location.address, call).await {
                Ok(response) => Attempt::Answered(response),
                Err(LinkError::NotSent) => Attempt::NotSent,
                Err(LinkError::Lost) => Attempt::Lost,
            }
        };
        let attempt = tokio::time::timeout(remaining, exchange)
            .await
            .unwrap_or(Attempt::Lost);
        let mut unreachable_since = self.unreachable_since.lock();
        match attempt {
            Attempt::Answered(_) => *unreachable_since = None,
            Attempt::Lost | Attempt::NotSent => {
                unreachable_since.get_or_insert_with(|| BootClock.now());
            }
        }
        attempt
    }

    async fn call_local(&self, call: JobCall) -> Attempt {
        let (reply, response) = oneshot::channel();
        if self
            .actor
            .tell(ControlEvent::Call { call, reply })
            .await
            .is_err()
        {
            return Attempt::NotSent;
        }
        response.await.map_or(Attempt::Lost, Attempt::Answered)
    }

    /// Waits a short time for an owner other than `previous`. Returns whether there is time for another attempt before
    /// the deadline.
    async fn wait_for_owner(&self, previous: Option<&OwnerLocation>, deadline: LocalTime) -> bool {
        let remaining = deadline.since(BootClock.now());
        let wait = Duration::from_millis(remaining.0.min(OWNER_CHANGE_TIMEOUT.0));
        let mut owner = self.owner.clone();
        let is_other = |owner: &Option<OwnerLocation>| {
            let token = owner.as_ref().map(|owner| owner.token);
            token.is_some() && token != previous.map(|previous| previous.token)
        };
        let changed = tokio::time::timeout(wait, owner.wait_for(is_other))
            .await
            .is_ok();
        if !changed {
            // If no entry host knows another owner, the same one is called again.
            self.link.discover_owner().await;
        }
        remaining.0 > OWNER_CHANGE_TIMEOUT.0
    }
}
