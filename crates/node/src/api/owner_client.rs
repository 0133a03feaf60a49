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

/// Longest wait for another owner before a call that failed is tried again.
const OWNER_WAIT: Millis = Millis(200);
/// Attempts of a call that the owner has refused.
const MOST_REFUSALS: u32 = 2;
/// How long a call that has reached no owner waits for one. The next owner is there within this time of the loss of the
/// last one, sooner than a caller that is refused would come back.
const NO_OWNER_TIMEOUT: Millis = Millis(1_900);
/// Time without a response of the owner after which callers are better off at another entry host. An owner that is
/// replaced is reached again sooner.
const UNREACHED_LIMIT: Millis = Millis(1_000);
/// Longest wait for the response to a call that only tries the way to the owner.
const PROBE_LIMIT: Millis = Millis(500);

/// Brings calls to the owner, in this process or at another entry host.
pub struct OwnerClient {
    actor: ActorRef<OwnerActor>,
    link: OwnerLink,
    owner: watch::Receiver<Option<OwnerLocation>>,
    /// When the first of the calls in a row was made that reached no owner.
    unreached: Mutex<Option<LocalTime>>,
}

/// How one attempt failed.
enum Attempt {
    /// A response came, which may be that the process is not the owner.
    Answered(CallResponse),
    /// The call may have been taken; no response came.
    Lost,
    /// The call did not reach the owner.
    NotSent,
}

impl OwnerClient {
    /// Creates a client of the owner.
    pub fn new(
        actor: ActorRef<OwnerActor>,
        link: OwnerLink,
        owner: watch::Receiver<Option<OwnerLocation>>,
    ) -> Self {
        Self {
            actor,
            link,
            owner,
            unreached: Mutex::new(None),
        }
    }

    /// Returns whether an owner is known and, as far as tried, reached.
    pub fn reaches_owner(&self) -> bool {
        let now = BootClock.now();
        let lasts = |since: LocalTime| now.since(since) > UNREACHED_LIMIT;
        self.owner.borrow().is_some() && !self.unreached.lock().is_some_and(lasts)
    }

    /// Tries the way to the owner, if the last call did not reach it.
    pub async fn probe_owner(&self) {
        let location = self.owner.borrow().clone();
        let unreached = self.unreached.lock().is_some();
        if let (Some(location), true) = (location, unreached) {
            // Counts the jobs of no queue.
            let call = JobCall::Pending(String::new());
            self.attempt(&location, call, BootClock.now() + PROBE_LIMIT)
                .await;
        }
    }

    /// Brings a call to the owner and returns its response, at most `limit` later. Calls name their job, so that
    /// a repeated one has no further effect.
    pub async fn ask(&self, call: JobCall, limit: Millis) -> CallResponse {
        let began = BootClock.now();
        let end = began + limit;
        let unsent_end = end.min(began + NO_OWNER_TIMEOUT);
        let changes = matches!(call, JobCall::Submit(..) | JobCall::Cancel(_));
        let mut lost = false;
        let mut refusals = 0;
        loop {
            if self.owner.borrow().is_none() {
                self.link.discover_owner().await;
            }
            let location = self.owner.borrow().clone();
            if let Some(location) = &location {
                match self.attempt(location, call.clone(), end).await {
                    Attempt::Answered(CallResponse::Unavailable) => refusals += 1,
                    Attempt::Answered(CallResponse::Unknown) | Attempt::Lost => lost = true,
                    Attempt::Answered(response) => return response,
                    Attempt::NotSent => {}
                }
            }
            // A call that may have been taken is tried until its time is over, because only an owner's answer tells
            // what became of it.
            let may_be_taken = lost && changes;
            let until = if may_be_taken { end } else { unsent_end };
            let refused = refusals >= MOST_REFUSALS && !may_be_taken;
            if refused || !self.wait_for_owner(location.as_ref(), until).await {
                break;
            }
        }
        if lost && changes {
            return CallResponse::Unknown;
        }
        CallResponse::Unavailable
    }

    async fn attempt(&self, location: &OwnerLocation, call: JobCall, end: LocalTime) -> Attempt {
        let left = Duration::from_millis(end.since(BootClock.now()).0);
        let answered = async {
            if location.own {
                return self.ask_own(call).await;
            }
            match self.link.ask(location.address, call).await {
                Ok(response) => Attempt::Answered(response),
                Err(LinkError::NotSent) => Attempt::NotSent,
                Err(LinkError::Lost) => Attempt::Lost,
            }
        };
        let attempt = tokio::time::timeout(left, answered)
            .await
            .unwrap_or(Attempt::Lost);
        let mut unreached = self.unreached.lock();
        match attempt {
            Attempt::Answered(_) => *unreached = None,
            Attempt::Lost | Attempt::NotSent => {
                unreached.get_or_insert_with(|| BootClock.now());
            }
        }
        attempt
    }

    async fn ask_own(&self, call: JobCall) -> Attempt {
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

    /// Waits a short time for another owner than the one before; returns false when the time is over.
    async fn wait_for_owner(&self, before: Option<&OwnerLocation>, end: LocalTime) -> bool {
        let left = end.since(BootClock.now());
        let wait = Duration::from_millis(left.0.min(OWNER_WAIT.0));
        let mut owner = self.owner.clone();
        let other = |owner: &Option<OwnerLocation>| {
            let token = owner.as_ref().map(|owner| owner.token);
            token.is_some() && token != before.map(|before| before.token)
        };
        let changed = tokio::time::timeout(wait, owner.wait_for(other))
            .await
            .is_ok();
        if !changed {
            // The same owner is asked again when nobody knows of another.
            self.link.discover_owner().await;
        }
        left.0 > OWNER_WAIT.0
    }
}
