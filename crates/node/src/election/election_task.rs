use {
    super::{OwnerLease, OwnershipRecord},
    crate::{
        links::PeerDirectory,
        ports::{AppendCondition, PlatformStore, StoreError, StoreTopic},
    },
    bytes::Bytes,
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_entry::clock::BootClock,
    slog::{Logger, info, warn},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::{mpsc, watch},
    tokio_util::sync::CancellationToken,
};

/// Least time from the send of a renewal until the owner stops giving commands.
const MIN_LEASE: Millis = Millis(1_300);
/// Most of it. A slow store must not end the term of an owner that nobody could replace any faster.
const MAX_LEASE: Millis = Millis(3_000);
/// Added to the owner's lease before another entry host claims.
const CLAIM_MARGIN: Millis = Millis(200);
/// How long the topic must be silent after the store has answered again. The owner could not renew in the outage; it
/// knows all runners, and any other process would have to read the jobs and ask each runner anew.
const OUTAGE_GRACE: Millis = Millis(700);
/// Time between renewals; three fit into a lease.
const RENEWAL_INTERVAL: Millis = Millis(400);
/// Longest wait of a read for the next record.
const READ_WAIT: Millis = Millis(600);
/// Longest wait for the response to a claim or renewal.
const APPEND_TIMEOUT: Millis = Millis(1_200);
/// Longest wait for the response to a renewal that follows one without success. The store may have come back while the
/// earlier one was still waiting on a silent connection.
const RETRY_TIMEOUT: Millis = Millis(600);
/// Pause after a failed call of the store.
const FAILURE_PAUSE: Millis = Millis(150);

/// Who owns the fleet, as far as this entry host has read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerLocation {
    /// Where the owner answers.
    pub address: SocketAddr,
    /// Fencing token of its term.
    pub token: u64,
    /// This process is the owner.
    pub own: bool,
}

impl OwnerLocation {
    /// Returns whether the owner is known to be this process.
    pub fn is_own(location: &Option<Self>) -> bool {
        location.as_ref().is_some_and(|location| location.own)
    }
}

/// A change of this process's role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ElectionEvent {
    /// This process owns the fleet, with a fencing token.
    Elected(u64),
    /// The term is over.
    TermEnded,
}

/// Follows the ownership topic, claims when it is silent, and renews the own claim.
pub struct ElectionTask {
    /// Name of this process.
    pub claimant: String,
    /// Where this process answers other entry hosts.
    pub address: SocketAddr,
    /// The store.
    pub store: Arc<dyn PlatformStore>,
    /// Told of changes of the role.
    pub events: mpsc::UnboundedSender<ElectionEvent>,
    /// Told who owns the fleet.
    pub owner: watch::Sender<Option<OwnerLocation>>,
    /// Told of claimants.
    pub peers: PeerDirectory,
    /// Prolonged by renewals.
    pub lease: OwnerLease,
    /// How much later than others this host claims: hosts that are too small for the owner's work come last.
    pub claim_delay: Millis,
    /// Cancelled when this process stops: the claim is released and none is made.
    pub stop: CancellationToken,
    /// Log of decisions.
    pub logger: Logger,
}

/// When renewals are sent and how long their leases are.
#[derive(Default)]
struct RenewalSchedule {
    /// First send of the renewal that is not known to be stored.
    first: Option<LocalTime>,
    latency: Millis,
}

impl RenewalSchedule {
    /// Returns the pause before the next renewal: a slow store takes part of the period itself, and a renewal that is
    /// not known to be stored is repeated soon.
    fn pause(&self) -> Millis {
        if self.first.is_some() {
            return FAILURE_PAUSE;
        }
        Millis(RENEWAL_INTERVAL.0.saturating_sub(self.latency.0))
    }

    /// Returns the longest wait for the response to the next renewal.
    fn timeout(&self) -> Millis {
        if self.first.is_some() {
            return RETRY_TIMEOUT.max(self.latency + self.latency);
        }
        APPEND_TIMEOUT
    }

    /// Returns a lease that outlives the next renewal, also when the store stays as slow as it was.
    fn lease(&self) -> Millis {
        let wanted = Millis(self.latency.0 * 2) + RENEWAL_INTERVAL;
        wanted.clamp(MIN_LEASE, MAX_LEASE)
    }

    fn send(&mut self) {
        self.first.get_or_insert_with(|| BootClock.now());
    }

    /// Takes note that the renewal is stored, and returns when it was first sent.
    fn stored(&mut self) -> LocalTime {
        let now = BootClock.now();
        let first = self.first.take().unwrap_or(now);
        self.latency = now.since(first);
        first
    }
}

/// What was read of the topic.
struct OwnerWatch {
    next: u64,
    last_record: LocalTime,
    lease: Millis,
    released: bool,
    /// The last read has failed.
    failed: bool,
}

impl OwnerWatch {
    /// Takes note that the store answers a read.
    fn answered(&mut self, limit: Millis) {
        if std::mem::take(&mut self.failed) {
            let now = BootClock.now();
            self.last_record = self.last_record.max(now + OUTAGE_GRACE - limit);
        }
    }
}

impl ElectionTask {
    /// Runs until the process stops.
    pub async fn run(self) {
        tokio::time::sleep(Duration::from_millis(self.claim_delay.0)).await;
        let mut watch = OwnerWatch {
            next: 0,
            last_record: BootClock.now(),
            lease: MIN_LEASE,
            released: false,
            failed: false,
        };
        while !self.stop.is_cancelled() {
            if let Some(token) = self.follow(&mut watch).await {
                self.hold_term(token).await;
                watch.last_record = BootClock.now();
                watch.released = false;
            }
        }
    }

    /// Reads the topic until a claim of this process succeeds.
    async fn follow(&self, watch: &mut OwnerWatch) -> Option<u64> {
        let limit = watch.lease + CLAIM_MARGIN + self.claim_delay;
        let silent_too_long = BootClock.now().since(watch.last_record) >= limit;
        let wait = if silent_too_long {
            Millis(0)
        } else if watch.released {
            self.claim_delay
        } else {
            READ_WAIT
        };
        match self
            .store
            .read(StoreTopic::Ownership, watch.next, wait)
            .await
        {
            Ok(batch) => {
                watch.answered(limit);
                let fresh_topic = watch.next == 0 && batch.end == 0;
                let empty = batch.records.is_empty();
                for record in &batch.records {
                    self.handle_record(watch, record);
                }
                watch.next += batch.records.len() as u64;
                let caught_up = watch.next >= batch.end;
                let silent = BootClock.now().since(watch.last_record) >= limit;
                if empty && caught_up && silent {
                    // Without the store the last owner stays known: it refuses by itself when its lease ends.
                    self.owner.send_if_modified(|owner| owner.take().is_some());
                }
                let released =
                    watch.released && BootClock.now().since(watch.last_record) >= self.claim_delay;
                if empty && caught_up && (fresh_topic || silent || released) {
                    return self.claim(batch.end).await;
                }
            }
            Err(StoreError::Expired { first }) => watch.next = first,
            Err(error) => {
                watch.failed = true;
                warn!(self.logger, "election: the ownership topic was not read";
                    "failure" => %error, "next" => watch.next);
                tokio::time::sleep(Duration::from_millis(FAILURE_PAUSE.0)).await;
            }
        }
        None
    }

    fn handle_record(&self, watch: &mut OwnerWatch, record: &Bytes) {
        watch.last_record = BootClock.now();
        let claim: OwnershipRecord = match postcard::from_bytes(record) {
            Ok(claim) => claim,
            Err(error) => {
                warn!(self.logger, "election: a record cannot be read"; "error" => %error);
                return;
            }
        };
        // An earlier process of this host has ended, or this one could not listen on its address.
        // A host that is too small for the owner's work lets others go first.
        let fits = self.claim_delay == Millis(0);
        let predecessor = claim.address == self.address && claim.claimant != self.claimant && fits;
        watch.released = claim.released || predecessor;
        watch.lease = Millis(claim.lease_ms);
        self.peers.add(claim.address);
        let location = (!watch.released).then_some(OwnerLocation {
            address: claim.address,
            token: claim.token,
            own: false,
        });
        let changed = self.owner.send_if_modified(|owner| {
            let changed = *owner != location;
            owner.clone_from(&location);
            changed
        });
        if changed {
            info!(self.logger, "election: the owner has changed"; "claimant" => claim.claimant,
                "token" => claim.token, "released" => claim.released);
        }
    }

    async fn claim(&self, end: u64) -> Option<u64> {
        if self.stop.is_cancelled() {
            return None;
        }
        let token = end + 1;
        let sent = BootClock.now();
        let claimed = self
            .append((token, end), MIN_LEASE, false, APPEND_TIMEOUT)
            .await;
        info!(self.logger, "election: claim"; "token" => token, "outcome" => ?claimed);
        match claimed {
            Ok(()) => {
                self.lease.extend(sent + MIN_LEASE);
                Some(token)
            }
            Err(StoreError::Unknown | StoreError::Refused) => {
                tokio::time::sleep(Duration::from_millis(FAILURE_PAUSE.0)).await;
                None
            }
            Err(_) => None,
        }
    }

    /// Appends a record at the offset `at`. Every record is conditional on its offset, so that one claim at most
    /// succeeds at an offset and an older owner's renewal fails after it. A producer and sequence number would
    /// not do: the store answers a second process that uses the same ones as if it had repeated the first.
    async fn append(
        &self,
        (token, at): (u64, u64),
        lease: Millis,
        released: bool,
        timeout: Millis,
    ) -> Result<(), StoreError> {
        let condition = AppendCondition {
            at: Some(at),
            fence: None,
        };
        let record = OwnershipRecord {
            claimant: self.claimant.clone(),
            address: self.address,
            token,
            lease_ms: lease.0,
            released,
        };
        // The record holds only plain fields, so that serialization cannot fail.
        let bytes = postcard::to_stdvec(&record).expect("a claim is serializable");
        let records = [Bytes::from(bytes)];
        self.store
            .append(StoreTopic::Ownership, &records, condition, timeout)
            .await
            .map(|_| ())
    }

    /// Renews the claim until a newer owner exists or the process stops.
    async fn hold_term(&self, token: u64) {
        let location = OwnerLocation {
            address: self.address,
            token,
            own: true,
        };
        self.owner.send_replace(Some(location));
        self.send_event(ElectionEvent::Elected(token));
        // The token is one above the offset of the claim.
        let mut end = token;
        let mut pace = RenewalSchedule::default();
        loop {
            let stopped = tokio::select! {
                () = self.stop.cancelled() => true,
                () = tokio::time::sleep(Duration::from_millis(pace.pause().0)) => false,
            };
            let (lease, timeout) = (pace.lease(), pace.timeout());
            pace.send();
            match self.append((token, end), lease, stopped, timeout).await {
                Ok(()) => {
                    end += 1;
                    if stopped {
                        info!(self.logger, "election: the claim is released"; "token" => token);
                        break;
                    }
                    self.lease.extend(pace.stored() + lease);
                }
                Err(StoreError::NotAtEnd { .. }) => match self.own_records(token, end).await {
                    // An earlier attempt, whose answer was lost or late, was carried out after its send.
                    Some(own) if own > 0 => {
                        end += own;
                        self.lease.extend(pace.stored() + lease.min(MIN_LEASE));
                    }
                    Some(_) => break,
                    None => {}
                },
                Err(error) => {
                    warn!(self.logger, "election: a renewal has failed"; "token" => token,
                        "failure" => %error, "lease_holds" => self.lease.is_held());
                    if stopped {
                        break;
                    }
                }
            }
        }
        self.lease.end();
        self.owner.send_replace(None);
        info!(self.logger, "election: the term is over"; "token" => token);
        self.send_event(ElectionEvent::TermEnded);
    }

    /// Counts the records of this term from the offset `from` on; none when they cannot be read, 0 when
    /// another process has written there.
    async fn own_records(&self, token: u64, from: u64) -> Option<u64> {
        let batch = match self
            .store
            .read(StoreTopic::Ownership, from, Millis(0))
            .await
        {
            Ok(batch) => batch,
            Err(error) => {
                warn!(self.logger, "election: the own renewals were not read";
                    "failure" => %error, "from" => from);
                return None;
            }
        };
        let own = |record: &Bytes| {
            postcard::from_bytes::<OwnershipRecord>(record)
                .is_ok_and(|claim| claim.token == token && claim.claimant == self.claimant)
        };
        if !batch.records.iter().all(own) {
            return Some(0);
        }
        Some(batch.records.len() as u64)
    }

    fn send_event(&self, event: ElectionEvent) {
        if self.events.send(event).is_err() {
            warn!(self.logger, "election: nobody listens any more"; "event" => ?event);
        }
    }
}
